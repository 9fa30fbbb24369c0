"""Rows of key ranges that an upstream is granted."""

from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from verbenadeck.adapters import HeldRange
from verbenadeck.model import Fence, Shard

Handovers = Mapping[tuple[int, int], str]
"""Handover texts of the earlier upstreams, by first and last key."""


class KeyLayout(msgspec.Struct, frozen=True):
    """Layout of the keys of a service over its shards.

    Parameters
    ----------
    key_space : int
        Number of keys.
    shard_count : callable
        Returns the number of shards, 0 while it is unknown.

    Examples
    --------
    >>> keys = KeyLayout(65536, lambda: 16)
    >>> keys.first_key(1), list(keys.overlapping_shards(4095, 4096))
    (4096, [0, 1])
    """

    key_space: int
    shard_count: Callable[[], int]

    def first_key(self, shard: int) -> int:
        """Return the first key of a shard.

        Parameters
        ----------
        shard : int
            Number of the shard.
        """
        return -(-shard * self.key_space // max(1, self.shard_count()))

    def overlapping_shards(
        self, first_key: int, last_key: int
    ) -> Iterator[Shard]:
        """Yield the shards that overlap a range of keys.

        Parameters
        ----------
        first_key, last_key : int
            First and last key of the range.
        """
        return map(Shard, self._overlapping_numbers(first_key, last_key))

    def covered_shards(self, ranges: Iterable[HeldRange]) -> set[Shard]:
        """Return the shards that overlap any of some ranges of keys.

        The time is bounded by the number of ranges and of shards, however
        often the ranges overlap one another.

        Parameters
        ----------
        ranges : iterable of HeldRange
            Ranges of keys, in any order.

        Examples
        --------
        >>> keys = KeyLayout(65536, lambda: 16)
        >>> rows = (HeldRange(0, 4096, 7), HeldRange(4000, 4096, 7))
        >>> sorted(keys.covered_shards(rows))
        [0, 1]
        """
        covered: set[Shard] = set()
        stop = 0
        for first_key, last_key in sorted(
            (each.first_key, each.last_key) for each in ranges
        ):
            numbers = self._overlapping_numbers(first_key, last_key)
            covered.update(
                map(Shard, range(max(stop, numbers.start), numbers.stop))
            )
            stop = max(stop, numbers.stop)
        return covered

    def _overlapping_numbers(self, first_key: int, last_key: int) -> range:
        count = self.shard_count()
        last = min(last_key, self.key_space - 1)
        return range(
            first_key * count // self.key_space,
            last * count // self.key_space + 1,
        )


def build_hold_rows(
    servable: Mapping[Shard, Fence], keys: KeyLayout, handovers: Handovers
) -> Iterator[HeldRange]:
    """Yield one row for each run of adjacent shards, in order of keys.

    A run gets the highest fence of its shards. Fences are offsets of the log
    that this node has applied, so the next assignment of any of these shards
    gets a higher fence. Rows are split at the bounds of handovers.

    Parameters
    ----------
    servable : mapping of Shard to Fence
        Shards to grant.
    keys : KeyLayout
        Layout of keys over shards.
    handovers : Handovers
        Texts that go with the rows.
    """
    ordered = sorted(servable.items())
    start = 0
    while start < len(ordered):
        stop = _find_run_stop(ordered, start)
        run = HeldRange(
            keys.first_key(ordered[start][0]),
            keys.first_key(ordered[stop - 1][0] + 1) - 1,
            max(fence for _, fence in ordered[start:stop]),
        )
        yield from _split_at_handovers(run, handovers)
        start = stop


def filter_covered_shards(
    servable: Mapping[Shard, Fence],
    keys: KeyLayout,
    rows: tuple[HeldRange, ...],
) -> dict[Shard, Fence]:
    """Return the shards whose keys are all covered by some rows.

    Parameters
    ----------
    servable : mapping of Shard to Fence
        Shards to grant.
    keys : KeyLayout
        Layout of keys over shards.
    rows : tuple of HeldRange
        First rows of the grant, in order of keys; later rows did not fit.
    """
    stop_key = rows[-1].last_key + 1 if rows else 0
    return {
        shard: fence
        for shard, fence in servable.items()
        if keys.first_key(shard + 1) <= stop_key
    }


def _find_run_stop(ordered: list[tuple[Shard, Fence]], start: int) -> int:
    stop = start + 1
    while stop < len(ordered):
        if ordered[stop][0] != ordered[stop - 1][0] + 1:
            break
        stop += 1
    return stop


def _split_at_handovers(
    run: HeldRange, handovers: Handovers
) -> Iterator[HeldRange]:
    """Yield a run as rows that are split at the bounds of handovers."""
    position = run.first_key
    for first, last in sorted(handovers):
        if first < position or last > run.last_key:
            continue
        if first > position:
            yield HeldRange(position, first - 1, run.fence)
        yield HeldRange(first, last, run.fence, handovers[first, last])
        position = last + 1
    if position <= run.last_key:
        yield HeldRange(position, run.last_key, run.fence)
