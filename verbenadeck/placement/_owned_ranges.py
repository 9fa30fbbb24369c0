"""Contiguous ranges of shards of each member while a plan is computed."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import groupby

from verbenadeck.model import Incarnation, Shard
from verbenadeck.placement._loads import PlanInput


class OwnedRanges:
    """Contiguous ranges of the shards that each member owns.

    Parameters
    ----------
    plan_input : PlanInput
        Owners, costs and the shards that are moving already, which no range
        includes.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        self._costs = plan_input.costs
        self._ranges: defaultdict[Incarnation, list[range]] = defaultdict(list)
        self._counts: defaultdict[Incarnation, int] = defaultdict(int)
        first = 0
        for owner, group in groupby(plan_input.owners):
            stop = first + len(list(group))
            self._counts[Incarnation(owner)] += 1
            self._ranges[Incarnation(owner)].extend(
                _without(range(first, stop), plan_input.moving)
            )
            first = stop

    def count(self, member: Incarnation) -> int:
        """Return the number of ranges of a member; moves may overstate it."""
        return self._counts[member]

    def owned(self, member: Incarnation) -> Iterable[range]:
        """Return the ranges of a member that may move."""
        return self._ranges[member]

    def hot_shards(self, member: Incarnation) -> Iterator[Shard]:
        """Yield the hot shards of a member that may move."""
        for owned_range in self._ranges[member]:
            for index in owned_range:
                if index in self._costs:
                    yield Shard(index)

    def move(
        self,
        source: Incarnation,
        first: int,
        stop: int,
        destination: Incarnation,
    ) -> None:
        """Update the ranges for a move of the shards from `first` to `stop`.

        The moved shards belong to no range then: a plan moves a shard once.
        """
        remaining: list[range] = []
        for owned_range in self._ranges[source]:
            if first not in owned_range:
                remaining.append(owned_range)
                continue
            parts = (
                range(owned_range.start, first),
                range(stop, owned_range.stop),
            )
            remaining.extend(part for part in parts if part)
        self._counts[source] += len(remaining) - len(self._ranges[source])
        self._ranges[source] = remaining
        self._counts[destination] += 1


def _without(owned_range: range, moving: frozenset[int]) -> Iterator[range]:
    """Yield the parts of a range that lie between moving shards."""
    first = owned_range.start
    for index in sorted(moving.intersection(owned_range)):
        if index > first:
            yield range(first, index)
        first = index + 1
    if owned_range.stop > first:
        yield range(first, owned_range.stop)
