"""Messages between the log clients of nodes."""

from verbenadeck.adapters import LogFailure
from verbenadeck.journal._stream_state import PositionedRecord
from verbenadeck.model import Era, Offset
from verbenadeck.peers import Message


class RelayFetch(Message, frozen=True, array_like=True, tag='relay-fetch'):
    """Request to a peer for records of the log.

    Parameters
    ----------
    next_offset : Offset
        Index of the first requested record in the log.
    wait_s : float
        Maximum time in seconds that the peer waits for that record.
    era : Era
        Era of the log that the requester's records are from.
    """

    next_offset: Offset
    wait_s: float
    era: Era = Era(0)


class StreamFetch(RelayFetch, frozen=True, array_like=True, tag='stream-fetch'):
    """Request to a peer for records of a stream other than the log."""


class RelayPage(Message, frozen=True, array_like=True, tag='relay-page'):
    """Answer to a fetch: consecutive records.

    Parameters
    ----------
    first_offset : Offset
        Oldest index that the log retains, as far as the peer knows.
    start_offset : Offset
        Index of the first record of `records`.
    records : tuple of bytes
        Records; empty if the peer has none from that offset on.
    age_s : float
        Time in seconds since the peer last knew the end of the log, directly
        or through other peers.
    is_kept : bool
        Whether the peer can serve records from the requested offset on.
    era : Era
        Era of the log that the peer's records are from. Records of another
        era than the requester's are not returned.
    """

    first_offset: Offset
    start_offset: Offset
    records: tuple[bytes, ...]
    age_s: float
    is_kept: bool
    era: Era = Era(0)


class RelayState(Message, frozen=True, array_like=True, tag='relay-state'):
    """Answer to a fetch of a stream: the newest record of each name.

    Sent in place of a page if the peer has the requested records no more, or
    if the requester's are from an earlier era.

    Parameters
    ----------
    end_offset : Offset
        Index up to which the records are complete, itself excluded.
    records : tuple of PositionedRecord
        Newest record of each name, drops included.
    age_s : float
        Time in seconds since the peer last knew the end of the stream, directly
        or through other peers.
    era : Era
        Era of the stream that the records were read in.
    """

    end_offset: Offset
    records: tuple[PositionedRecord, ...]
    age_s: float
    era: Era


class RelayAppend(Message, frozen=True, array_like=True, tag='relay-append'):
    """Request to a peer to append an encoded record unchanged.

    The payload contains its writer and sequence number, so that it takes
    effect once, regardless of how many peers append it.

    Parameters
    ----------
    payload : bytes
        Encoded envelope.
    name : str
        Name under which the log retains the record; empty for none.
    generation : int
        Generation of a named record.
    """

    payload: bytes
    name: str = ''
    generation: int = 0


class RelayAppended(
    Message, frozen=True, array_like=True, tag='relay-appended'
):
    """Result of an append by a peer.

    Parameters
    ----------
    failure : LogFailure or None
        Failure of the append, None if it succeeded.
    """

    failure: LogFailure | None


MESSAGE_TYPES: tuple[type[Message], ...] = (
    RelayFetch,
    StreamFetch,
    RelayPage,
    RelayState,
    RelayAppend,
    RelayAppended,
)
"""Message types that the peer transport must be able to decode."""
