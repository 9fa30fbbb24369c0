"""Limits of the connections of clients."""

import resource

import msgspec

_USUAL_DESCRIPTORS = 4_100
"""Descriptors of a node on the platform, taken if the process has no limit."""

_FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""

_MIN_CONNECTIONS = 8


class ConnectionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one server's connections, each of them and all together.

    Parameters
    ----------
    header_limit_bytes : int
        Maximum size of a request line and of a header line, in bytes.
    head_limit_bytes : int
        Maximum size of a whole head with the empty lines before it, in bytes.
    header_timeout_s : float
        Time within which a head that has begun must arrive, in seconds.
    idle_timeout_s : float
        Time without a byte after which a connection that waits for a request
        or for more of a body is closed, in seconds.
    framing_limit_bytes : int
        Maximum size of the chunk headers and trailers of a body, in bytes,
        beside the bytes that even chunks of one byte need.
    partial_heads_limit_bytes : int
        Maximum size of all heads that are not complete, in bytes.
    unread_answer_limit_bytes : int
        Maximum size of what one caller has not read of an answer, in bytes.
    unread_answers_limit_bytes : int
        Maximum size of what all callers have not read, in bytes.
    answer_progress_timeout_s : float
        Time in seconds within which a caller must read some of an answer.
    max_connections : int
        Maximum number of connections.

    Raises
    ------
    ValueError
        If a limit that no operator publishes is not positive.
    """

    max_connections: int
    header_limit_bytes: int = 8_192
    head_limit_bytes: int = 16_384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 30.0
    framing_limit_bytes: int = 65_536
    partial_heads_limit_bytes: int = 8_388_608
    unread_answer_limit_bytes: int = 9_437_184
    unread_answers_limit_bytes: int = 16_777_216
    answer_progress_timeout_s: float = 30.0

    def __post_init__(self) -> None:
        """Check the limits that no operator publishes."""
        check_positive(
            self,
            'max_connections',
            'head_limit_bytes',
            'framing_limit_bytes',
            'partial_heads_limit_bytes',
            'unread_answer_limit_bytes',
            'unread_answers_limit_bytes',
            'answer_progress_timeout_s',
        )


def check_positive(options: msgspec.Struct, *names: str) -> None:
    """Check that fields are positive where they are set.

    Parameters
    ----------
    options : msgspec.Struct
        Options to check.
    *names : str
        Names of the fields.

    Raises
    ------
    ValueError
        If one of them is zero or negative.
    """
    for name in names:
        limit = getattr(options, name)
        if limit is not None and limit <= 0:
            raise ValueError(f'{name} must be positive: {limit}')


def derive_max_connections(share: float) -> int:
    """Return a maximum number of connections from the process's limit.

    The rest of the descriptors is for files, other nodes, the upstream and
    the log.

    Parameters
    ----------
    share : float
        Share of the descriptors that are not for files.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = _USUAL_DESCRIPTORS
    return max(_MIN_CONNECTIONS, int(share * (descriptors - _FILE_DESCRIPTORS)))
