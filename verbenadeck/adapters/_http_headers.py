"""Removal of the headers that belong to a single connection."""

from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that are forwarded to the next hop.

    Headers that are listed in `Connection` are left out, as RFC 9110 requires,
    and so is `Content-Length`, which each hop sets itself.

    Parameters
    ----------
    headers : iterable of (str, str)
        All headers as received.

    Examples
    --------
    >>> end_to_end_headers(
    ...     [('Connection', 'X-Hop'), ('X-Hop', '1'), ('Accept', '*')]
    ... )
    (('Accept', '*'),)
    """
    pairs = tuple(headers)
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, text in pairs:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
    # HTTP libraries may return subclasses of `str`, which the codec of the
    # connections between nodes refuses.
    return tuple(
        (str(name), str(text))
        for name, text in pairs
        if name.lower() not in dropped
    )
