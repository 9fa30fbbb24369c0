"""Conversion between shards and ranges of shards."""

from collections.abc import Iterable, Iterator
from itertools import pairwise

from verbenadeck.model import ServiceName, Shard
from verbenadeck.records import ReleasedRange

ShardKey = tuple[ServiceName, Shard]


def shards_in(ranges: Iterable[ReleasedRange]) -> Iterator[ShardKey]:
    """Yield every shard of some ranges.

    Parameters
    ----------
    ranges : iterable of ReleasedRange
        Ranges of shards.
    """
    for each in ranges:
        for shard in range(each.first_shard, each.stop_shard):
            yield each.service, Shard(shard)


def ranges_of(shards: Iterable[ShardKey]) -> tuple[ReleasedRange, ...]:
    """Return the smallest number of ranges that cover some shards exactly.

    Parameters
    ----------
    shards : iterable of ShardKey
        Shards in any order.

    Examples
    --------
    >>> [(r.first_shard, r.stop_shard) for r in ranges_of(
    ...     [('a', 4), ('a', 1), ('a', 2)])]
    [(1, 3), (4, 5)]
    """
    ordered = sorted(set(shards))
    if not ordered:
        return ()
    breaks = [
        index
        for index, (previous, current) in enumerate(pairwise(ordered), start=1)
        if current != (previous[0], previous[1] + 1)
    ]
    bounds = pairwise((0, *breaks, len(ordered)))
    return tuple(
        ReleasedRange(
            ordered[first][0], ordered[first][1], ordered[stop - 1][1] + 1
        )
        for first, stop in bounds
    )
