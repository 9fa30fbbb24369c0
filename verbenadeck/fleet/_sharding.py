"""Mapping of keys and request ids to shards."""

import xxhash

from verbenadeck.model import Request, ServicePolicy, Shard


def shard_of(key: str, shard_count: int) -> Shard:
    """Return the shard that a key or a request id hashes to.

    Parameters
    ----------
    key : str
        Key or request id.
    shard_count : int
        Number of shards, a power of two.

    Returns
    -------
    Shard

    Examples
    --------
    >>> 0 <= shard_of('oven-17', 4096) < 4096
    True
    """
    return Shard(xxhash.xxh3_64_intdigest(key.encode()) & (shard_count - 1))


def key_shard(key: str, policy: ServicePolicy) -> Shard:
    """Return the shard of a key under the policy of its service.

    A numeric key space is split into ranges of equal length. A key outside
    of the key space is hashed; its upstream will refuse the request.

    Parameters
    ----------
    key : str
        The key.
    policy : ServicePolicy
        Policy with the shard count and the key space.

    Returns
    -------
    Shard

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
    """Return the shard whose owner must run a request.

    Parameters
    ----------
    request : Request
        The request.
    policy : ServicePolicy
        Policy of its service.

    Returns
    -------
    Shard or None
        None if any proxy of the service may run the request.
    """
    if policy.is_keyed:
        return key_shard(request.key or '', policy)
    if request.is_repeatable or not policy.has_ledger_shards:
        return None
    return shard_of(request.request_id, policy.shard_count)
