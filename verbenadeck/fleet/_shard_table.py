"""Flat arrays of the owners and fences of the shards of one service."""

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

_ARRAY_TYPECODE = 'q'  # signed 64-bit integers


class EarlierOwner(NamedTuple):
    """Earlier owner of a shard that must still release it.

    Attributes
    ----------
    incarnation : Incarnation
        The earlier owner.
    fence : Fence
        Fence of its last assignment.
    """

    incarnation: Incarnation
    fence: Fence


EarlierOwners = tuple[EarlierOwner, ...]
_PreviousOwnership = tuple[Incarnation, Fence, EarlierOwners]
ShardRange = tuple[int, int]
"""First shard of a range and one past its last."""


class ShardTable:
    """Ownership of all shards of one service.

    Parameters
    ----------
    shard_count : int
        Number of shards; none has an owner yet.

    Attributes
    ----------
    owners, fences : array of int
        Owner and fence, indexed by shard.
    earlier_owners : dict of int to tuple of EarlierOwner
        Earlier owners that have neither released the shard nor left nor been
        evicted, by shard; shards without any have no entry. Shards that were
        moved together share one tuple.
    """

    def __init__(self, shard_count: int) -> None:
        self.owners = array(_ARRAY_TYPECODE, (NO_MEMBER,)) * shard_count
        self.fences = array(_ARRAY_TYPECODE, (NO_FENCE,)) * shard_count
        self.earlier_owners: dict[int, EarlierOwners] = {}

    def __len__(self) -> int:
        """Return the number of shards."""
        return len(self.owners)

    def contains_range(self, first: int, stop: int) -> bool:
        """Return whether a range is not empty and within the table.

        Parameters
        ----------
        first : int
            First shard.
        stop : int
            One past the last shard.

        Returns
        -------
        bool
        """
        return first >= 0 and first < stop and stop <= len(self.owners)

    def has_fence(self, first: int, stop: int, fence: Fence) -> bool:
        """Return whether all shards of a range have the given fence.

        Parameters
        ----------
        first : int
            First shard.
        stop : int
            One past the last shard.
        fence : Fence
            Expected fence.

        Returns
        -------
        bool
        """
        if self.fences[first] != fence:
            return False
        expected = array(_ARRAY_TYPECODE, (fence,)) * (stop - first)
        return self.fences[first:stop] == expected

    def assign(
        self,
        shard_range: ShardRange,
        owner: Incarnation,
        fence: Fence,
        *,
        is_live: Callable[[Incarnation], bool],
    ) -> None:
        """Assign a range to a new owner.

        The previous owner of each shard becomes an earlier owner of it.

        Parameters
        ----------
        shard_range : (int, int)
            Range of shards.
        owner : Incarnation
            New owner.
        fence : Fence
            New fence.
        is_live : callable
            Returns whether an incarnation may still hold a lease.
        """
        first, stop = shard_range
        shared: dict[_PreviousOwnership, EarlierOwners] = {}
        for shard in range(first, stop):
            previous = (
                Incarnation(self.owners[shard]),
                Fence(self.fences[shard]),
                self.earlier_owners.get(shard, ()),
            )
            if previous not in shared:
                shared[previous] = _blocking_owners(*previous, owner, is_live)
            self._set_earlier_owners(shard, shared[previous])
        _fill_range(self.owners, shard_range, owner)
        _fill_range(self.fences, shard_range, fence)

    def claim(self, shard: int, owner: Incarnation, fence: Fence) -> None:
        """Give a shard to a member that no earlier owner has to release it to.

        Parameters
        ----------
        shard : int
            Index of the shard.
        owner : Incarnation
            New owner.
        fence : Fence
            New fence.
        """
        self.owners[shard] = owner
        self.fences[shard] = fence
        self.earlier_owners.pop(shard, None)

    def raise_fences(self, fence: Fence) -> None:
        """Raise the fences of all shards to one above them.

        Parameters
        ----------
        fence : Fence
            New fence of every shard.
        """
        _fill_range(self.fences, (0, len(self.fences)), fence)

    def release(
        self, shard_range: ShardRange, incarnation: Incarnation, as_of: Offset
    ) -> bool:
        """Remove an earlier owner from a range.

        Parameters
        ----------
        shard_range : (int, int)
            Range of shards.
        incarnation : Incarnation
            The earlier owner.
        as_of : Offset
            Last offset that the release covers: assignments after it stay.

        Returns
        -------
        bool
            Whether it was removed from any shard of the range.
        """
        shards = [
            shard
            for shard in range(*shard_range)
            if shard in self.earlier_owners
        ]
        return any(
            [
                self._remove_from_shard(shard, incarnation, as_of)
                for shard in shards
            ]
        )

    def remove_earlier_owner(self, incarnation: Incarnation) -> None:
        """Remove an ended member from the earlier owners of all shards.

        Parameters
        ----------
        incarnation : Incarnation
            Member that left or was evicted.
        """
        for shard in tuple(self.earlier_owners):
            remaining = tuple(
                earlier_owner
                for earlier_owner in self.earlier_owners[shard]
                if earlier_owner.incarnation != incarnation
            )
            self._set_earlier_owners(shard, remaining)

    def earlier_incarnations(self, shard: Shard) -> tuple[Incarnation, ...]:
        """Return the incarnations that have not released a shard yet.

        Parameters
        ----------
        shard : Shard
            Index of the shard.

        Returns
        -------
        tuple of Incarnation
        """
        earlier = self.earlier_owners.get(shard)
        if earlier is None:
            return ()
        return tuple(earlier_owner.incarnation for earlier_owner in earlier)

    def owned_ranges(self, incarnation: Incarnation) -> Iterator[ShardRange]:
        """Yield the ranges of which an incarnation is the assigned owner.

        Parameters
        ----------
        incarnation : Incarnation
            The owner.

        Yields
        ------
        (int, int)
        """
        stop = 0
        while stop < len(self.owners):
            try:
                first = self.owners.index(incarnation, stop)
            except ValueError:
                return
            stop = self._owned_range_stop(first, incarnation)
            yield first, stop

    def unreleased_ranges(
        self, incarnation: Incarnation
    ) -> Iterator[ShardRange]:
        """Yield the ranges that an earlier owner has not released yet.

        Parameters
        ----------
        incarnation : Incarnation
            The earlier owner.

        Yields
        ------
        (int, int)
        """
        unreleased = [
            shard
            for shard, earlier in sorted(self.earlier_owners.items())
            if any(each.incarnation == incarnation for each in earlier)
        ]
        yield from _consecutive_ranges(unreleased)

    def _owned_range_stop(self, first: int, incarnation: Incarnation) -> int:
        stop = first + 1
        while stop < len(self.owners) and self.owners[stop] == incarnation:
            stop += 1
        return stop

    def _remove_from_shard(
        self, shard: int, incarnation: Incarnation, as_of: Offset
    ) -> bool:
        earlier = self.earlier_owners[shard]
        remaining = tuple(
            earlier_owner
            for earlier_owner in earlier
            if earlier_owner.incarnation != incarnation
            or earlier_owner.fence > as_of
        )
        self._set_earlier_owners(shard, remaining)
        return len(remaining) < len(earlier)

    def _set_earlier_owners(
        self, shard: int, remaining_owners: EarlierOwners
    ) -> None:
        if remaining_owners:
            self.earlier_owners[shard] = remaining_owners
        else:
            self.earlier_owners.pop(shard, None)


def _fill_range(
    numbers: 'array[int]', shard_range: ShardRange, number: int
) -> None:
    first, stop = shard_range
    filled = array(_ARRAY_TYPECODE, (number,)) * (stop - first)
    numbers[first:stop] = filled  # noqa: WPS362 - faster than a loop


def _blocking_owners(
    previous_owner: Incarnation,
    previous_fence: Fence,
    earlier: EarlierOwners,
    owner: Incarnation,
    is_live: Callable[[Incarnation], bool],
) -> EarlierOwners:
    """Return the owners that must release a shard before `owner` serves it."""
    remaining = tuple(
        earlier_owner
        for earlier_owner in earlier
        if earlier_owner.incarnation != owner
    )
    if previous_owner == owner or not is_live(previous_owner):
        return remaining
    return *remaining, EarlierOwner(previous_owner, previous_fence)


def _consecutive_ranges(shards: list[int]) -> Iterator[ShardRange]:
    """Yield the ranges of consecutive indices in a sorted list."""
    first = 0
    for index, shard in enumerate(shards):
        is_last = index + 1 == len(shards) or shards[index + 1] != shard + 1
        if is_last:
            yield shards[first], shard + 1
            first = index + 1
