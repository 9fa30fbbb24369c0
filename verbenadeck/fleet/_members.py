"""Members, their witness sets and the votes about them."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from verbenadeck.fleet._view import Member, MemberState
from verbenadeck.model import Epoch, Incarnation, Offset
from verbenadeck.peers import PeerAddress
from verbenadeck.records import (
    LeavePhase,
    NodeJoin,
    NodeLeave,
    Verdict,
    Vote,
    Witnesses,
)

MAX_WITNESSES = 5
"""Most witnesses of one member."""

ENDED_KEPT = 512
"""Members that have left and are still known, the newest ones."""

_MAX_PORT = 65_535


def renewal_quorum(set_size: int) -> int:
    """Return how many witnesses must renew a lease.

    Examples
    --------
    >>> [renewal_quorum(size) for size in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return set_size // 2 + 1


def eviction_quorum(set_size: int) -> int:
    """Return how many votes evict a member; 0 when none can.

    It is the least number that has a witness in common with every renewal
    quorum.

    Examples
    --------
    >>> [eviction_quorum(size) for size in (0, 1, 2, 3, 4, 5)]
    [0, 1, 1, 2, 2, 3]
    """
    return set_size - renewal_quorum(set_size) + 1 if set_size else 0


class Ended(NamedTuple):
    """A member that has left, with the position of its end."""

    member: Member
    ended_at: Offset


class Members:
    """Members of the fleet as the log has them.

    Attributes
    ----------
    live : dict of Incarnation to Member
        Members that are joined or draining.
    ended : dict of Incarnation to Ended
        Members that left or were evicted, in the order of their end.
    votes : dict of Incarnation to tuple of Incarnation
        Witnesses that voted about a live member for its present epoch.
    """

    def __init__(self, on_end: Callable[[Incarnation], None]) -> None:
        self.live: dict[Incarnation, Member] = {}
        self.ended: dict[Incarnation, Ended] = {}
        self.votes: dict[Incarnation, tuple[Incarnation, ...]] = {}
        self._on_end = on_end

    def join(self, offset: Offset, record: NodeJoin) -> Verdict:
        """Add an incarnation; one of the same node stays as it is."""
        incarnation = Incarnation(offset)
        if not _is_sound(record):
            return Verdict.INVALID
        verdict = self._judge_witnesses(incarnation, record.witnesses)
        if verdict is Verdict.ACCEPTED:
            self.live[incarnation] = _joined(incarnation, record)
        return verdict

    def leave(self, offset: Offset, record: NodeLeave) -> Verdict:
        """Apply a step of a planned leave."""
        member = self.live.get(record.incarnation)
        if member is None:
            return Verdict.STALE
        if record.phase is LeavePhase.GONE:
            self._end(member, offset, MemberState.GONE)
            return Verdict.ACCEPTED
        if member.state is MemberState.DRAINING:
            return Verdict.STALE
        draining = msgspec.structs.replace(member, state=MemberState.DRAINING)
        self.live[record.incarnation] = draining
        return Verdict.ACCEPTED

    def change_witnesses(self, offset: Offset, record: Witnesses) -> Verdict:
        """Install a witness set; votes about the last one are void."""
        member = self.live.get(record.incarnation)
        if member is None or member.epoch != record.expected_epoch:
            return Verdict.STALE
        if not record.witnesses and len(self.live) > 1:
            return Verdict.STALE
        verdict = self._judge_witnesses(record.incarnation, record.witnesses)
        if verdict is Verdict.ACCEPTED:
            self.live[record.incarnation] = msgspec.structs.replace(
                member, witnesses=record.witnesses, epoch=Epoch(offset)
            )
            self.votes.pop(record.incarnation, None)
        return verdict

    def vote(self, offset: Offset, vote: Vote) -> Verdict:
        """Count a vote and evict the member when there are enough.

        A vote counts for the epoch in force only, and only of a live member.
        Witnesses that left by `since_offset` count too: what they renewed
        ran out in the full lease that the voter waited since then. With
        enough of those, any live member may cast the vote.
        """
        member = self.live.get(vote.incarnation)
        if member is None or member.epoch != vote.epoch:
            return Verdict.STALE
        if vote.since_offset >= offset or vote.witness == vote.incarnation:
            return Verdict.INVALID
        if vote.witness not in self.live:
            return Verdict.STALE
        cast = self.votes.get(vote.incarnation, ())
        is_new = vote.witness in member.witnesses and vote.witness not in cast
        if is_new:
            cast = (*cast, vote.witness)
            self.votes[vote.incarnation] = cast
        if self._is_evicted(member, cast, vote.since_offset):
            self._end(member, offset, MemberState.EVICTED)
            return Verdict.ACCEPTED
        return Verdict.ACCEPTED if is_new else Verdict.STALE

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return a live member or one that left not long ago."""
        member = self.live.get(incarnation)
        if member is None and incarnation in self.ended:
            return self.ended[incarnation].member
        return member

    def load(
        self,
        live: Iterable[Member],
        ended: Iterable[Ended],
        votes: Mapping[Incarnation, tuple[Incarnation, ...]],
    ) -> None:
        """Replace all members."""
        self.live.clear()
        self.live.update({member.incarnation: member for member in live})
        self.ended = {last.member.incarnation: last for last in ended}
        self.votes = dict(votes)

    def _judge_witnesses(
        self, incarnation: Incarnation, witnesses: tuple[Incarnation, ...]
    ) -> Verdict:
        chosen = set(witnesses)
        is_sound = (
            len(chosen) == len(witnesses)
            and len(chosen) <= MAX_WITNESSES
            and incarnation not in chosen
        )
        if not is_sound:
            return Verdict.INVALID
        are_live = all(witness in self.live for witness in witnesses)
        return Verdict.ACCEPTED if are_live else Verdict.STALE

    def _is_evicted(
        self,
        member: Member,
        cast: tuple[Incarnation, ...],
        since_offset: Offset,
    ) -> bool:
        quorum = eviction_quorum(len(member.witnesses))
        gone = {
            witness
            for witness in member.witnesses
            if self._had_ended(witness, since_offset)
        }
        has_waited = since_offset >= member.epoch
        counted = gone.union(cast) if has_waited else set(cast)
        return 0 < quorum <= len(counted)

    def _had_ended(self, incarnation: Incarnation, offset: Offset) -> bool:
        ended = self.ended.get(incarnation)
        return ended is not None and ended.ended_at <= offset

    def _end(self, member: Member, offset: Offset, state: MemberState) -> None:
        incarnation = member.incarnation
        self.live.pop(incarnation)
        self.votes.pop(incarnation, None)
        last = msgspec.structs.replace(member, state=state)
        self.ended[incarnation] = Ended(last, offset)
        if len(self.ended) > ENDED_KEPT:
            self.ended.pop(next(iter(self.ended)))
        self._on_end(incarnation)


def _is_sound(record: NodeJoin) -> bool:
    names = (record.node_id, record.zone, record.region, record.service)
    ports = (record.peer_port, record.entry_port, record.admin_port)
    return (
        all(names)
        and record.slots >= 0
        and all(0 <= port <= _MAX_PORT for port in ports)
    )


def _joined(incarnation: Incarnation, record: NodeJoin) -> Member:
    return Member(
        incarnation=incarnation,
        node_id=record.node_id,
        zone=record.zone,
        region=record.region,
        service=record.service,
        slots=record.slots,
        address=PeerAddress(record.host, record.peer_port),
        entry_port=record.entry_port,
        upstream_instance=record.upstream_instance,
        witnesses=record.witnesses,
        epoch=Epoch(incarnation),
        state=MemberState.JOINED,
        admin_port=record.admin_port,
    )
