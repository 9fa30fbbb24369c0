"""Log records of planned moves."""

from collections.abc import Iterator, Mapping, Sequence
from itertools import groupby

from verbenadeck.model import Fence, Incarnation, ServiceName, Shard
from verbenadeck.records import Assign, ShardMove

MAX_RANGES_PER_RECORD = 256
"""Maximum number of shard ranges in one record."""

_Entry = tuple[int, Shard]


def make_assign_records(
    service: ServiceName,
    moves: Mapping[Shard, Incarnation],
    fences: Sequence[int],
) -> Iterator[Assign]:
    """Yield assignment records of bounded size for planned moves.

    Consecutive shards with the same expected fence and the same new owner
    form one range.

    Parameters
    ----------
    service : ServiceName
        Service of the shards.
    moves : mapping of Shard to Incarnation
        New owner of each shard that moves.
    fences : sequence of int
        Present fence of each shard; the record applies to no other.

    Examples
    --------
    >>> record, = make_assign_records('a', {0: 7, 1: 7, 2: 8}, [-1, -1, -1])
    >>> [(each.first_shard, each.stop_shard) for each in record.moves]
    [(0, 2), (2, 3)]
    """

    def range_key(entry: _Entry) -> tuple[int, int, Incarnation]:
        position, shard = entry
        return shard - position, fences[shard], moves[shard]

    ranges: list[ShardMove] = []
    for (_, fence, owner), shard_range in groupby(
        enumerate(sorted(moves)), range_key
    ):
        shards = [shard for _, shard in shard_range]
        ranges.append(
            ShardMove(service, shards[0], shards[-1] + 1, Fence(fence), owner)
        )
    for start in range(0, len(ranges), MAX_RANGES_PER_RECORD):
        yield Assign(tuple(ranges[start : start + MAX_RANGES_PER_RECORD]))
