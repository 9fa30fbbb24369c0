"""Read-only access to the fleet state."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from types import MappingProxyType

from verbenadeck.fleet._departed_upstreams import DepartedUpstreams
from verbenadeck.fleet._era_claims import EraClaims
from verbenadeck.fleet._members import Members
from verbenadeck.fleet._ownership import Ownership
from verbenadeck.fleet._view import Member, MemberState, ShardView
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    Incarnation,
    Offset,
    ServiceName,
    Shard,
)
from verbenadeck.records import ReleasedRange


class FleetReader:
    """Base class of `FleetState` with the read-only methods.

    Attributes
    ----------
    claims : EraClaims
        Era of the log, and claims since its start.
    departed_upstreams : DepartedUpstreams
        Upstream instances that have departed from their nodes.
    """

    def __init__(self) -> None:
        self._applied_offset = Offset(-1)
        self.claims = EraClaims()
        self._ownership = Ownership(self.claims)
        self._members = Members(
            (self._ownership.remove_earlier_owner, self.claims.discard)
        )
        self._config = ConfigDocument()
        self._config_version = ConfigVersion(0)
        self._config_author = ''
        self.departed_upstreams = DepartedUpstreams()

    @property
    def applied_offset(self) -> Offset:
        """Offset of the last applied record; -1 before the first."""
        return self._applied_offset

    @property
    def members(self) -> Mapping[Incarnation, Member]:
        """Members that are joined or draining."""
        return MappingProxyType(self._members.live)

    @property
    def config(self) -> ConfigDocument:
        """Current configuration document."""
        return self._config

    @property
    def config_version(self) -> ConfigVersion:
        """Version of the current document; 0 before the first."""
        return self._config_version

    @property
    def config_author(self) -> str:
        """Author of the current document; empty before the first."""
        return self._config_author

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
        return self._members.find(incarnation)

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
        member = self._members.find(incarnation)
        return None if member is None else member.state

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
        return len(self._ownership.tables.get(service, ()))

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
        return self._ownership.shard(service, shard)

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
        table = self._ownership.tables.get(service)
        return () if table is None else table.owners

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
        table = self._ownership.tables.get(service)
        return () if table is None else table.fences

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
        table = self._ownership.tables.get(service)
        return () if table is None else table.earlier_owners

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
        return self._ownership.owned_by(incarnation, self._service(incarnation))

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
        return self._ownership.unreleased_by(
            incarnation, self._service(incarnation)
        )

    def _service(self, incarnation: Incarnation) -> ServiceName | None:
        """Return the service of a member, the only one it may own shards of."""
        member = self._members.find(incarnation)
        return None if member is None else member.service
