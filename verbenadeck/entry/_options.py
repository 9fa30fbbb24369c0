"""Options of the entry server."""

import msgspec

from verbenadeck.entry._connection_limits import (
    ConnectionLimits,
    check_positive,
    derive_max_connections,
)

_DESCRIPTOR_SHARE = 0.7
"""Share of the process's descriptors for the connections of callers."""

_HEAD_PARTS = 2
"""A head has a request line and header lines; the published limit is for the
header lines, and was applied to the request line as well."""


class EntryOptions(msgspec.Struct, frozen=True):
    """Address, limits and time-outs of the entry server.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    body_limit_bytes : int
        Maximum size of a request body, in bytes.
    held_bodies_limit_bytes : int
        Maximum size of the bodies of all requests in progress, in bytes.
    listen_backlog : int
        Maximum number of connections that wait to be accepted.
    idle_timeout_s : float
        Time after which an idle connection is closed, in seconds.
    header_timeout_s : float
        Time within which the head of a request must arrive, in seconds.
    header_limit_bytes : int
        Maximum size of the request line and of the header lines of a
        request, in bytes.
    close_after_s : float
        Time without a new request after which a stopping server closes the
        remaining connections, in seconds.
    close_poll_s : float
        Interval of the checks for that, in seconds.
    refuses_when_stopping : bool
        Whether a stopping server refuses new requests on open connections,
        since the process may be killed before they end.
    head_limit_bytes : int or None
        Maximum size of a whole head with the empty lines before it, in bytes;
        None for twice `header_limit_bytes`.
    framing_limit_bytes : int
        Maximum size of the chunk headers and trailers of a body, in bytes,
        beside 16 for each byte of the body.
    partial_heads_limit_bytes : int
        Maximum size of all heads that are not complete, in bytes.
    unread_answer_limit_bytes : int
        Maximum size of what one caller has not read of an answer, in bytes.
    unread_answers_limit_bytes : int
        Maximum size of what all callers have not read, in bytes.
    answer_progress_timeout_s : float
        Time in seconds within which a caller must read some of an answer.
    max_connections : int or None
        Maximum number of connections; None for 0.7 of the descriptors that
        the process may open and that are not for files.

    Raises
    ------
    ValueError
        If a limit of the last ones is not positive.
    """

    host: str = '127.0.0.1'
    port: int = 0
    body_limit_bytes: int = 1_048_576
    held_bodies_limit_bytes: int = 33_554_432
    listen_backlog: int = 1024
    idle_timeout_s: float = 75
    header_timeout_s: float = 60
    header_limit_bytes: int = 8_192
    close_after_s: float = 0.5
    close_poll_s: float = 0.05
    refuses_when_stopping: bool = False
    head_limit_bytes: int | None = None
    framing_limit_bytes: int = 65_536
    partial_heads_limit_bytes: int = 8_388_608
    unread_answer_limit_bytes: int = 9_437_184
    unread_answers_limit_bytes: int = 16_777_216
    answer_progress_timeout_s: float = 30
    max_connections: int | None = None

    def __post_init__(self) -> None:
        """Check the limits that no operator publishes."""
        check_positive(
            self,
            'head_limit_bytes',
            'framing_limit_bytes',
            'partial_heads_limit_bytes',
            'unread_answer_limit_bytes',
            'unread_answers_limit_bytes',
            'answer_progress_timeout_s',
            'max_connections',
        )


def make_connection_limits(options: EntryOptions) -> ConnectionLimits:
    """Return the limits of callers' connections.

    Parameters
    ----------
    options : EntryOptions
        Options of the entry.
    """
    return ConnectionLimits(
        max_connections=(
            options.max_connections or derive_max_connections(_DESCRIPTOR_SHARE)
        ),
        header_limit_bytes=options.header_limit_bytes,
        head_limit_bytes=(
            options.head_limit_bytes or _HEAD_PARTS * options.header_limit_bytes
        ),
        header_timeout_s=options.header_timeout_s,
        idle_timeout_s=options.idle_timeout_s,
        framing_limit_bytes=options.framing_limit_bytes,
        partial_heads_limit_bytes=options.partial_heads_limit_bytes,
        unread_answer_limit_bytes=options.unread_answer_limit_bytes,
        unread_answers_limit_bytes=options.unread_answers_limit_bytes,
        answer_progress_timeout_s=options.answer_progress_timeout_s,
    )
