"""Records of planned moves."""

from collections.abc import Iterator, Mapping, Sequence
from itertools import groupby

from verbenadeck.model import Fence, Incarnation, ServiceName, Shard
from verbenadeck.records import Assign, ShardMove

MOVES_PER_RECORD = 256
"""Ranges in one record."""

_Entry = tuple[int, Shard]


def make_assign_records(
    service: ServiceName,
    moves: Mapping[Shard, Incarnation],
    fences: Sequence[int],
) -> Iterator[Assign]:
    """Yield records of bounded size that make the moves.

    Consecutive shards with one expected fence and one new owner are one
    range.

    Examples
    --------
    >>> record, = make_assign_records('a', {0: 7, 1: 7, 2: 8}, [-1, -1, -1])
    >>> [(each.first_shard, each.stop_shard) for each in record.moves]
    [(0, 2), (2, 3)]
    """

    def run_of(entry: _Entry) -> tuple[int, int, Incarnation]:
        position, shard = entry
        return shard - position, fences[shard], moves[shard]

    ranges: list[ShardMove] = []
    for (_, fence, owner), run in groupby(enumerate(sorted(moves)), run_of):
        shards = [shard for _, shard in run]
        ranges.append(
            ShardMove(service, shards[0], shards[-1] + 1, Fence(fence), owner)
        )
    for start in range(0, len(ranges), MOVES_PER_RECORD):
        yield Assign(tuple(ranges[start : start + MOVES_PER_RECORD]))
