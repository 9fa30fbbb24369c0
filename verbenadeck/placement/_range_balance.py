"""Balancing moves of shard ranges, by measured load."""

from collections.abc import Iterator
from typing import NamedTuple

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._loads import Loads, Moves, PlanInput

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


class _CandidateRange(NamedTuple):
    cost: float
    first: int
    stop: int


def plan_range_moves(plan_input: PlanInput, loads: Loads) -> Moves:
    """Plan moves of ranges from the most to the least loaded member.

    The load of a range is at most the excess of its owner and at most what
    the new owner lacks. Hot keys are often neighbours, so a short range is
    enough, and it splits the hot keys among members.

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
    owners = list(plan_input.owners)
    moves: Moves = {}
    for _ in range(max(MIN_RANGES_PER_PLAN, len(plan_input.weights))):
        left = plan_input.budget - len(moves)
        if left <= 0:
            break
        candidate = _best_candidate(plan_input, loads, owners, left)
        if candidate is None:
            break
        destination = min(plan_input.weights, key=loads.load_per_slot)
        for shard in range(candidate.first, candidate.stop):
            loads.move(Shard(shard), Incarnation(owners[shard]), destination)
            owners[shard] = destination
            moves[Shard(shard)] = destination
    return moves


def _best_candidate(
    plan_input: PlanInput, loads: Loads, owners: list[int], budget: int
) -> _CandidateRange | None:
    source = max(plan_input.weights, key=loads.load_per_slot)
    destination = min(plan_input.weights, key=loads.load_per_slot)
    band = loads.mean * plan_input.hysteresis
    is_apart = loads.load_per_slot(source) - loads.mean > band
    if (
        not is_apart
        or _count_ranges(owners, destination) >= MAX_RANGES_PER_MEMBER
    ):
        return None
    transfer = (
        min(loads.excess(source), -loads.excess(destination))
        * _TRANSFER_TOLERANCE
    )
    candidates = (
        candidate
        for shard_range in _owned_ranges(plan_input, owners, source)
        for candidate in _candidate_ranges(shard_range, loads, transfer, budget)
    )
    sufficient = transfer * SUFFICIENT_LOAD_RATIO

    def gain(candidate: _CandidateRange) -> tuple[float, int]:
        return min(candidate.cost, sufficient), candidate.first - candidate.stop

    return max(candidates, key=gain, default=None)


def _owned_ranges(
    plan_input: PlanInput, owners: list[int], owner: Incarnation
) -> Iterator[range]:
    """Yield the contiguous ranges of a member's shards that are not moving."""
    start = 0
    for index in range(len(owners) + 1):
        is_own = index < len(owners) and owners[index] == owner
        if is_own and index not in plan_input.moving:
            continue
        if index > start:
            yield range(start, index)
        start = index + 1


def _candidate_ranges(
    shard_range: range, loads: Loads, transfer: float, budget: int
) -> Iterator[_CandidateRange]:
    """Yield, for each last shard, the longest range within load and budget."""
    first = shard_range.start
    cost = 0.0
    for index in shard_range:
        cost += loads.cost(Shard(index))
        while first <= index and (cost > transfer or index - first >= budget):
            cost -= loads.cost(Shard(first))
            first += 1
        if first <= index:
            yield _CandidateRange(cost, first, index + 1)


def _count_ranges(owners: list[int], owner: Incarnation) -> int:
    before = (None, *owners)
    return sum(
        now == owner and earlier != owner
        for earlier, now in zip(before, owners, strict=False)
    )
