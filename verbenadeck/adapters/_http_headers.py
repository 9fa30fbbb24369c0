"""Headers that belong to one connection and are never relayed."""

from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

_HOP_BY_HOP = frozenset(
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
    """Return the headers that go on to the next hop.

    Headers that `Connection` names are left out, as RFC 9110 asks, and so
    is `Content-Length`, which each hop sets anew.

    Examples
    --------
    >>> end_to_end_headers(
    ...     [('Connection', 'X-Hop'), ('X-Hop', '1'), ('Accept', '*')]
    ... )
    (('Accept', '*'),)
    """
    pairs = tuple(headers)
    dropped = set(_HOP_BY_HOP)
    for name, text in pairs:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
    # Header names of HTTP libraries may be subclasses of `str`, which the
    # codec of the peers' streams refuses.
    return tuple(
        (str(name), str(text))
        for name, text in pairs
        if name.lower() not in dropped
    )
