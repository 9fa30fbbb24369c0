"""Interfaces for reading the state that all nodes derive from the log."""

import enum
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from typing import Protocol

import msgspec

from verbenadeck.fleet._departed_upstreams import DepartedUpstreams
from verbenadeck.fleet._era_claims import EraClaims
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
    """State of one incarnation of a node.

    Attributes
    ----------
    JOINED
        Member that may be assigned shards.
    DRAINING
        Member that is about to leave and gets no new shards.
    GONE
        Left as planned.
    EVICTED
        Removed by the votes of its witnesses.
    """

    JOINED = 'joined'
    DRAINING = 'draining'
    GONE = 'gone'
    EVICTED = 'evicted'


class Member(msgspec.Struct, frozen=True):
    """One incarnation of a node as recorded in the log.

    Parameters
    ----------
    incarnation : Incarnation
        Offset of its `NodeJoin` record.
    node_id : NodeId
        Name of the node.
    zone, region : str
        Location of the node.
    service : ServiceName
        Service that its upstream provides.
    slots : int
        Number of slots of its upstream after warm-up.
    address : PeerAddress
        Address on which it accepts messages of peers.
    entry_port : int
        Port on which it accepts requests of callers.
    upstream_instance : str
        Id of the upstream instance that it sends to.
    witnesses : tuple of Incarnation
        Current witness set.
    epoch : Epoch
        Offset of the record that installed the witness set.
    state : MemberState
        State of the membership.
    admin_port : int
        Port of its admin interface; 0 if not known.
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
    """Ownership of one shard.

    Parameters
    ----------
    owner : Incarnation
        Owner assigned by the last accepted `Assign`, or `NO_MEMBER`.
    fence : Fence
        Fence of that assignment.
    earlier_owners : tuple of Incarnation
        Earlier owners that have neither released the shard nor left nor been
        evicted; `owner` may serve only while this is empty.
    is_contested : bool
        Whether a member that is not known may still serve the shard; nobody
        may serve it as `owner` then.
    """

    owner: Incarnation
    fence: Fence
    earlier_owners: tuple[Incarnation, ...]
    is_contested: bool = False


AppliedListener = Callable[[Offset, Record, Verdict], None]
"""Function that is called with each applied record and its verdict."""


class FleetView(Protocol):
    """Read-only view of the fleet state as of the last applied record."""

    @property
    def applied_offset(self) -> Offset:
        """Offset of the last applied record; -1 before the first."""
        ...

    @property
    def members(self) -> Mapping[Incarnation, Member]:
        """Members that are joined or draining."""
        ...

    @property
    def config(self) -> ConfigDocument:
        """Current configuration document."""
        ...

    @property
    def config_version(self) -> ConfigVersion:
        """Version of the current document; 0 before the first."""
        ...

    @property
    def config_author(self) -> str:
        """Author of the current document; empty before the first."""
        ...

    def member(self, incarnation: Incarnation) -> Member | None:
        """Return a live member or a recently ended one.

        Parameters
        ----------
        incarnation : Incarnation
            Incarnation to look up.

        Returns
        -------
        Member or None
            None if it is not known: it never joined, or ended so long ago
            that its entry was dropped.
        """
        ...

    def state_of(self, incarnation: Incarnation) -> MemberState | None:
        """Return the state of an incarnation.

        Parameters
        ----------
        incarnation : Incarnation
            Incarnation to look up.

        Returns
        -------
        MemberState or None
            None if it is not known: it never joined, or ended so long ago
            that its entry was dropped.
        """
        ...

    def shard_count(self, service: ServiceName) -> int:
        """Return the number of shards of a service.

        Parameters
        ----------
        service : ServiceName
            The service.

        Returns
        -------
        int
            0 for an unknown service.
        """
        ...

    def shard(self, service: ServiceName, shard: Shard) -> ShardView:
        """Return the owner of a shard.

        Parameters
        ----------
        service : ServiceName
            Service of the shard.
        shard : Shard
            Index of the shard.

        Returns
        -------
        ShardView
        """
        ...

    def owned_by(self, incarnation: Incarnation) -> Iterator[ReleasedRange]:
        """Yield the ranges of which a member is the assigned owner.

        Parameters
        ----------
        incarnation : Incarnation
            The member.

        Yields
        ------
        ReleasedRange
        """
        ...

    def unreleased_by(
        self, incarnation: Incarnation
    ) -> Iterator[ReleasedRange]:
        """Yield the ranges that a member owned earlier and has not released.

        Parameters
        ----------
        incarnation : Incarnation
            The member.

        Yields
        ------
        ReleasedRange
        """
        ...

    def subscribe(self, listener: AppliedListener) -> None:
        """Register a function that is called after each applied record.

        When a checkpoint has replaced the whole state, the function is
        called with a `CheckpointChunk` whose `count` is 0: any part of the
        state may have changed.

        Parameters
        ----------
        listener : callable
            Called with the offset, the record and the verdict.
        """
        ...


class FleetTables(FleetView, Protocol):
    """Fleet view with access to whole shard tables, for the planner.

    Attributes
    ----------
    departed_upstreams : DepartedUpstreams
        Upstream instances that have departed from their nodes.
    claims : EraClaims
        Era of the log, and claims since its start; not to be changed.
    """

    departed_upstreams: DepartedUpstreams
    claims: EraClaims

    def owners(self, service: ServiceName) -> Sequence[int]:
        """Return the assigned owners, indexed by shard.

        Parameters
        ----------
        service : ServiceName
            The service.

        Returns
        -------
        sequence of int
            Internal array, not a copy: callers must not change it.
        """
        ...

    def fences(self, service: ServiceName) -> Sequence[int]:
        """Return the fences, indexed by shard.

        Parameters
        ----------
        service : ServiceName
            The service.

        Returns
        -------
        sequence of int
            Internal array, not a copy: callers must not change it.
        """
        ...

    def unreleased_shards(self, service: ServiceName) -> Collection[int]:
        """Return the shards that an earlier owner has not released yet.

        Parameters
        ----------
        service : ServiceName
            The service.

        Returns
        -------
        collection of int
            Indices of the shards.
        """
        ...
