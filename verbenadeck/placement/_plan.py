"""Plan of shard moves: as few as restore balance."""

import heapq
from collections import defaultdict
from collections.abc import Sequence

import msgspec

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._balance import balance_moves
from verbenadeck.placement._loads import Loads, Moves, PlanInput
from verbenadeck.placement._range_balance import run_moves


class Plan(msgspec.Struct, frozen=True):
    """Moves of one plan.

    Parameters
    ----------
    forced : dict of Shard to Incarnation
        Shards whose owner is lost or out.
    balance : dict of Shard to Incarnation
        Shards that move for the sake of balance.
    """

    forced: Moves
    balance: Moves


def make_plan(given: PlanInput) -> Plan:
    """Return the moves that are needed now.

    Shards of lost owners go where the load per slot is lowest. Balance then
    moves only between members whose load differs from the mean by more than
    the hysteresis, and only until they reach the mean.

    Examples
    --------
    >>> plan = make_plan(PlanInput(owners=[-1, -1, 7], weights={7: 1, 8: 1}))
    >>> sorted(plan.forced.items()), plan.balance
    ([(0, 7), (1, 8)], {})
    """
    if not given.weights:
        return Plan({}, {})
    loads = Loads(given)
    forced = _place_lost(given, loads)
    balance = run_moves if given.is_measured else balance_moves
    return Plan(forced, balance(given, loads))


def _place_lost(given: PlanInput, loads: Loads) -> Moves:
    lost: list[Shard] = []
    moves: Moves = {}
    weights = given.weights
    for index, owner in enumerate(given.owners):
        if owner in weights:
            continue
        shard = Shard(index)
        home = given.homes.get(Incarnation(owner))
        if home is not None and home in weights:
            moves[shard] = home
            loads.load[home] += loads.cost(shard)
        else:
            lost.append(shard)
    moves.update(_deal(lost, loads))
    return moves


def _deal(lost: Sequence[Shard], loads: Loads) -> Moves:
    """Deal shards to the least loaded, in runs that make short records."""
    heap = [(loads.per_slot(owner), owner) for owner in loads.weights]
    heapq.heapify(heap)
    shares: defaultdict[Incarnation, int] = defaultdict(int)
    moves: Moves = {}
    ordinary: list[Shard] = []
    for shard in lost:
        _, owner = heap[0]
        loads.load[owner] += loads.cost(shard)
        heapq.heapreplace(heap, (loads.per_slot(owner), owner))
        if shard in loads.costs:
            moves[shard] = owner
        else:
            shares[owner] += 1
            ordinary.append(shard)
    start = 0
    for owner in sorted(shares):
        for shard in ordinary[start : start + shares[owner]]:
            moves[shard] = owner
        start += shares[owner]
    return moves
