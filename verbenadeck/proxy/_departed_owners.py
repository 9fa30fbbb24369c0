"""Departed owners and their witness sets, as the log tells them."""

import math

from verbenadeck.fleet import FleetView, Member, MemberState
from verbenadeck.model import (
    Incarnation,
    Offset,
    ServiceName,
    Shard,
)
from verbenadeck.records import (
    Assign,
    CheckpointChunk,
    NodeJoin,
    NodeLeave,
    Record,
    Suspect,
    Verdict,
    Witnesses,
)
from verbenadeck.utils import Clock

_KEEP_S = 3600.0
_DEPARTED = frozenset((MemberState.GONE, MemberState.EVICTED))

WitnessSet = tuple[Incarnation, ...]


class _Lineage:
    """Witness sets of one incarnation, each with its end."""

    __slots__ = ('departed_at_s', 'has_owned', 'service', 'sets')

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.departed_at_s = math.inf
        self.has_owned = False
        self.sets: dict[WitnessSet, float] = {}

    def replace(self, witnesses: WitnessSet, now_s: float) -> None:
        """Note the set in force from now on.

        A set that ended before the first assignment never saw a request, so
        nobody needs to be asked about it.
        """
        if not self.has_owned:
            self.sets.clear()
        for old, ended_s in self.sets.items():
            self.sets[old] = min(ended_s, now_s)
        self.sets[witnesses] = math.inf

    def sets_since(self, since_s: float) -> list[WitnessSet]:
        """Return the sets that were in force at or after a moment."""
        return [one for one, ended_s in self.sets.items() if ended_s >= since_s]


class OwnerHistory:
    """Remembers whom to ask about the ledgers of earlier owners.

    Parameters
    ----------
    fleet : FleetView
        Fleet state; its records are followed from `start` on.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, fleet: FleetView, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._lineages: dict[Incarnation, _Lineage] = {}
        self._earlier: dict[tuple[ServiceName, int], WitnessSet] = {}

    def start(self) -> None:
        """Take the members of now and follow the log."""
        self._remember_all()
        self._fleet.subscribe(self._on_record)

    def sets_to_ask(
        self, service: ServiceName, shard: int, *, keep_s: float
    ) -> list[WitnessSet]:
        """Return the witness sets of those who may have owned a shard.

        These are the owner that the last assignment replaced, and all
        members of the service that have departed within a time.
        """
        since_s = self._clock.now_s() - keep_s
        earlier = self._earlier.get((service, shard), ())
        return [
            witnesses
            for incarnation, lineage in self._lineages.items()
            if incarnation in earlier
            or (
                lineage.service == service
                and since_s <= lineage.departed_at_s < math.inf
            )
            for witnesses in lineage.sets_since(since_s)
        ]

    def _remember_all(self) -> None:
        for member in self._fleet.members.values():
            self._remember(member)

    def _remember(self, member: Member) -> None:
        lineage = self._lineages.setdefault(
            member.incarnation, _Lineage(member.service)
        )
        if not lineage.has_owned and any(
            self._fleet.owned_by(member.incarnation)
        ):
            lineage.has_owned = True
        lineage.replace(member.witnesses, self._clock.now_s())

    def _on_record(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        match record:
            case NodeJoin():
                self._refresh(Incarnation(offset))
            case Witnesses(incarnation=incarnation):
                self._refresh(incarnation)
            case NodeLeave(incarnation=incarnation):
                self._note_departure(incarnation)
            case Suspect(votes=votes):
                for vote in votes:
                    self._note_departure(vote.incarnation)
            case Assign():
                self._note_earlier(record)
            case CheckpointChunk(count=0):
                self._remember_all()

    def _note_earlier(self, record: Assign) -> None:
        for move in record.moves:
            lineage = self._lineages.get(move.new_owner)
            if lineage is not None:
                lineage.has_owned = True
            for shard in range(move.first_shard, move.stop_shard):
                view = self._fleet.shard(move.service, Shard(shard))
                if view.earlier_owners:
                    self._earlier[move.service, shard] = view.earlier_owners

    def _refresh(self, incarnation: Incarnation) -> None:
        member = self._fleet.members.get(incarnation)
        if member is not None:
            self._remember(member)

    def _note_departure(self, incarnation: Incarnation) -> None:
        lineage = self._lineages.get(incarnation)
        if lineage is None or lineage.departed_at_s < math.inf:
            return
        if self._fleet.state_of(incarnation) in _DEPARTED:
            self._expire()
            lineage.departed_at_s = self._clock.now_s()

    def _expire(self) -> None:
        oldest_s = self._clock.now_s() - _KEEP_S
        for incarnation, lineage in tuple(self._lineages.items()):
            if lineage.departed_at_s < oldest_s:
                self._lineages.pop(incarnation)
