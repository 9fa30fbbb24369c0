"""From keys to shards."""

import xxhash

from verbenadeck.model import Request, ServicePolicy, Shard


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


def key_shard(key: str, policy: ServicePolicy) -> Shard:
    """Return the shard of a key under the policy of its service.

    Keys of a numbered key space are split into ranges of equal length. What
    is no number of that space is hashed: its upstream will refuse it.

    Examples
    --------
    >>> policy = ServicePolicy(shard_count=16, key_space=65536)
    >>> [key_shard(key, policy) for key in ('0', '4095', '4096', '65535')]
    [0, 0, 1, 15]
    """
    is_number = key.isascii() and key.isdigit()
    if not is_number or int(key) >= policy.key_space:
        return shard_of(key, policy.shard_count)
    return Shard(int(key) * policy.shard_count // policy.key_space)


def request_shard(request: Request, policy: ServicePolicy) -> Shard | None:
    """Return the shard whose owner must run a request, None for any door."""
    if policy.is_keyed:
        return key_shard(request.key or '', policy)
    if request.is_repeatable or not policy.has_ledger_shards:
        return None
    return shard_of(request.request_id, policy.shard_count)
