"""Typed records of the platform's log."""

import enum

import msgspec

from verbenadeck.model import (
    ConfigVersion,
    Epoch,
    Fence,
    Incarnation,
    NodeId,
    Offset,
    Region,
    ServiceName,
    WriterId,
    Zone,
)


class NodeJoin(msgspec.Struct, frozen=True, array_like=True, tag='join'):
    """A node enters the fleet; the record's offset is its incarnation.

    Parameters
    ----------
    node_id : NodeId
        Name of the node.
    zone, region : str
        Where it runs.
    service : ServiceName
        Service of the upstream beside it.
    slots : int
        Slots of that upstream when warm.
    host : str
        IP address of the node.
    peer_port, entry_port : int
        Ports for peers and for callers.
    upstream_instance : str
        Life of the upstream beside it.
    witnesses : tuple of Incarnation
        First witness set; empty for a node without peers.
    admin_port : int
        Port for operators; 0 when not told.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName
    slots: int
    host: str
    peer_port: int
    entry_port: int
    upstream_instance: str = ''
    witnesses: tuple[Incarnation, ...] = ()
    admin_port: int = 0


class LeavePhase(enum.Enum):
    """Step of a planned leave."""

    DRAINING = 'draining'
    GONE = 'gone'


class NodeLeave(msgspec.Struct, frozen=True, array_like=True, tag='leave'):
    """A member leaves as planned.

    `DRAINING` asks for its shards to be moved. `GONE` is its own word that
    it runs nothing and holds no lease any more.
    """

    incarnation: Incarnation
    phase: LeavePhase


class Witnesses(msgspec.Struct, frozen=True, array_like=True, tag='witness'):
    """A member changes its own witness set; the offset is the new epoch."""

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
        Witness set that the vote is for.
    witness : Incarnation
        Member that votes.
    since_offset : Offset
        Position that the voter had applied a full lease before it voted.
        Witnesses that had left the fleet by then count as votes too, since
        what they renewed has run out. -1 counts none.
    """

    incarnation: Incarnation
    epoch: Epoch
    witness: Incarnation
    since_offset: Offset = Offset(-1)


class Suspect(msgspec.Struct, frozen=True, array_like=True, tag='suspect'):
    """Votes of one witness about any number of members."""

    votes: tuple[Vote, ...]


class ShardMove(msgspec.Struct, frozen=True, array_like=True):
    """Assignment of a range of shards that share one expected fence."""

    service: ServiceName
    first_shard: int
    stop_shard: int
    expected_fence: Fence
    new_owner: Incarnation


class Assign(msgspec.Struct, frozen=True, array_like=True, tag='assign'):
    """Assignments; the record's offset is the new fence.

    Each move is judged alone: it takes effect when every shard of its range
    still has the expected fence.
    """

    moves: tuple[ShardMove, ...]


class ReleasedRange(msgspec.Struct, frozen=True, array_like=True):
    """Range of shards whose earlier owner has stopped serving them."""

    service: ServiceName
    first_shard: int
    stop_shard: int


class Released(msgspec.Struct, frozen=True, array_like=True, tag='released'):
    """An earlier owner states that it serves these shards no more.

    Parameters
    ----------
    incarnation : Incarnation
        The earlier owner.
    ranges : tuple of ReleasedRange
        Shards that it has stopped serving.
    as_of_offset : Offset
        Position it had applied when it stopped. The release covers
        assignments up to there only: one that arrives late must not release
        a shard that came back to this owner in the meantime.
    """

    incarnation: Incarnation
    ranges: tuple[ReleasedRange, ...]
    as_of_offset: Offset


class ConfigPublished(
    msgspec.Struct, frozen=True, array_like=True, tag='config'
):
    """A whole configuration document that replaces an expected version."""

    expected_version: ConfigVersion
    document: bytes
    author: str


class CheckpointChunk(
    msgspec.Struct, frozen=True, array_like=True, tag='checkpoint'
):
    """Part of the fleet state as of an offset."""

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
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Record with its writer, so that a repeated append applies once.

    Parameters
    ----------
    format_version : int
        Version of the record format.
    writer : WriterId
        Process that wrote it.
    sequence : int
        Number of the record by that writer, from 1. Records may reach the
        log in another order; each number takes effect at most once.
    record : Record
        The record.
    seen_offset : Offset
        Last position that the writer had applied when it first proposed the
        record. Far beyond it the record has no effect any more, so that
        readers may forget writers.
    """

    format_version: int
    writer: WriterId
    sequence: int
    record: Record
    seen_offset: Offset = Offset(-1)


class Verdict(enum.Enum):
    """Judgement on a record, the same on every node."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    STALE = 'stale'
    INVALID = 'invalid'
