"""Evicted owners and their witness sets, as the log tells them."""

import math

from verbenadeck.fleet import FleetView, Member, MemberState
from verbenadeck.model import (
    NO_FENCE,
    Fence,
    Incarnation,
    Offset,
    ServiceName,
    Shard,
)
from verbenadeck.records import (
    Assign,
    NodeJoin,
    NodeLeave,
    Record,
    Suspect,
    Verdict,
    Witnesses,
)
from verbenadeck.utils import Clock

_KEEP_S = 3600.0

WitnessSet = tuple[Incarnation, ...]
_FirstRange = tuple[ServiceName, int, int]


class _Lineage:
    """Witness sets of one incarnation, each with its end."""

    __slots__ = ('evicted_at_s', 'service', 'sets')

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.evicted_at_s = math.inf
        self.sets: dict[WitnessSet, float] = {}

    def replace(self, witnesses: WitnessSet, now_s: float) -> None:
        """Note the set in force from now on."""
        for old, ended_s in self.sets.items():
            self.sets[old] = min(ended_s, now_s)
        self.sets[witnesses] = math.inf

    def sets_since(self, since_s: float) -> list[WitnessSet]:
        """Return the sets that were in force at or after a moment."""
        return [one for one, ended_s in self.sets.items() if ended_s >= since_s]


class EvictionHistory:
    """Remembers whom to ask about the ledgers of evicted owners.

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
        self._first: dict[Fence, list[_FirstRange]] = {}

    def start(self) -> None:
        """Take the members of now and follow the log."""
        for member in self._fleet.members.values():
            self._remember(member)
        self._fleet.subscribe(self._on_record)

    def evicted(
        self, service: ServiceName, *, keep_s: float
    ) -> list[list[WitnessSet]]:
        """Return the witness sets of each owner evicted of late."""
        since_s = self._clock.now_s() - keep_s
        return [
            lineage.sets_since(since_s)
            for lineage in self._lineages.values()
            if lineage.service == service
            and since_s <= lineage.evicted_at_s < math.inf
        ]

    def is_first(self, service: ServiceName, shard: int) -> bool:
        """Return whether a shard's owner is its first one ever."""
        fence = self._fleet.shard(service, Shard(shard)).fence
        return any(
            name == service and first <= shard < stop
            for name, first, stop in self._first.get(fence, ())
        )

    def _remember(self, member: Member) -> None:
        lineage = self._lineages.setdefault(
            member.incarnation, _Lineage(member.service)
        )
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
                self._drop_if_gone(incarnation)
            case Suspect(votes=votes):
                for vote in votes:
                    self._note_eviction(vote.incarnation)
            case Assign():
                self._note_first(Fence(offset), record)

    def _note_first(self, fence: Fence, record: Assign) -> None:
        ranges = [
            (move.service, move.first_shard, move.stop_shard)
            for move in record.moves
            if move.expected_fence == NO_FENCE
        ]
        if ranges:
            self._first[fence] = ranges

    def _refresh(self, incarnation: Incarnation) -> None:
        member = self._fleet.members.get(incarnation)
        if member is not None:
            self._remember(member)

    def _drop_if_gone(self, incarnation: Incarnation) -> None:
        if self._fleet.state_of(incarnation) is MemberState.GONE:
            self._lineages.pop(incarnation, None)

    def _note_eviction(self, incarnation: Incarnation) -> None:
        lineage = self._lineages.get(incarnation)
        if lineage is None or lineage.evicted_at_s < math.inf:
            return
        if self._fleet.state_of(incarnation) is MemberState.EVICTED:
            self._expire()
            lineage.evicted_at_s = self._clock.now_s()

    def _expire(self) -> None:
        oldest_s = self._clock.now_s() - _KEEP_S
        for incarnation, lineage in tuple(self._lineages.items()):
            if lineage.evicted_at_s < oldest_s:
                self._lineages.pop(incarnation)
