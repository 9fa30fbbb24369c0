"""Options of the transport between nodes."""

import msgspec


class PeerOptions(msgspec.Struct, frozen=True):
    """Limits, intervals and timeouts of streams between nodes.

    Parameters
    ----------
    dial_timeout_s : float
        Timeout in seconds of establishing a connection.
    redial_pause_s : float
        Time in seconds after a failed dial during which calls fail
        immediately.
    active_ping_s : float
        Time in seconds without received bytes before a ping while calls
        await replies.
    idle_ping_s : float
        Time in seconds without received bytes before a ping on a
        connection without calls.
    silence_timeout_s : float
        Time in seconds after a ping without received bytes after which
        the connection counts as lost.
    idle_close_s : float
        Time in seconds without calls after which a connection is closed.
    max_message_bytes : int
        Maximum size in bytes of a message.
    max_kept_bytes : int
        Maximum size in bytes of incomplete messages, and of unsent output,
        per connection.
    max_running : int
        Maximum number of calls of one connection handled concurrently.
    """

    dial_timeout_s: float = 0.5
    redial_pause_s: float = 0.1
    active_ping_s: float = 0.25
    idle_ping_s: float = 5
    silence_timeout_s: float = 0.75
    idle_close_s: float = 300
    max_message_bytes: int = 16_777_216
    max_kept_bytes: int = 33_554_432
    max_running: int = 4096
