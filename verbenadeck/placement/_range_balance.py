"""Balancing moves of shard ranges, by measured load."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._loads import Loads, Moves, PlanInput
from verbenadeck.placement._owned_ranges import OwnedRanges

MIN_RANGES_PER_PLAN = 4
"""Number of ranges that one plan may move in a small service. A larger one
may move one range per member, since hot neighbouring keys have to be spread
over most members."""

MAX_RANGES_PER_MEMBER = 40
"""Number of ranges that one member may own. The upstream gets all of its
ranges in one heartbeat answer, whose length is bounded."""

SUFFICIENT_LOAD_RATIO = 0.7
"""Ratio of the load to be moved that is sufficient: among candidates that
reach it, the shorter range is preferred."""

_TRANSFER_TOLERANCE = 1.05
_MAX_DESTINATIONS = 8


class _RangeMove(NamedTuple):
    cost: float
    first: int
    stop: int
    destination: Incarnation


def plan_range_moves(plan_input: PlanInput, loads: Loads) -> Moves:
    """Plan moves of ranges from overloaded members to the least loaded ones.

    The load of a range is at most the excess of its owner and at most what
    the new owner lacks. Hot keys are often neighbours, so a short range is
    enough, and it splits the hot keys among members. A hot shard that fits
    nowhere below the mean still moves to a member that it leaves clearly less
    loaded than its owner is now. A member that can't be relieved, such as the
    owner of a single hot key, does not keep the others from being balanced.

    Parameters
    ----------
    plan_input : PlanInput
        Owners, weights, measured costs and budget.
    loads : Loads
        Loads of the members; updated with each planned move.

    Returns
    -------
    dict of Shard to Incarnation
        New owner of each shard that moves.

    Examples
    --------
    >>> plan_input = PlanInput(
    ...     owners=[1, 1, 1, 1, 2, 2],
    ...     weights={1: 10, 2: 10},
    ...     costs={1: 9.0, 2: 9.0},
    ...     budget=9,
    ... )
    >>> plan_range_moves(plan_input, Loads(plan_input))
    {1: 2}
    """
    ranges = OwnedRanges(plan_input)
    moves: Moves = {}
    sources = _movable_members(plan_input)
    for _ in range(max(MIN_RANGES_PER_PLAN, len(plan_input.weights))):
        move: _RangeMove | None = None
        while sources and move is None:
            source = max(sources, key=loads.load_per_slot)
            if not _is_overloaded(plan_input, loads, source):
                return moves
            budget = plan_input.budget - len(moves)
            move = _best_move(plan_input, loads, ranges, source, budget)
            if move is None:
                sources.discard(source)
        if move is None:
            break
        for index in range(move.first, move.stop):
            loads.move(Shard(index), source, move.destination)
            moves[Shard(index)] = move.destination
        ranges.move(source, move.first, move.stop, move.destination)
    return moves


def _movable_members(plan_input: PlanInput) -> set[Incarnation]:
    return set(plan_input.weights) - plan_input.unmeasured


def _is_overloaded(
    plan_input: PlanInput, loads: Loads, member: Incarnation
) -> bool:
    return loads.load_per_slot(member) > loads.mean * (
        1 + plan_input.hysteresis
    )


def _best_move(
    plan_input: PlanInput,
    loads: Loads,
    ranges: OwnedRanges,
    source: Incarnation,
    budget: int,
) -> _RangeMove | None:
    """Return the move that relieves a member most, None if none does."""
    destinations = [
        member
        for member in _movable_members(plan_input) - {source}
        if ranges.count(member) < MAX_RANGES_PER_MEMBER
    ]
    if budget <= 0 or not destinations:
        return None
    least_loaded = heapq.nsmallest(
        _MAX_DESTINATIONS, destinations, key=loads.load_per_slot
    )
    fitting = _best_fitting_range(
        loads, ranges, source, least_loaded[0], budget
    )
    single = _best_single_shard(plan_input, loads, ranges, source, least_loaded)
    if fitting is None or single is None:
        return fitting or single
    return max(fitting, single, key=lambda each: each.cost)


def _best_fitting_range(
    loads: Loads,
    ranges: OwnedRanges,
    source: Incarnation,
    destination: Incarnation,
    budget: int,
) -> _RangeMove | None:
    """Return the best range that takes neither member past the mean."""
    transfer = (
        min(loads.excess(source), -loads.excess(destination))
        * _TRANSFER_TOLERANCE
    )
    candidates = (
        _RangeMove(cost, first, stop, destination)
        for owned_range in ranges.owned(source)
        for cost, first, stop in _candidate_ranges(
            owned_range, loads, transfer, budget
        )
    )
    sufficient = transfer * SUFFICIENT_LOAD_RATIO

    def gain(candidate: _RangeMove) -> tuple[float, int]:
        return min(candidate.cost, sufficient), candidate.first - candidate.stop

    return max(candidates, key=gain, default=None)


def _candidate_ranges(
    owned_range: range, loads: Loads, transfer: float, budget: int
) -> Iterator[tuple[float, int, int]]:
    """Yield, for each last shard, the longest range within load and budget."""
    first = owned_range.start
    cost = 0.0
    for index in owned_range:
        cost += loads.cost(Shard(index))
        while first <= index and (cost > transfer or index - first >= budget):
            cost -= loads.cost(Shard(first))
            first += 1
        if first <= index:
            yield cost, first, index + 1


def _best_single_shard(
    plan_input: PlanInput,
    loads: Loads,
    ranges: OwnedRanges,
    source: Incarnation,
    destinations: list[Incarnation],
) -> _RangeMove | None:
    """Return the hot shard whose move lowers the higher load of the two most.

    The new owner may end above the mean, but below the load of the present
    owner by at least the hysteresis, so that the shard does not move back.
    """
    best: _RangeMove | None = None
    lowest = loads.load_per_slot(source) - loads.mean * plan_input.hysteresis
    for shard in ranges.hot_shards(source):
        cost = loads.cost(shard)
        for destination in destinations:
            peak = loads.peak_after(cost, source, destination)
            if peak < lowest:
                lowest = peak
                best = _RangeMove(cost, shard, shard + 1, destination)
    return best
