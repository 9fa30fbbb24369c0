"""Node that follows the ownership protocol but may lag behind the log."""

from collections.abc import Iterator

from verbenadeck.fleet import FleetState, MemberState
from verbenadeck.model import Incarnation, Offset, ServiceName, Shard
from verbenadeck.records import Envelope, Released


class HonestNode:
    """Serves and releases shards by the records that it has applied so far.

    Attributes
    ----------
    view : FleetState
        Fleet state as of the last record that this node has applied.
    serving : set of int
        Shards that it currently serves.
    promised : set of Incarnation
        Members whose leases it never renews again, since it voted on them.
    has_lease : bool
        Whether it may hold a lease.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.view = FleetState()
        self.serving: set[int] = set()
        self.not_renewed: set[Incarnation] = set()
        self.has_lease = True

    def read(self, envelopes: list[Envelope], limit: int) -> None:
        """Apply the next records of the log, `limit` of them at most."""
        start = self.view.applied_offset + 1
        for offset in range(start, min(start + limit, len(envelopes))):
            self.view.apply(Offset(offset), envelopes[offset])

    def serve(self, service: ServiceName) -> None:
        """Serve all owned shards that have no earlier owner left."""
        if not self.has_lease or not self._is_member():
            return
        for index in range(self.view.shard_count(service)):
            shard = self.view.shard(service, Shard(index))
            if shard.owner == self.incarnation and not shard.earlier_owners:
                self.serving.add(index)

    def release_moved_shards(self) -> Iterator[Released]:
        """Stop serving shards that were moved away and release them."""
        unreleased = tuple(self.view.unreleased_by(self.incarnation))
        for shard_range in unreleased:
            self.serving -= set(
                range(shard_range.first_shard, shard_range.stop_shard)
            )
        if unreleased:
            as_of = self.view.applied_offset
            yield Released(self.incarnation, unreleased, as_of)

    def lose_lease(self) -> None:
        """Stop serving permanently."""
        self.has_lease = False
        self.serving.clear()

    def joined_members(self) -> list[Incarnation]:
        """Return the members to which shards may be moved."""
        return [
            member.incarnation
            for member in self.view.members.values()
            if member.state is MemberState.JOINED
        ]

    def _is_member(self) -> bool:
        return self.incarnation in self.view.members
