"""Balancing moves of single shards."""

import heapq
from collections.abc import Iterator

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._loads import (
    ORDINARY_SHARD_COST,
    Loads,
    Moves,
    PlanInput,
)


def plan_balance_moves(plan_input: PlanInput, loads: Loads) -> Moves:
    """Plan moves that bring unbalanced members to the mean load per slot.

    A member is unbalanced when its load per slot differs from the mean by
    more than the hysteresis. Members within it are not brought closer to the
    mean, so that small changes of load move no shards.

    Parameters
    ----------
    plan_input : PlanInput
        Owners, weights, costs and budget.
    loads : Loads
        Loads of the members; updated with each planned move.

    Returns
    -------
    dict of Shard to Incarnation
        New owner of each shard that moves.
    """
    imbalanced = _ImbalancedMembers(plan_input, loads)
    moves: Moves = {}
    if plan_input.budget <= 0 or not imbalanced.has_any:
        return moves
    movable_shards = _movable_shards_by_owner(plan_input)
    sources = [(-loads.load_per_slot(owner), owner) for owner in movable_shards]
    destinations = [
        (loads.load_per_slot(owner), owner) for owner in movable_shards
    ]
    heapq.heapify(sources)
    heapq.heapify(destinations)
    while sources and len(moves) < plan_input.budget:
        source, destination = sources[0][1], destinations[0][1]
        if not imbalanced.reduces_imbalance(loads, source, destination):
            break
        shard = movable_shards[source].pop_best(loads, source, destination)
        if shard is None:
            heapq.heappop(sources)
            continue
        moves[shard] = destination
        loads.move(shard, source, destination)
        heapq.heapreplace(sources, (-loads.load_per_slot(source), source))
        heapq.heapreplace(
            destinations, (loads.load_per_slot(destination), destination)
        )
    return moves


class _ImbalancedMembers:
    """Members whose load was outside the hysteresis when planning began."""

    def __init__(self, plan_input: PlanInput, loads: Loads) -> None:
        band = loads.mean * plan_input.hysteresis
        deviations = {
            owner: loads.load_per_slot(owner) - loads.mean
            for owner in plan_input.weights
        }
        self._overloaded = {
            owner for owner, gap in deviations.items() if gap > band
        }
        self._underloaded = {
            owner for owner, gap in deviations.items() if gap < -band
        }

    @property
    def has_any(self) -> bool:
        """Whether some member is overloaded or underloaded."""
        return bool(self._overloaded or self._underloaded)

    def reduces_imbalance(
        self, loads: Loads, source: Incarnation, destination: Incarnation
    ) -> bool:
        """Return whether a move brings an unbalanced member closer to the mean."""
        is_source_overloaded = (
            source in self._overloaded
            and loads.excess(source) >= ORDINARY_SHARD_COST
        )
        is_destination_underloaded = (
            destination in self._underloaded
            and loads.excess(destination) <= -ORDINARY_SHARD_COST
        )
        return is_source_overloaded or is_destination_underloaded


class _MovableShards:
    """Shards that may move away from one member."""

    def __init__(self, ordinary: list[Shard], hot: list[Shard]) -> None:
        self._ordinary = ordinary
        self._hot = hot

    def pop_best(
        self, loads: Loads, source: Incarnation, destination: Incarnation
    ) -> Shard | None:
        """Remove and return a shard whose move helps, None without one.

        The hottest shard is never in this set: moving it would only move the
        hot spot, so other shards move away from it instead.
        """
        for index, shard in enumerate(self._hot):
            if loads.fits_between(shard, source, destination):
                return self._hot.pop(index)
        is_left = bool(self._ordinary)
        if is_left and loads.lowers_max_load(
            self._ordinary[-1], source, destination
        ):
            return self._ordinary.pop()
        return None


def _movable_shards_by_owner(
    plan_input: PlanInput,
) -> dict[Incarnation, _MovableShards]:
    ordinary: dict[int, list[Shard]] = {each: [] for each in plan_input.weights}
    hot: dict[int, list[Shard]] = {each: [] for each in plan_input.weights}
    for shard, owner in _iterate_movable_shards(plan_input):
        group = hot if shard in plan_input.costs else ordinary
        group[owner].append(shard)
    return {
        owner: _MovableShards(
            ordinary[owner], _without_hottest(plan_input, hot[owner])
        )
        for owner in plan_input.weights
    }


def _without_hottest(plan_input: PlanInput, shards: list[Shard]) -> list[Shard]:
    hottest_first = sorted(shards, key=lambda shard: -plan_input.costs[shard])
    return hottest_first[1:]


def _iterate_movable_shards(
    plan_input: PlanInput,
) -> Iterator[tuple[Shard, int]]:
    for index, owner in enumerate(plan_input.owners):
        if owner in plan_input.weights and index not in plan_input.moving:
            yield Shard(index), owner
