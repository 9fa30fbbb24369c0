"""Options of the client."""

import msgspec


class ClientOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the client.

    Parameters
    ----------
    timeout_s : float
        Time for a call that names none.
    attempt_timeout_s : float
        Longest wait for the answer to one attempt; then the same request id
        goes out again over another connection.
    connect_timeout_s : float
        Longest wait for a connection.
    attempts : int
        Most attempts for one call.
    backoff_s : float
        Mean wait before the second attempt when there is no hint; it
        doubles with each further one.
    longest_wait_s : float
        Longest wait between two attempts, hints included.
    avoid_s : float
        Time for which an entry that failed or leaves is avoided.
    connections : int
        Most connections to one entry.
    owners : int
        Most shards whose owner is remembered.
    answer_limit_bytes : int
        Largest body of an answer.
    """

    timeout_s: float = 10
    attempt_timeout_s: float = 3
    connect_timeout_s: float = 0.5
    attempts: int = 8
    backoff_s: float = 0.05
    longest_wait_s: float = 2
    avoid_s: float = 1
    connections: int = 100
    owners: int = 65_536
    answer_limit_bytes: int = 8_388_608
