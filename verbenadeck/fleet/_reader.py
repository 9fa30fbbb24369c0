"""Read access to the fleet state."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from types import MappingProxyType

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
    """What services read of the fleet state; nothing here changes it."""

    def __init__(self) -> None:
        self._applied_offset = Offset(-1)
        self._ownership = Ownership()
        self._members = Members(self._ownership.settle)
        self._config = ConfigDocument()
        self._config_version = ConfigVersion(0)
        self._config_author = ''

    @property
    def applied_offset(self) -> Offset:
        """Offset of the last applied record, -1 before the first."""
        return self._applied_offset

    @property
    def members(self) -> Mapping[Incarnation, Member]:
        """Members that are joined or draining."""
        return MappingProxyType(self._members.live)

    @property
    def config(self) -> ConfigDocument:
        """Configuration document in force."""
        return self._config

    @property
    def config_version(self) -> ConfigVersion:
        """Version of the document, 0 before the first."""
        return self._config_version

    @property
    def config_author(self) -> str:
        """Author of the document in force, empty before the first."""
        return self._config_author

    def member(self, incarnation: Incarnation) -> Member | None:
        """Return a member, also one that left not long ago."""
        return self._members.find(incarnation)

    def state_of(self, incarnation: Incarnation) -> MemberState | None:
        """Return the state of an incarnation, None when it is not known."""
        member = self._members.find(incarnation)
        return None if member is None else member.state

    def shard_count(self, service: ServiceName) -> int:
        """Return the number of shards, 0 for an unknown service."""
        return len(self._ownership.tables.get(service, ()))

    def shard(self, service: ServiceName, shard: Shard) -> ShardView:
        """Return the owner of a shard."""
        return self._ownership.shard(service, shard)

    def owners(self, service: ServiceName) -> Sequence[int]:
        """Return the named owners by shard, in a flat array to read only."""
        table = self._ownership.tables.get(service)
        return () if table is None else table.owners

    def fences(self, service: ServiceName) -> Sequence[int]:
        """Return the fences by shard, in a flat array to read only."""
        table = self._ownership.tables.get(service)
        return () if table is None else table.fences

    def unreleased_shards(self, service: ServiceName) -> Collection[int]:
        """Return the shards with an earlier owner that has not released."""
        table = self._ownership.tables.get(service)
        return () if table is None else table.earlier_owners

    def owned_by(self, incarnation: Incarnation) -> Iterator[ReleasedRange]:
        """Yield the ranges of shards whose named owner is a member."""
        return self._ownership.owned_by(incarnation, self._service(incarnation))

    def unreleased_by(
        self, incarnation: Incarnation
    ) -> Iterator[ReleasedRange]:
        """Yield ranges that a member owned earlier and has not released."""
        return self._ownership.unreleased_by(
            incarnation, self._service(incarnation)
        )

    def _service(self, incarnation: Incarnation) -> ServiceName | None:
        """Return the only service whose shards a member may own."""
        member = self._members.find(incarnation)
        return None if member is None else member.service
