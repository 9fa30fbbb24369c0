"""Departed owners and their witness sets, followed from the log."""

import math

from verbenadeck.fleet import FleetView, Member, MemberState, existing_shards
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

_DEPARTED_RETENTION_S = 3600.0
_DEPARTED_STATES = frozenset((MemberState.GONE, MemberState.EVICTED))

WitnessSet = tuple[Incarnation, ...]


class _WitnessHistory:
    """Witness sets of one incarnation, each with the time at which it ended."""

    __slots__ = ('departed_at_s', 'has_owned', 'service', 'witness_sets')

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.departed_at_s = math.inf
        self.has_owned = False
        self.witness_sets: dict[WitnessSet, float] = {}

    def set_current(self, witnesses: WitnessSet, now_s: float) -> None:
        """Record the witness set in force from now on.

        Sets that ended before the first assignment are dropped: no request
        was copied to them, so they never need to be queried.
        """
        if not self.has_owned:
            self.witness_sets.clear()
        for old, ended_s in self.witness_sets.items():
            self.witness_sets[old] = min(ended_s, now_s)
        self.witness_sets[witnesses] = math.inf

    def sets_since(self, since_s: float) -> list[WitnessSet]:
        """Return the sets that were in force at or after a time, in seconds."""
        return [
            one
            for one, ended_s in self.witness_sets.items()
            if ended_s >= since_s
        ]


class DepartedOwners:
    """History of owners, to find witnesses with copies of lost ledgers.

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
        self._histories: dict[Incarnation, _WitnessHistory] = {}
        self._earlier_owners: dict[tuple[ServiceName, int], WitnessSet] = {}

    def start(self) -> None:
        """Record the current members and subscribe to the log."""
        self._record_all_members()
        self._fleet.subscribe(self._on_record)

    def witness_sets_to_query(
        self, service: ServiceName, shard: int, *, keep_s: float
    ) -> list[WitnessSet]:
        """Return the witness sets of all possible earlier owners of a shard.

        These are the owner that the last assignment replaced, and all members
        of the service that departed within the retention of copies.

        Parameters
        ----------
        service : ServiceName
            Service of the shard.
        shard : int
            Shard that was taken over.
        keep_s : float
            Retention of copies, in seconds.
        """
        since_s = self._clock.now_s() - keep_s
        earlier = self._earlier_owners.get((service, shard), ())
        return [
            witnesses
            for incarnation, history in self._histories.items()
            if incarnation in earlier
            or (
                history.service == service
                and since_s <= history.departed_at_s < math.inf
            )
            for witnesses in history.sets_since(since_s)
        ]

    def _record_all_members(self) -> None:
        for member in self._fleet.members.values():
            self._record_member(member)

    def _record_member(self, member: Member) -> None:
        history = self._histories.setdefault(
            member.incarnation, _WitnessHistory(member.service)
        )
        if not history.has_owned and any(
            self._fleet.owned_by(member.incarnation)
        ):
            history.has_owned = True
        history.set_current(member.witnesses, self._clock.now_s())

    def _on_record(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        match record:
            case NodeJoin():
                self._record_incarnation(Incarnation(offset))
            case Witnesses(incarnation=incarnation):
                self._record_incarnation(incarnation)
            case NodeLeave(incarnation=incarnation):
                self._record_departure(incarnation)
            case Suspect(votes=votes):
                for vote in votes:
                    self._record_departure(vote.incarnation)
            case Assign():
                self._record_earlier_owners(record)
            case CheckpointChunk(count=0):
                self._record_all_members()

    def _record_earlier_owners(self, record: Assign) -> None:
        for move in record.moves:
            history = self._histories.get(move.new_owner)
            if history is not None:
                history.has_owned = True
            for shard in existing_shards(self._fleet, move):
                view = self._fleet.shard(move.service, Shard(shard))
                if view.earlier_owners:
                    self._earlier_owners[move.service, shard] = (
                        view.earlier_owners
                    )

    def _record_incarnation(self, incarnation: Incarnation) -> None:
        member = self._fleet.members.get(incarnation)
        if member is not None:
            self._record_member(member)

    def _record_departure(self, incarnation: Incarnation) -> None:
        history = self._histories.get(incarnation)
        if history is None or history.departed_at_s < math.inf:
            return
        if self._fleet.state_of(incarnation) in _DEPARTED_STATES:
            self._expire()
            history.departed_at_s = self._clock.now_s()

    def _expire(self) -> None:
        oldest_s = self._clock.now_s() - _DEPARTED_RETENTION_S
        for incarnation, history in tuple(self._histories.items()):
            if history.departed_at_s < oldest_s:
                self._histories.pop(incarnation)
