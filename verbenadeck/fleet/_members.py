"""Members of the fleet, their witness sets and the eviction votes."""

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
"""Maximum number of witnesses of one member."""

MAX_ENDED_MEMBERS = 512
"""Number of ended members that are kept, those that ended last."""

_MAX_PORT = 65_535


def renewal_quorum(set_size: int) -> int:
    """Return how many witnesses must renew a lease: a strict majority.

    Parameters
    ----------
    set_size : int
        Number of witnesses in the set.

    Returns
    -------
    int

    Examples
    --------
    >>> [renewal_quorum(size) for size in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return set_size // 2 + 1


def eviction_quorum(set_size: int) -> int:
    """Return how many votes evict a member.

    It is the smallest number of votes that shares a witness with every
    renewal quorum, so no lease is renewed without a witness that voted.

    Parameters
    ----------
    set_size : int
        Number of witnesses in the set.

    Returns
    -------
    int
        Number of votes; 0 for an empty set, whose member cannot be evicted.

    Examples
    --------
    >>> [eviction_quorum(size) for size in (0, 1, 2, 3, 4, 5)]
    [0, 1, 1, 2, 2, 3]
    """
    return set_size - renewal_quorum(set_size) + 1 if set_size else 0


class EndedMember(NamedTuple):
    """A member that left or was evicted.

    Attributes
    ----------
    member : Member
        The member in its final state.
    end_offset : Offset
        Offset of the record that ended its membership.
    """

    member: Member
    end_offset: Offset


class Members:
    """Members of the fleet as of the last applied record.

    Parameters
    ----------
    end_listeners : iterable of callable
        Called with the incarnation of each member that leaves or is evicted.

    Attributes
    ----------
    live : dict of Incarnation to Member
        Members that are joined or draining.
    ended : dict of Incarnation to EndedMember
        Members that left or were evicted, ordered by `end_offset`.
    votes : dict of Incarnation to tuple of Incarnation
        Witnesses that voted to evict a live member in its current epoch.
    """

    def __init__(
        self, end_listeners: Iterable[Callable[[Incarnation], None]]
    ) -> None:
        self.live: dict[Incarnation, Member] = {}
        self.ended: dict[Incarnation, EndedMember] = {}
        self.votes: dict[Incarnation, tuple[Incarnation, ...]] = {}
        self._end_listeners = tuple(end_listeners)

    def join(self, offset: Offset, record: NodeJoin) -> Verdict:
        """Add a member; earlier incarnations of its node remain members.

        Parameters
        ----------
        offset : Offset
            Offset of the record, which becomes the incarnation.
        record : NodeJoin
            Description of the node.

        Returns
        -------
        Verdict
        """
        incarnation = Incarnation(offset)
        if not _is_valid_join(record):
            return Verdict.INVALID
        verdict = self._validate_witnesses(incarnation, record.witnesses)
        if verdict is Verdict.ACCEPTED:
            self.live[incarnation] = _make_member(incarnation, record)
        return verdict

    def leave(self, offset: Offset, record: NodeLeave) -> Verdict:
        """Mark a member as draining or remove it from the live members.

        Parameters
        ----------
        offset : Offset
            Offset of the record.
        record : NodeLeave
            Member and phase of its planned departure.

        Returns
        -------
        Verdict
        """
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
        """Replace a witness set and discard votes cast in its last epoch.

        Only the last live member may have an empty set.

        Parameters
        ----------
        offset : Offset
            Offset of the record, which becomes the epoch.
        record : Witnesses
            New witness set and the epoch that it replaces.

        Returns
        -------
        Verdict
        """
        member = self.live.get(record.incarnation)
        if member is None or member.epoch != record.expected_epoch:
            return Verdict.STALE
        if not record.witnesses and len(self.live) > 1:
            return Verdict.STALE
        verdict = self._validate_witnesses(record.incarnation, record.witnesses)
        if verdict is Verdict.ACCEPTED:
            self.live[record.incarnation] = msgspec.structs.replace(
                member, witnesses=record.witnesses, epoch=Epoch(offset)
            )
            self.votes.pop(record.incarnation, None)
        return verdict

    def vote(self, offset: Offset, vote: Vote) -> Verdict:
        """Count a vote and evict the member once the quorum is reached.

        A vote counts only for the current epoch and only from a live member.
        Witnesses that had ended by `since_offset` count as votes too: the
        voter has waited a full lease since then, so the leases that they
        renewed have expired. If these alone reach the quorum, any live
        member may cast the vote.

        Parameters
        ----------
        offset : Offset
            Offset of the record.
        vote : Vote
            Vote of a witness.

        Returns
        -------
        Verdict
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
        if self._is_eviction_decided(member, cast, vote.since_offset):
            self._end(member, offset, MemberState.EVICTED)
            return Verdict.ACCEPTED
        return Verdict.ACCEPTED if is_new else Verdict.STALE

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return a live member or one of the ended members that are kept.

        Parameters
        ----------
        incarnation : Incarnation
            Incarnation to look up.

        Returns
        -------
        Member or None
            None if the incarnation is not known.
        """
        member = self.live.get(incarnation)
        if member is None and incarnation in self.ended:
            return self.ended[incarnation].member
        return member

    def load(
        self,
        live: Iterable[Member],
        ended: Iterable[EndedMember],
        votes: Mapping[Incarnation, tuple[Incarnation, ...]],
    ) -> None:
        """Replace all members by those of a snapshot.

        Parameters
        ----------
        live : iterable of Member
            Members that are joined or draining.
        ended : iterable of EndedMember
            Members that left or were evicted, ordered by `end_offset`.
        votes : mapping of Incarnation to tuple of Incarnation
            Witnesses that voted, by the member that the votes are about.
        """
        self.live.clear()
        self.live.update({member.incarnation: member for member in live})
        self.ended = {last.member.incarnation: last for last in ended}
        self.votes = dict(votes)

    def _validate_witnesses(
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

    def _is_eviction_decided(
        self,
        member: Member,
        cast: tuple[Incarnation, ...],
        since_offset: Offset,
    ) -> bool:
        quorum = eviction_quorum(len(member.witnesses))
        gone = {
            witness
            for witness in member.witnesses
            if self._had_ended_by(witness, since_offset)
        }
        has_waited = since_offset >= member.epoch
        counted = gone.union(cast) if has_waited else set(cast)
        return 0 < quorum <= len(counted)

    def _had_ended_by(self, incarnation: Incarnation, offset: Offset) -> bool:
        ended = self.ended.get(incarnation)
        return ended is not None and ended.end_offset <= offset

    def _end(self, member: Member, offset: Offset, state: MemberState) -> None:
        incarnation = member.incarnation
        self.live.pop(incarnation)
        self.votes.pop(incarnation, None)
        last = msgspec.structs.replace(member, state=state)
        self.ended[incarnation] = EndedMember(last, offset)
        if len(self.ended) > MAX_ENDED_MEMBERS:
            self.ended.pop(next(iter(self.ended)))
        for listener in self._end_listeners:
            listener(incarnation)


def _is_valid_join(record: NodeJoin) -> bool:
    names = (record.node_id, record.zone, record.region, record.service)
    ports = (record.peer_port, record.entry_port, record.admin_port)
    return (
        all(names)
        and record.slots >= 0
        and all(0 <= port <= _MAX_PORT for port in ports)
    )


def _make_member(incarnation: Incarnation, record: NodeJoin) -> Member:
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
