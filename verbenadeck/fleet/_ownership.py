"""Ownership of the shards of all services."""

from collections.abc import Callable, Iterable, Iterator

from verbenadeck.fleet._era_claims import EraClaims
from verbenadeck.fleet._shard_table import ShardTable
from verbenadeck.fleet._snapshot import (
    TableSnapshot,
    decode_table,
    encode_table,
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
    """Shard tables of all services.

    Parameters
    ----------
    claims : EraClaims
        Tells which shards are contested after the start of an era.

    Attributes
    ----------
    tables : dict of ServiceName to ShardTable
        Table of each service that any published document has defined.
    """

    def __init__(self, claims: EraClaims) -> None:
        self._claims = claims
        self.tables: dict[ServiceName, ShardTable] = {}

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
            View without an owner if the service is not known.
        """
        table = self.tables.get(service)
        if table is None:
            return _UNOWNED
        return ShardView(
            owner=Incarnation(table.owners[shard]),
            fence=Fence(table.fences[shard]),
            earlier_owners=table.earlier_incarnations(shard),
            is_contested=self._claims.is_contested(Fence(table.fences[shard])),
        )

    def find_shard_count_conflicts(
        self, document: ConfigDocument
    ) -> Iterator[ServiceName]:
        """Yield services whose shard count differs from their table.

        Parameters
        ----------
        document : ConfigDocument
            Proposed configuration.

        Yields
        ------
        ServiceName
        """
        for service, policy in document.services.items():
            table = self.tables.get(service)
            if table is not None and len(table) != policy.shard_count:
                yield service

    def count_total_shards(self, document: ConfigDocument) -> int:
        """Return how many shards exist once a document takes effect.

        Parameters
        ----------
        document : ConfigDocument
            Proposed configuration.

        Returns
        -------
        int
            Number of shards, including those of services that the document
            no longer names.
        """
        counts = {
            service: policy.shard_count
            for service, policy in document.services.items()
        }
        for service, table in self.tables.items():
            counts[service] = len(table)
        return sum(counts.values())

    def add_tables(self, document: ConfigDocument) -> None:
        """Create the tables of services that have none yet.

        Parameters
        ----------
        document : ConfigDocument
            Configuration that took effect.
        """
        for service, policy in document.services.items():
            if service not in self.tables:
                self.tables[service] = ShardTable(policy.shard_count)

    def encode_tables(self) -> tuple[TableSnapshot, ...]:
        """Return the encoded form of all tables.

        Returns
        -------
        tuple of TableSnapshot
        """
        return tuple(
            encode_table(service, table)
            for service, table in self.tables.items()
        )

    def load(self, snapshots: Iterable[TableSnapshot]) -> None:
        """Replace all tables by those of a snapshot.

        Parameters
        ----------
        snapshots : iterable of TableSnapshot
            Encoded tables.
        """
        self.tables = {
            snapshot.service: decode_table(snapshot) for snapshot in snapshots
        }

    def assign(
        self, offset: Offset, record: Assign, find_live: _FindMember
    ) -> list[Verdict]:
        """Apply each move of a record independently.

        Parameters
        ----------
        offset : Offset
            Offset of the record, which becomes the fence.
        record : Assign
            Moves to apply.
        find_live : callable
            Returns the live member of an incarnation, None if there is none.

        Returns
        -------
        list of Verdict
            One verdict per move.
        """
        return [
            self._apply_move(offset, move, find_live) for move in record.moves
        ]

    def release(self, offset: Offset, record: Released) -> list[Verdict]:
        """Remove an earlier owner from the shards that it released.

        Parameters
        ----------
        offset : Offset
            Offset of the record.
        record : Released
            Released ranges.

        Returns
        -------
        list of Verdict
            One verdict per range, or a single `INVALID` if the record claims
            to cover its own offset or later ones.
        """
        if record.as_of_offset >= offset:
            return [Verdict.INVALID]
        return [
            self._release_range(record, released) for released in record.ranges
        ]

    def raise_fences(self, offset: Offset) -> None:
        """Raise all fences at the start of an era.

        Parameters
        ----------
        offset : Offset
            Offset at which the era begins.
        """
        for table in self.tables.values():
            table.raise_fences(Fence(offset))

    def remove_earlier_owner(self, incarnation: Incarnation) -> None:
        """Remove an ended member from the earlier owners of all shards.

        Parameters
        ----------
        incarnation : Incarnation
            Member that left or was evicted.
        """
        for table in self.tables.values():
            table.remove_earlier_owner(incarnation)

    def owned_by(
        self, incarnation: Incarnation, service: ServiceName | None
    ) -> Iterator[ReleasedRange]:
        """Yield the ranges of which a member is the assigned owner.

        Parameters
        ----------
        incarnation : Incarnation
            The member.
        service : ServiceName or None
            Its service; None searches all services, for a member that is no
            longer known.

        Yields
        ------
        ReleasedRange
        """
        for name, table in self._candidate_tables(service):
            for first, stop in table.owned_ranges(incarnation):
                yield ReleasedRange(name, first, stop)

    def unreleased_by(
        self, incarnation: Incarnation, service: ServiceName | None
    ) -> Iterator[ReleasedRange]:
        """Yield the ranges that a member owned earlier and has not released.

        Parameters
        ----------
        incarnation : Incarnation
            The member.
        service : ServiceName or None
            Its service; None searches all services, for a member that is no
            longer known.

        Yields
        ------
        ReleasedRange
        """
        for name, table in self._candidate_tables(service):
            for first, stop in table.unreleased_ranges(incarnation):
                yield ReleasedRange(name, first, stop)

    def _candidate_tables(
        self, service: ServiceName | None
    ) -> Iterable[tuple[ServiceName, ShardTable]]:
        if service is None:
            return self.tables.items()
        table = self.tables.get(service)
        return () if table is None else ((service, table),)

    def _apply_move(
        self, offset: Offset, move: ShardMove, find_live: _FindMember
    ) -> Verdict:
        first, stop = move.first_shard, move.stop_shard
        table = self.tables.get(move.service)
        if table is None or not table.contains_range(first, stop):
            return Verdict.INVALID
        owner = find_live(move.new_owner)
        if owner is None or owner.state is not MemberState.JOINED:
            return Verdict.STALE
        if owner.service != move.service:
            return Verdict.INVALID
        if not table.has_fence(first, stop, move.expected_fence):
            return Verdict.STALE
        if self._claims.is_contested(move.expected_fence):
            return Verdict.STALE
        table.assign(
            (first, stop),
            move.new_owner,
            Fence(offset),
            is_live=lambda incarnation: find_live(incarnation) is not None,
        )
        return Verdict.ACCEPTED

    def _release_range(
        self, record: Released, released: ReleasedRange
    ) -> Verdict:
        shard_range = (released.first_shard, released.stop_shard)
        table = self.tables.get(released.service)
        if table is None or not table.contains_range(*shard_range):
            return Verdict.INVALID
        is_removed = table.release(
            shard_range, record.incarnation, record.as_of_offset
        )
        return Verdict.ACCEPTED if is_removed else Verdict.STALE
