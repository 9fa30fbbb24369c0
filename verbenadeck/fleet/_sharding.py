"""From keys to shards."""

import xxhash

from verbenadeck.model import Shard


def shard_of(key: str, shard_count: int) -> Shard:
    """Return the shard of a key or of a request id.

    Parameters
    ----------
    key : str
        Key or request id.
    shard_count : int
        Number of shards, a power of two.

    Examples
    --------
    >>> 0 <= shard_of('oven-17', 4096) < 4096
    True
    """
    return Shard(xxhash.xxh3_64_intdigest(key.encode()) & (shard_count - 1))
