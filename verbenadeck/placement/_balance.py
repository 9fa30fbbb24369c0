"""Moves for the sake of balance."""

import heapq
from collections.abc import Iterator

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._loads import UNIT_COST, Loads, Moves, PlanInput


def balance_moves(given: PlanInput, loads: Loads) -> Moves:
    """Return moves that bring members outside of the band to the mean.

    Members inside of the band neither start a move nor are brought closer
    to the mean: hysteresis keeps shards from moving on small changes.
    """
    uneven = _Uneven(given, loads)
    moves: Moves = {}
    if given.budget <= 0 or not uneven.is_any:
        return moves
    pools = _pools(given)
    givers = [(-loads.per_slot(owner), owner) for owner in pools]
    takers = [(loads.per_slot(owner), owner) for owner in pools]
    heapq.heapify(givers)
    heapq.heapify(takers)
    while givers and len(moves) < given.budget:
        giver, taker = givers[0][1], takers[0][1]
        if not uneven.is_needed(loads, giver, taker):
            break
        shard = pools[giver].take(loads, giver, taker)
        if shard is None:
            heapq.heappop(givers)
            continue
        moves[shard] = taker
        loads.move(shard, giver, taker)
        heapq.heapreplace(givers, (-loads.per_slot(giver), giver))
        heapq.heapreplace(takers, (loads.per_slot(taker), taker))
    return moves


class _Uneven:
    """Members outside of the band when the plan began."""

    def __init__(self, given: PlanInput, loads: Loads) -> None:
        band = loads.mean * given.hysteresis
        apart = {
            owner: loads.per_slot(owner) - loads.mean for owner in given.weights
        }
        self._over = {owner for owner, gap in apart.items() if gap > band}
        self._under = {owner for owner, gap in apart.items() if gap < -band}

    @property
    def is_any(self) -> bool:
        """Return whether some member is outside of the band."""
        return bool(self._over or self._under)

    def is_needed(
        self, loads: Loads, giver: Incarnation, taker: Incarnation
    ) -> bool:
        """Return whether a move brings such a member towards the mean."""
        is_over = giver in self._over and loads.surplus(giver) >= UNIT_COST
        is_under = taker in self._under and loads.surplus(taker) <= -UNIT_COST
        return is_over or is_under


class _Pool:
    """Shards that one member may give away."""

    def __init__(self, ordinary: list[Shard], hot: list[Shard]) -> None:
        self._ordinary = ordinary
        self._hot = hot

    def take(
        self, loads: Loads, giver: Incarnation, taker: Incarnation
    ) -> Shard | None:
        """Take out a shard whose move helps, None when there is none.

        The hottest shard stays: its neighbours move away from it.
        """
        for index, shard in enumerate(self._hot):
            if loads.is_fit(shard, giver, taker):
                return self._hot.pop(index)
        is_left = bool(self._ordinary)
        if is_left and loads.is_better(self._ordinary[-1], giver, taker):
            return self._ordinary.pop()
        return None


def _pools(given: PlanInput) -> dict[Incarnation, _Pool]:
    ordinary: dict[int, list[Shard]] = {each: [] for each in given.weights}
    hot: dict[int, list[Shard]] = {each: [] for each in given.weights}
    for shard, owner in _movable(given):
        target = hot if shard in given.costs else ordinary
        target[owner].append(shard)
    return {
        owner: _Pool(ordinary[owner], _but_hottest(given, hot[owner]))
        for owner in given.weights
    }


def _but_hottest(given: PlanInput, shards: list[Shard]) -> list[Shard]:
    hottest_first = sorted(shards, key=lambda shard: -given.costs[shard])
    return hottest_first[1:]


def _movable(given: PlanInput) -> Iterator[tuple[Shard, int]]:
    for index, owner in enumerate(given.owners):
        if owner in given.weights and index not in given.moving:
            yield Shard(index), owner
