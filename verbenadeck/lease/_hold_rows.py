"""Rows of keys that an upstream is told to hold."""

from collections.abc import Callable, Iterator, Mapping

import msgspec

from verbenadeck.adapters import HeldRange
from verbenadeck.model import Fence, Shard

Handovers = Mapping[tuple[int, int], str]
"""Texts of the last holders by first and last key."""


class KeyLayout(msgspec.Struct, frozen=True):
    """How the keys of a service are split into shards.

    Parameters
    ----------
    key_space : int
        Number of keys.
    shard_count : callable
        Returns the number of shards, 0 before it is known.

    Examples
    --------
    >>> keys = KeyLayout(65536, lambda: 16)
    >>> keys.first_key(1), list(keys.shards(4095, 4096))
    (4096, [0, 1])
    """

    key_space: int
    shard_count: Callable[[], int]

    def first_key(self, shard: int) -> int:
        """Return the first key of a shard."""
        return -(-shard * self.key_space // max(1, self.shard_count()))

    def shards(self, first_key: int, last_key: int) -> Iterator[Shard]:
        """Yield the shards that a range of keys touches."""
        count = self.shard_count()
        first = first_key * count // self.key_space
        last = last_key * count // self.key_space
        return map(Shard, range(first, last + 1))


def hold_rows(
    wanted: Mapping[Shard, Fence], keys: KeyLayout, handovers: Handovers
) -> Iterator[HeldRange]:
    """Yield one row for each run of neighbouring shards, in order.

    A run gets the highest fence of its shards. Fences are positions of the
    log that this node has applied, so the next assignment of any of these
    shards gets a higher one.
    """
    ordered = sorted(wanted.items())
    start = 0
    while start < len(ordered):
        stop = _run_stop(ordered, start)
        whole = HeldRange(
            keys.first_key(ordered[start][0]),
            keys.first_key(ordered[stop - 1][0] + 1) - 1,
            max(fence for _, fence in ordered[start:stop]),
        )
        yield from _split(whole, handovers)
        start = stop


def within_rows(
    wanted: Mapping[Shard, Fence], keys: KeyLayout, rows: tuple[HeldRange, ...]
) -> dict[Shard, Fence]:
    """Return the shards that the first rows cover in full."""
    stop_key = rows[-1].last_key + 1 if rows else 0
    return {
        shard: fence
        for shard, fence in wanted.items()
        if keys.first_key(shard + 1) <= stop_key
    }


def _run_stop(ordered: list[tuple[Shard, Fence]], start: int) -> int:
    stop = start + 1
    while stop < len(ordered):
        if ordered[stop][0] != ordered[stop - 1][0] + 1:
            break
        stop += 1
    return stop


def _split(whole: HeldRange, handovers: Handovers) -> Iterator[HeldRange]:
    """Yield rows whose bounds are those of the handovers within."""
    position = whole.first_key
    for first, last in sorted(handovers):
        if first < position or last > whole.last_key:
            continue
        if first > position:
            yield HeldRange(position, first - 1, whole.fence)
        yield HeldRange(first, last, whole.fence, handovers[first, last])
        position = last + 1
    if position <= whole.last_key:
        yield HeldRange(position, whole.last_key, whole.fence)
