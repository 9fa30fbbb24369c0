"""Node that keeps to the rules of ownership but reads the log late."""

from collections.abc import Iterator

from verbenadeck.fleet import FleetState, MemberState
from verbenadeck.model import Incarnation, Offset, ServiceName, Shard
from verbenadeck.records import Envelope, Released


class HonestNode:
    """Serves and releases shards by what it has read so far.

    Attributes
    ----------
    view : FleetState
        State as far as this node has read the log.
    serving : set of int
        Shards that it serves now.
    promised : set of Incarnation
        Members that it will never renew again.
    has_lease : bool
        Whether it may hold a lease.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.view = FleetState()
        self.serving: set[int] = set()
        self.promised: set[Incarnation] = set()
        self.has_lease = True

    def read(self, envelopes: list[Envelope], limit: int) -> None:
        start = self.view.applied_offset + 1
        for offset in range(start, min(start + limit, len(envelopes))):
            self.view.apply(Offset(offset), envelopes[offset])

    def serve(self, service: ServiceName) -> None:
        """Serve all that this node owns with no earlier owner left."""
        if not self.has_lease or not self._is_member():
            return
        for index in range(self.view.shard_count(service)):
            shard = self.view.shard(service, Shard(index))
            if shard.owner == self.incarnation and not shard.earlier_owners:
                self.serving.add(index)

    def let_go(self) -> Iterator[Released]:
        """Stop serving what has moved away and release it."""
        held = tuple(self.view.unreleased_by(self.incarnation))
        for run in held:
            self.serving -= set(range(run.first_shard, run.stop_shard))
        if held:
            as_of = self.view.applied_offset
            yield Released(self.incarnation, held, as_of)

    def lose_lease(self) -> None:
        """Stop serving for good."""
        self.has_lease = False
        self.serving.clear()

    def targets(self) -> list[Incarnation]:
        """Return members that shards may move to."""
        return [
            member.incarnation
            for member in self.view.members.values()
            if member.state is MemberState.JOINED
        ]

    def _is_member(self) -> bool:
        return self.incarnation in self.view.members
