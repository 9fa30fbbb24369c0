"""Messages between log clients."""

from verbenadeck.adapters import LogFailure
from verbenadeck.model import Offset
from verbenadeck.peers import Message


class RelayFetch(Message, frozen=True, array_like=True, tag='relay-fetch'):
    """Asks a peer for records.

    Parameters
    ----------
    next_offset : Offset
        First wanted position.
    wait_s : float
        Longest wait of the peer for that record.
    """

    next_offset: Offset
    wait_s: float


class StreamFetch(RelayFetch, frozen=True, array_like=True, tag='stream-fetch'):
    """Asks a peer for records of the stream beside the log."""


class RelayPage(Message, frozen=True, array_like=True, tag='relay-page'):
    """Consecutive records from a peer.

    Parameters
    ----------
    first_offset : Offset
        Oldest position the log keeps, as far as the peer knows.
    start_offset : Offset
        Position of the first record of `records`.
    records : tuple of bytes
        Records; empty when the peer has none that follow.
    age_s : float
        Seconds since the end of the log was last known there, directly or
        through other peers.
    is_kept : bool
        False when the peer no longer keeps the wanted position.
    """

    first_offset: Offset
    start_offset: Offset
    records: tuple[bytes, ...]
    age_s: float
    is_kept: bool


class RelayAppend(Message, frozen=True, array_like=True, tag='relay-append'):
    """Asks a peer to append a record as it is.

    The payload carries its writer and number, so it takes effect once
    however many peers append it.
    """

    payload: bytes


class RelayAppended(
    Message, frozen=True, array_like=True, tag='relay-appended'
):
    """What a peer knows of an append; no failure when it succeeded."""

    failure: LogFailure | None


MESSAGE_TYPES: tuple[type[Message], ...] = (
    RelayFetch,
    StreamFetch,
    RelayPage,
    RelayAppend,
    RelayAppended,
)
"""Messages that the peer port must know."""
