"""Balance by measured load: few moves of neighbouring shards."""

from collections.abc import Iterator
from typing import NamedTuple

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._loads import Loads, Moves, PlanInput

LEAST_RUNS = 4
"""Runs of shards that one plan may move at least; a large service may move
one for each member, since a hot stretch has to be spread over most of them."""

MOST_PIECES = 40
"""Pieces of the key space that one member may own; an upstream is told of
them all in one answer of bounded length."""

ENOUGH_SHARE = 0.7
"""Share of the load to be moved from which a shorter run is preferred."""

_SURPLUS = 1.05


class _Window(NamedTuple):
    cost: float
    first: int
    stop: int


def run_moves(given: PlanInput, loads: Loads) -> Moves:
    """Return moves of whole runs from the busiest member to the idlest.

    A run has at most the load that the one has too much and the other too
    little. Hot keys lie close together, so a short run is enough, and it
    splits the hot stretch.

    Examples
    --------
    >>> given = PlanInput(
    ...     owners=[1, 1, 1, 1, 2, 2],
    ...     weights={1: 10, 2: 10},
    ...     costs={1: 9.0, 2: 9.0},
    ...     budget=9,
    ... )
    >>> run_moves(given, Loads(given))
    {1: 2}
    """
    owners = list(given.owners)
    moves: Moves = {}
    for _ in range(max(LEAST_RUNS, len(given.weights))):
        left = given.budget - len(moves)
        if left <= 0:
            break
        window = _next_window(given, loads, owners, left)
        if window is None:
            break
        taker = min(given.weights, key=loads.per_slot)
        for shard in range(window.first, window.stop):
            loads.move(Shard(shard), Incarnation(owners[shard]), taker)
            owners[shard] = taker
            moves[Shard(shard)] = taker
    return moves


def _next_window(
    given: PlanInput, loads: Loads, owners: list[int], budget: int
) -> _Window | None:
    giver = max(given.weights, key=loads.per_slot)
    taker = min(given.weights, key=loads.per_slot)
    band = loads.mean * given.hysteresis
    is_apart = loads.per_slot(giver) - loads.mean > band
    if not is_apart or _pieces(owners, taker) >= MOST_PIECES:
        return None
    need = min(loads.surplus(giver), -loads.surplus(taker)) * _SURPLUS
    windows = (
        window
        for run in _runs(given, owners, giver)
        for window in _windows(run, loads, need, budget)
    )
    enough = need * ENOUGH_SHARE

    def gain(window: _Window) -> tuple[float, int]:
        return min(window.cost, enough), window.first - window.stop

    return max(windows, key=gain, default=None)


def _runs(
    given: PlanInput, owners: list[int], owner: Incarnation
) -> Iterator[range]:
    """Yield the runs of shards of a member that are not moving."""
    start = 0
    for index in range(len(owners) + 1):
        is_own = index < len(owners) and owners[index] == owner
        if is_own and index not in given.moving:
            continue
        if index > start:
            yield range(start, index)
        start = index + 1


def _windows(
    run: range, loads: Loads, need: float, budget: int
) -> Iterator[_Window]:
    """Yield for each last shard the longest window that is not too much."""
    first = run.start
    cost = 0.0
    for index in run:
        cost += loads.cost(Shard(index))
        while first <= index and (cost > need or index - first >= budget):
            cost -= loads.cost(Shard(first))
            first += 1
        if first <= index:
            yield _Window(cost, first, index + 1)


def _pieces(owners: list[int], owner: Incarnation) -> int:
    before = (None, *owners)
    return sum(
        now == owner and earlier != owner
        for earlier, now in zip(before, owners, strict=False)
    )
