"""Ownership of the shards of all services."""

from collections.abc import Callable, Iterable, Iterator

from verbenadeck.fleet._shard_table import ShardTable
from verbenadeck.fleet._snapshot import (
    TableSnapshot,
    table_of,
    table_snapshot,
)
from verbenadeck.fleet._view import Member, MemberState, ShardView
from verbenadeck.model import (
    NO_FENCE,
    NO_MEMBER,
    ConfigDocument,
    Fence,
    Incarnation,
    Offset,
    ServiceName,
    Shard,
)
from verbenadeck.records import (
    Assign,
    Released,
    ReleasedRange,
    ShardMove,
    Verdict,
)

_UNOWNED = ShardView(owner=NO_MEMBER, fence=NO_FENCE, earlier_owners=())
_FindMember = Callable[[Incarnation], Member | None]


class Ownership:
    """Shard tables by service.

    Attributes
    ----------
    tables : dict of ServiceName to ShardTable
        Table of each service that a document has ever named.
    """

    def __init__(self) -> None:
        self.tables: dict[ServiceName, ShardTable] = {}

    def shard(self, service: ServiceName, shard: Shard) -> ShardView:
        """Return the owner of a shard."""
        table = self.tables.get(service)
        if table is None:
            return _UNOWNED
        return ShardView(
            owner=Incarnation(table.owners[shard]),
            fence=Fence(table.fences[shard]),
            earlier_owners=table.earlier_of(shard),
        )

    def clashes(self, document: ConfigDocument) -> Iterator[ServiceName]:
        """Yield services whose shard count differs from their table."""
        for service, policy in document.services.items():
            table = self.tables.get(service)
            if table is not None and len(table) != policy.shard_count:
                yield service

    def total_shards(self, document: ConfigDocument) -> int:
        """Return the shards of all tables once a document is in force."""
        counts = {
            service: policy.shard_count
            for service, policy in document.services.items()
        }
        for service, table in self.tables.items():
            counts[service] = len(table)
        return sum(counts.values())

    def add_tables(self, document: ConfigDocument) -> None:
        """Make the tables of services that a document names first."""
        for service, policy in document.services.items():
            if service not in self.tables:
                self.tables[service] = ShardTable(policy.shard_count)

    def snapshots(self) -> tuple[TableSnapshot, ...]:
        """Return the encoded form of all tables."""
        return tuple(
            table_snapshot(service, table)
            for service, table in self.tables.items()
        )

    def load(self, snapshots: Iterable[TableSnapshot]) -> None:
        """Replace all tables."""
        self.tables = {
            snapshot.service: table_of(snapshot) for snapshot in snapshots
        }

    def assign(
        self, offset: Offset, record: Assign, live: _FindMember
    ) -> list[Verdict]:
        """Apply the moves of a record, each judged alone."""
        return [self._move(offset, move, live) for move in record.moves]

    def release(self, offset: Offset, record: Released) -> list[Verdict]:
        """Strike an earlier owner off the shards that it released."""
        if record.as_of_offset >= offset:
            return [Verdict.INVALID]
        return [
            self._release_range(record, released) for released in record.ranges
        ]

    def settle(self, incarnation: Incarnation) -> None:
        """Strike a member that has left off all shards."""
        for table in self.tables.values():
            table.settle(incarnation)

    def owned_by(
        self, incarnation: Incarnation, service: ServiceName | None
    ) -> Iterator[ReleasedRange]:
        """Yield the ranges that a member is the named owner of.

        None stands for a member that is no longer known: all services.
        """
        for name, table in self._tables_of(service):
            for first, stop in table.owned_runs(incarnation):
                yield ReleasedRange(name, first, stop)

    def unreleased_by(
        self, incarnation: Incarnation, service: ServiceName | None
    ) -> Iterator[ReleasedRange]:
        """Yield the ranges that a member owned and has not released."""
        for name, table in self._tables_of(service):
            for first, stop in table.held_runs(incarnation):
                yield ReleasedRange(name, first, stop)

    def _tables_of(
        self, service: ServiceName | None
    ) -> Iterable[tuple[ServiceName, ShardTable]]:
        if service is None:
            return self.tables.items()
        table = self.tables.get(service)
        return () if table is None else ((service, table),)

    def _move(
        self, offset: Offset, move: ShardMove, live: _FindMember
    ) -> Verdict:
        first, stop = move.first_shard, move.stop_shard
        table = self.tables.get(move.service)
        if table is None or not table.has_run(first, stop):
            return Verdict.INVALID
        owner = live(move.new_owner)
        if owner is None or owner.state is not MemberState.JOINED:
            return Verdict.STALE
        if owner.service != move.service:
            return Verdict.INVALID
        if not table.has_fence(first, stop, move.expected_fence):
            return Verdict.STALE
        table.assign(
            (first, stop),
            move.new_owner,
            Fence(offset),
            is_live=lambda incarnation: live(incarnation) is not None,
        )
        return Verdict.ACCEPTED

    def _release_range(
        self, record: Released, released: ReleasedRange
    ) -> Verdict:
        run = (released.first_shard, released.stop_shard)
        table = self.tables.get(released.service)
        if table is None or not table.has_run(*run):
            return Verdict.INVALID
        is_struck = table.release(run, record.incarnation, record.as_of_offset)
        return Verdict.ACCEPTED if is_struck else Verdict.STALE
