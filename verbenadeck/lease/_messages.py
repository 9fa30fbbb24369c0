"""Messages of a planned move between the earlier and the new owner."""

from verbenadeck.adapters import KeyHandover
from verbenadeck.model import Incarnation, Offset
from verbenadeck.peers import Message
from verbenadeck.records import ReleasedRange


class Release(Message, frozen=True, array_like=True, tag='release'):
    """An earlier owner serves these shards no more.

    Parameters
    ----------
    member : Incarnation
        Earlier owner.
    ranges : tuple of ReleasedRange
        Shards that it has closed.
    as_of_offset : Offset
        Position of the log that it had applied; later assignments are not
        covered.
    ledger_entries : bytes
        Entries of its door's request ledger for these shards.
    handovers : tuple of KeyHandover
        What its upstream left for the upstream that holds the keys next.
    """

    member: Incarnation
    ranges: tuple[ReleasedRange, ...]
    as_of_offset: Offset
    ledger_entries: bytes
    handovers: tuple[KeyHandover, ...] = ()


class ReleaseAck(Message, frozen=True, array_like=True, tag='release-ack'):
    """The release was noted."""

    as_of_offset: Offset


MESSAGE_TYPES: tuple[type[Message], ...] = (Release, ReleaseAck)
