"""Options of the peer port."""

import msgspec


class PeerOptions(msgspec.Struct, frozen=True):
    """Bounds and times of streams between nodes.

    Parameters
    ----------
    dial_timeout_s : float
        Longest time to set up a connection.
    redial_pause_s : float
        Time after a failed dial in which calls fail at once.
    active_ping_s : float
        Time between pings while calls wait for replies.
    idle_ping_s : float
        Time between pings of a connection without calls.
    silence_timeout_s : float
        Time without a byte after a ping at which a connection counts as
        lost.
    idle_close_s : float
        Time without calls after which a connection is closed.
    max_message_bytes : int
        Longest message.
    max_kept_bytes : int
        Most bytes of incomplete messages or unsent output a connection.
    max_running : int
        Most calls of one connection that are handled at once.
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
