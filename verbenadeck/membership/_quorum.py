"""Quorums of witness sets of any size."""


def renewal_quorum(witness_count: int) -> int:
    """Return how many witnesses must renew a lease.

    Examples
    --------
    >>> [renewal_quorum(count) for count in range(4)]
    [0, 1, 2, 2]
    """
    return witness_count // 2 + 1 if witness_count else 0


def eviction_quorum(witness_count: int) -> int:
    """Return how many votes evict; any such set meets every renewal quorum.

    Examples
    --------
    >>> [eviction_quorum(count) for count in range(1, 4)]
    [1, 1, 2]
    """
    return witness_count - renewal_quorum(witness_count) + 1
