"""Options of the entry server."""

import msgspec


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
        Maximum size of the head of a request, in bytes.
    close_after_s : float
        Time without a new request after which a stopping server closes the
        remaining connections, in seconds.
    close_poll_s : float
        Interval of the checks for that, in seconds.
    refuses_when_stopping : bool
        Whether a stopping server refuses new requests on open connections,
        since the process may be killed before they end.
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
