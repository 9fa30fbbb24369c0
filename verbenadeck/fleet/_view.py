"""Read access to the state that all nodes derive from the log."""

import enum
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from typing import Protocol

import msgspec

from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    Epoch,
    Fence,
    Incarnation,
    NodeId,
    Offset,
    Region,
    ServiceName,
    Shard,
    Zone,
)
from verbenadeck.peers import PeerAddress
from verbenadeck.records import Record, ReleasedRange, Verdict


class MemberState(enum.Enum):
    """State of one incarnation of a node."""

    JOINED = 'joined'
    DRAINING = 'draining'
    GONE = 'gone'
    EVICTED = 'evicted'


class Member(msgspec.Struct, frozen=True):
    """One incarnation of a node as the log has it.

    Parameters
    ----------
    incarnation : Incarnation
        Offset of its `NodeJoin` record.
    node_id : NodeId
        Name of the node.
    zone, region, service : str
        Where it runs and what its upstream provides.
    slots : int
        Slots of its upstream when warm.
    address : PeerAddress
        Address for peers.
    entry_port : int
        Port for callers.
    upstream_instance : str
        Life of the upstream beside it.
    witnesses : tuple of Incarnation
        Witness set in force.
    epoch : Epoch
        Offset of the record that installed the witness set.
    state : MemberState
        State.
    admin_port : int
        Port for operators; 0 when not told.
    """

    incarnation: Incarnation
    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName
    slots: int
    address: PeerAddress
    entry_port: int
    upstream_instance: str
    witnesses: tuple[Incarnation, ...]
    epoch: Epoch
    state: MemberState
    admin_port: int = 0


class ShardView(msgspec.Struct, frozen=True):
    """Owner of a shard.

    Parameters
    ----------
    owner : Incarnation
        Owner named by the last valid assignment, or `NO_MEMBER`.
    fence : Fence
        Fence of that assignment.
    earlier_owners : tuple of Incarnation
        Earlier owners that have neither released it nor been evicted; the
        owner may serve only when this is empty.
    """

    owner: Incarnation
    fence: Fence
    earlier_owners: tuple[Incarnation, ...]


AppliedListener = Callable[[Offset, Record, Verdict], None]


class FleetView(Protocol):
    """Fleet state as of the last applied record."""

    @property
    def applied_offset(self) -> Offset:
        """Offset of the last applied record, -1 before the first."""
        ...

    @property
    def members(self) -> Mapping[Incarnation, Member]:
        """Members that are joined or draining."""
        ...

    @property
    def config(self) -> ConfigDocument:
        """Configuration document in force."""
        ...

    @property
    def config_version(self) -> ConfigVersion:
        """Version of the document, 0 before the first."""
        ...

    @property
    def config_author(self) -> str:
        """Author of the document in force, empty before the first."""
        ...

    def member(self, incarnation: Incarnation) -> Member | None:
        """Return a member, also one that left not long ago."""
        ...

    def state_of(self, incarnation: Incarnation) -> MemberState | None:
        """Return the state of an incarnation, None when never joined."""
        ...

    def shard_count(self, service: ServiceName) -> int:
        """Return the number of shards, 0 for an unknown service."""
        ...

    def shard(self, service: ServiceName, shard: Shard) -> ShardView:
        """Return the owner of a shard."""
        ...

    def owned_by(self, incarnation: Incarnation) -> Iterator[ReleasedRange]:
        """Yield the ranges of shards whose named owner is a member."""
        ...

    def unreleased_by(
        self, incarnation: Incarnation
    ) -> Iterator[ReleasedRange]:
        """Yield ranges that a member owned earlier and has not released."""
        ...

    def subscribe(self, listener: AppliedListener) -> None:
        """Call a listener after each record is applied.

        After the state was replaced by a checkpoint, the listener gets a
        `CheckpointChunk` with a `count` of 0: anything may have changed.
        """
        ...


class FleetTables(FleetView, Protocol):
    """Fleet state with its flat arrays, for planning over all shards."""

    def owners(self, service: ServiceName) -> Sequence[int]:
        """Return the named owners by shard, in a flat array to read only."""
        ...

    def fences(self, service: ServiceName) -> Sequence[int]:
        """Return the fences by shard, in a flat array to read only."""
        ...

    def unreleased_shards(self, service: ServiceName) -> Collection[int]:
        """Return the shards with an earlier owner that has not released."""
        ...
