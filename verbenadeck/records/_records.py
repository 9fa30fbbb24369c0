"""Typed records of the log."""

import enum

import msgspec

from verbenadeck.model import (
    ConfigVersion,
    Epoch,
    Era,
    Fence,
    Incarnation,
    Offset,
    ServiceName,
    WriterId,
)
from verbenadeck.records._era_records import (
    ClaimsClosed,
    EraStart,
    HoldClaim,
)
from verbenadeck.records._node_records import (
    NodeJoin,
    NodeLeave,
    UpstreamLeave,
)
from verbenadeck.records._ranges import ReleasedRange


class Witnesses(msgspec.Struct, frozen=True, array_like=True, tag='witness'):
    """Change of a member's own witness set.

    The offset of the record becomes the new epoch.

    Parameters
    ----------
    incarnation : Incarnation
        Member whose witness set changes.
    expected_epoch : Epoch
        Epoch that must be current for the change to take effect.
    witnesses : tuple of Incarnation
        New witness set.
    """

    incarnation: Incarnation
    expected_epoch: Epoch
    witnesses: tuple[Incarnation, ...]


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Vote of a witness that the lease of a member has lapsed.

    Parameters
    ----------
    incarnation : Incarnation
        Member whose lease has lapsed.
    epoch : Epoch
        Epoch, that is the witness set, to which the vote applies.
    witness : Incarnation
        Member that votes.
    since_offset : Offset
        Offset that the voter had applied a full lease time before it voted.
        Witnesses that had left the fleet by then count as votes too, since
        the leases that they renewed have expired. -1 counts none of them.
    """

    incarnation: Incarnation
    epoch: Epoch
    witness: Incarnation
    since_offset: Offset = Offset(-1)


class Suspect(msgspec.Struct, frozen=True, array_like=True, tag='suspect'):
    """Votes of one witness about any number of members.

    Parameters
    ----------
    votes : tuple of Vote
        The votes.
    """

    votes: tuple[Vote, ...]


class ShardMove(msgspec.Struct, frozen=True, array_like=True):
    """Assignment of a range of shards that share one expected fence.

    Parameters
    ----------
    service : ServiceName
        Service of the shards.
    first_shard : int
        First shard of the range.
    stop_shard : int
        One past the last shard of the range.
    expected_fence : Fence
        Fence that all shards must have for the move to take effect.
    new_owner : Incarnation
        Member that the shards are assigned to.
    """

    service: ServiceName
    first_shard: int
    stop_shard: int
    expected_fence: Fence
    new_owner: Incarnation


class Assign(msgspec.Struct, frozen=True, array_like=True, tag='assign'):
    """Assignments of shards to owners.

    The offset of the record becomes the new fence. Each move is applied
    independently: it takes effect if every shard of its range still has the
    expected fence.

    Parameters
    ----------
    moves : tuple of ShardMove
        The assignments.
    """

    moves: tuple[ShardMove, ...]


class Released(msgspec.Struct, frozen=True, array_like=True, tag='released'):
    """Statement of an earlier owner that it no longer serves some shards.

    Parameters
    ----------
    incarnation : Incarnation
        The earlier owner.
    ranges : tuple of ReleasedRange
        Shards that it has stopped serving.
    as_of_offset : Offset
        Last offset that it had applied when it stopped. The release covers
        only assignments up to this offset: a delayed release must not
        release a shard that was assigned to this owner again in the
        meantime.
    """

    incarnation: Incarnation
    ranges: tuple[ReleasedRange, ...]
    as_of_offset: Offset


class ConfigPublished(
    msgspec.Struct, frozen=True, array_like=True, tag='config'
):
    """New configuration document.

    Parameters
    ----------
    expected_version : ConfigVersion
        Version that must be current for the document to take effect.
    document : bytes
        Whole document, encoded.
    author : str
        Author of the document.
    """

    expected_version: ConfigVersion
    document: bytes
    author: str


class CheckpointChunk(
    msgspec.Struct, frozen=True, array_like=True, tag='checkpoint'
):
    """Chunk of a checkpoint of the fleet state.

    Parameters
    ----------
    as_of_offset : Offset
        Offset of the last record that the checkpoint includes.
    index : int
        Index of the chunk, from 0.
    count : int
        Number of chunks of the checkpoint.
    part : bytes
        Content of the chunk.
    """

    as_of_offset: Offset
    index: int
    count: int
    part: bytes


Record = (
    NodeJoin
    | NodeLeave
    | Witnesses
    | Suspect
    | Assign
    | Released
    | ConfigPublished
    | CheckpointChunk
    | UpstreamLeave
    | EraStart
    | HoldClaim
    | ClaimsClosed
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Record with its writer and sequence number.

    With these, a record that is appended repeatedly takes effect once.

    Parameters
    ----------
    format_version : int
        Version of the record format.
    writer : WriterId
        Process that wrote the record.
    sequence : int
        Sequence number of the record by that writer, from 1. Records may
        reach the log in another order; each number takes effect at most once.
    record : Record
        The record.
    seen_offset : Offset
        Last offset that the writer had applied when it first proposed the
        record. The record takes effect only within a limited number of
        offsets after it, so that readers may drop the state of old writers.
    era : Era
        Era of the log that the writer's state was read in. The record takes
        no effect after a record of a later era.
    """

    format_version: int
    writer: WriterId
    sequence: int
    record: Record
    seen_offset: Offset = Offset(-1)
    era: Era = Era(0)


class Verdict(enum.Enum):
    """Result of applying a record, the same on every node.

    Attributes
    ----------
    ACCEPTED
        The record took effect, at least in part.
    DUPLICATE
        A record with this writer and sequence number was applied before.
    STALE
        The record does not fit the current state and had no effect.
    INVALID
        The record is malformed or can never be valid and had no effect.
    """

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    STALE = 'stale'
    INVALID = 'invalid'
