"""Owners and fences of the shards of one service, in flat arrays."""

from array import array
from collections.abc import Callable, Iterator
from typing import NamedTuple

from verbenadeck.model import (
    NO_FENCE,
    NO_MEMBER,
    Fence,
    Incarnation,
    Offset,
    Shard,
)

_TYPE = 'q'


class Tenancy(NamedTuple):
    """An owner with the fence under which it was last named."""

    incarnation: Incarnation
    fence: Fence


Tenancies = tuple[Tenancy, ...]
_Last = tuple[Incarnation, Fence, Tenancies]
ShardRun = tuple[int, int]
"""First shard and one past the last."""


class ShardTable:
    """Shards of one service.

    Attributes
    ----------
    owners, fences : array of int
        Owner and fence by shard.
    earlier_owners : dict of int to tuple of Tenancy
        Earlier owners that have neither released the shard nor left, only
        for shards that have some. Shards of one move share the tuple.
    """

    def __init__(self, shard_count: int) -> None:
        self.owners = array(_TYPE, (NO_MEMBER,)) * shard_count
        self.fences = array(_TYPE, (NO_FENCE,)) * shard_count
        self.earlier_owners: dict[int, Tenancies] = {}

    def __len__(self) -> int:
        """Return the number of shards."""
        return len(self.owners)

    def has_run(self, first: int, stop: int) -> bool:
        """Return whether a range is within the shards and not empty."""
        return first >= 0 and first < stop and stop <= len(self.owners)

    def has_fence(self, first: int, stop: int, fence: Fence) -> bool:
        """Return whether all shards of a range have a fence."""
        if self.fences[first] != fence:
            return False
        expected = array(_TYPE, (fence,)) * (stop - first)
        return self.fences[first:stop] == expected

    def assign(
        self,
        run: ShardRun,
        owner: Incarnation,
        fence: Fence,
        *,
        is_live: Callable[[Incarnation], bool],
    ) -> None:
        """Name a new owner; the last one becomes an earlier owner.

        Parameters
        ----------
        run : (int, int)
            Range of shards.
        owner : Incarnation
            New owner.
        fence : Fence
            New fence.
        is_live : callable
            Tells whether an incarnation may still hold a lease.
        """
        first, stop = run
        shared: dict[_Last, Tenancies] = {}
        for shard in range(first, stop):
            last = (
                Incarnation(self.owners[shard]),
                Fence(self.fences[shard]),
                self.earlier_owners.get(shard, ()),
            )
            if last not in shared:
                shared[last] = _unsettled(*last, owner, is_live)
            self._set_earlier(shard, shared[last])
        _fill(self.owners, run, owner)
        _fill(self.fences, run, fence)

    def release(
        self, run: ShardRun, incarnation: Incarnation, as_of: Offset
    ) -> bool:
        """Strike an earlier owner named up to a position off a range.

        Returns
        -------
        bool
            Whether it stood on any shard of the range.
        """
        shards = [
            shard for shard in range(*run) if shard in self.earlier_owners
        ]
        return any(
            [self._strike(shard, incarnation, as_of) for shard in shards]
        )

    def settle(self, incarnation: Incarnation) -> None:
        """Strike a member that has left off all shards."""
        for shard in tuple(self.earlier_owners):
            kept = tuple(
                tenancy
                for tenancy in self.earlier_owners[shard]
                if tenancy.incarnation != incarnation
            )
            self._set_earlier(shard, kept)

    def earlier_of(self, shard: Shard) -> tuple[Incarnation, ...]:
        """Return the unsettled earlier owners of a shard."""
        earlier = self.earlier_owners.get(shard, ())
        return tuple(tenancy.incarnation for tenancy in earlier)

    def owned_runs(self, incarnation: Incarnation) -> Iterator[ShardRun]:
        """Yield the ranges that an incarnation is the named owner of."""
        stop = 0
        while stop < len(self.owners):
            try:
                first = self.owners.index(incarnation, stop)
            except ValueError:
                return
            stop = self._run_stop(first, incarnation)
            yield first, stop

    def held_runs(self, incarnation: Incarnation) -> Iterator[ShardRun]:
        """Yield the ranges that an incarnation has not released yet."""
        held = [
            shard
            for shard in sorted(self.earlier_owners)
            if incarnation in self.earlier_of(Shard(shard))
        ]
        yield from _runs(held)

    def _run_stop(self, first: int, incarnation: Incarnation) -> int:
        stop = first + 1
        while stop < len(self.owners) and self.owners[stop] == incarnation:
            stop += 1
        return stop

    def _strike(
        self, shard: int, incarnation: Incarnation, as_of: Offset
    ) -> bool:
        earlier = self.earlier_owners[shard]
        kept = tuple(
            tenancy
            for tenancy in earlier
            if tenancy.incarnation != incarnation or tenancy.fence > as_of
        )
        self._set_earlier(shard, kept)
        return len(kept) < len(earlier)

    def _set_earlier(self, shard: int, tenancies: Tenancies) -> None:
        if tenancies:
            self.earlier_owners[shard] = tenancies
        else:
            self.earlier_owners.pop(shard, None)


def _fill(numbers: 'array[int]', run: ShardRun, number: int) -> None:
    first, stop = run
    filled = array(_TYPE, (number,)) * (stop - first)
    numbers[first:stop] = filled  # noqa: WPS362 - the fast way for arrays


def _unsettled(
    last_owner: Incarnation,
    last_fence: Fence,
    earlier: Tenancies,
    owner: Incarnation,
    is_live: Callable[[Incarnation], bool],
) -> Tenancies:
    """Return who must let go of a shard before its new owner serves."""
    kept = tuple(tenancy for tenancy in earlier if tenancy.incarnation != owner)
    if last_owner == owner or not is_live(last_owner):
        return kept
    return *kept, Tenancy(last_owner, last_fence)


def _runs(shards: list[int]) -> Iterator[ShardRun]:
    """Yield the ranges of consecutive numbers of a sorted list."""
    first = 0
    for index, shard in enumerate(shards):
        is_last = index + 1 == len(shards) or shards[index + 1] != shard + 1
        if is_last:
            yield shards[first], shard + 1
            first = index + 1
