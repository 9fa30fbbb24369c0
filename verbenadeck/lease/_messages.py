"""Messages from the earlier owner to the new owner in a planned move."""

from verbenadeck.adapters import KeyHandover
from verbenadeck.model import Incarnation, Offset
from verbenadeck.peers import Message
from verbenadeck.records import ReleasedRange


class Release(Message, frozen=True, array_like=True, tag='release'):
    """Notice that an earlier owner no longer serves some shards.

    Parameters
    ----------
    member : Incarnation
        Earlier owner.
    ranges : tuple of ReleasedRange
        Shards that it has closed.
    as_of_offset : Offset
        Log offset up to which it had applied; the release does not cover
        later assignments.
    ledger_entries : bytes
        Entries of the request ledger of its proxy for these shards.
    handovers : tuple of KeyHandover
        Texts of its upstream for the upstream that holds the keys next.
    """

    member: Incarnation
    ranges: tuple[ReleasedRange, ...]
    as_of_offset: Offset
    ledger_entries: bytes
    handovers: tuple[KeyHandover, ...] = ()


class ReleaseAck(Message, frozen=True, array_like=True, tag='release-ack'):
    """Acknowledgement of a release.

    Parameters
    ----------
    as_of_offset : Offset
        As in the release.
    """

    as_of_offset: Offset


MESSAGE_TYPES: tuple[type[Message], ...] = (Release, ReleaseAck)
