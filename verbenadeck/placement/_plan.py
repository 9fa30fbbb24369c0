"""Computation of the shard moves that restore ownership and balance."""

import heapq
from collections import defaultdict
from collections.abc import Mapping, Sequence
from itertools import islice

import msgspec

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._balance import plan_balance_moves
from verbenadeck.placement._loads import Loads, Moves, PlanInput
from verbenadeck.placement._range_balance import plan_range_moves


class Plan(msgspec.Struct, frozen=True):
    """Moves of one plan.

    Parameters
    ----------
    forced : dict of Shard to Incarnation
        New owners of shards whose owner is lost or taken out.
    balance : dict of Shard to Incarnation
        New owners of shards that move to balance the load.
    """

    forced: Moves
    balance: Moves


def make_plan(plan_input: PlanInput) -> Plan:
    """Compute the moves that are needed now.

    Shards of lost owners go to the members with the lowest load per slot.
    Balancing then moves shards only from or to members whose load differs
    from the mean by more than the hysteresis, and only until they reach the
    mean.

    Parameters
    ----------
    plan_input : PlanInput
        Owners, weights, costs and budget.

    Examples
    --------
    >>> plan = make_plan(PlanInput(owners=[-1, -1, 7], weights={7: 1, 8: 1}))
    >>> sorted(plan.forced.items()), plan.balance
    ([(0, 7), (1, 8)], {})
    """
    if not plan_input.weights:
        return Plan({}, {})
    loads = Loads(plan_input)
    forced = _reassign_lost(plan_input, loads)
    balance = plan_range_moves if plan_input.is_measured else plan_balance_moves
    return Plan(forced, balance(plan_input, loads))


def _reassign_lost(plan_input: PlanInput, loads: Loads) -> Moves:
    lost: list[Shard] = []
    moves: Moves = {}
    weights = plan_input.weights
    for index, owner in enumerate(plan_input.owners):
        if owner in weights:
            continue
        shard = Shard(index)
        returned_member = plan_input.returning_owners.get(Incarnation(owner))
        if returned_member is not None and returned_member in weights:
            moves[shard] = returned_member
            loads.load[returned_member] += loads.cost(shard)
        else:
            lost.append(shard)
    is_first_assignment = len(lost) == len(plan_input.owners)
    range_count = plan_input.initial_ranges if is_first_assignment else 1
    moves.update(_distribute(lost, loads, range_count))
    return moves


def _distribute(lost: Sequence[Shard], loads: Loads, range_count: int) -> Moves:
    """Distribute shards to the least loaded members.

    Ordinary shards are assigned in `range_count` contiguous ranges a member:
    few of them keep the assignment records short, and several spread busy
    shards, which are often neighbours.
    """
    heap = [(loads.load_per_slot(owner), owner) for owner in loads.weights]
    heapq.heapify(heap)
    shares: defaultdict[Incarnation, int] = defaultdict(int)
    moves: Moves = {}
    ordinary: list[Shard] = []
    for shard in lost:
        _, owner = heap[0]
        loads.load[owner] += loads.cost(shard)
        heapq.heapreplace(heap, (loads.load_per_slot(owner), owner))
        if shard in loads.costs:
            moves[shard] = owner
        else:
            shares[owner] += 1
            ordinary.append(shard)
    moves.update(_assign_in_ranges(ordinary, shares, range_count))
    return moves


def _assign_in_ranges(
    shards: Sequence[Shard],
    shares: Mapping[Incarnation, int],
    range_count: int,
) -> Moves:
    """Assign consecutive shards to the members in turn, `range_count` times."""
    moves: Moves = {}
    left = iter(shards)
    for turn in range(range_count):
        for owner in sorted(shares):
            start = shares[owner] * turn // range_count
            stop = shares[owner] * (turn + 1) // range_count
            moves.update(dict.fromkeys(islice(left, stop - start), owner))
    return moves
