"""Options of the client."""

import msgspec

from verbenadeck.adapters import MAX_ANSWER_BYTES


class ClientOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Time-outs and limits of the client.

    Parameters
    ----------
    timeout_s : float
        Time for a call without a time-out of its own, in seconds.
    attempt_timeout_s : float
        Maximum wait for the answer to one attempt, in seconds; after it the
        request is sent again under the same id over another connection.
    connect_timeout_s : float
        Maximum wait for a connection, in seconds.
    attempts : int
        Maximum number of attempts for one call.
    backoff_s : float
        Mean wait before the second attempt when the refusal has no hint, in
        seconds; it doubles with each further attempt.
    longest_wait_s : float
        Maximum wait between two attempts, hints included, in seconds.
    avoid_s : float
        Time for which an entry that failed or is leaving is avoided, in
        seconds.
    connections : int
        Maximum number of connections to one entry.
    owners : int
        Maximum number of shards whose owner is stored.
    answer_limit_bytes : int
        Maximum size of an answer's body, in bytes.
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
    answer_limit_bytes: int = MAX_ANSWER_BYTES
