"""Options of the entry."""

import msgspec


class EntryOptions(msgspec.Struct, frozen=True):
    """Address and bounds of the entry.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 takes a free one.
    body_limit_bytes : int
        Largest body of a request.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    close_after_s : float
        Time without a new request after which a stopping entry closes the
        connections that are left.
    close_poll_s : float
        Time between two checks for that.
    refuses_when_stopping : bool
        Whether a stopping entry refuses new requests on open connections,
        since the process may be killed before they end.
    """

    host: str = '127.0.0.1'
    port: int = 0
    body_limit_bytes: int = 1_048_576
    idle_timeout_s: float = 75
    close_after_s: float = 0.5
    close_poll_s: float = 0.05
    refuses_when_stopping: bool = False
