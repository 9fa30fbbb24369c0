"""Witness of other members: lease renewals, and votes on lapsed leases."""

import asyncio
import math
import random

import msgspec
from loguru import logger

from verbenadeck.fleet import Member, may_be_member
from verbenadeck.journal import Journal
from verbenadeck.lease._membership_check import MembershipCheck
from verbenadeck.lease._quorum_loss_monitor import QuorumLossMonitor
from verbenadeck.membership import Heartbeat, HeartbeatAck, Membership
from verbenadeck.model import Epoch, Incarnation, Offset
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.records import Record, Suspect, Verdict, Vote
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_LAPSE_CHECK_INTERVAL_S = 0.05
_RENEWAL_RETENTION_LEASES = 10
_PAIR_SIZE = 2


class _WatchedMember(msgspec.Struct):
    """Member that has this node in its witness set.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the member's witness set.
    applied_s : float
        Moment on the boot clock at which this node applied the epoch, in
        seconds.
    voted_until_s : float
        Moment before which no further vote is cast, in seconds.
    """

    epoch: Epoch
    applied_s: float
    voted_until_s: float = -math.inf


class LeaseWitness:
    """Witness that renews leases of other members and votes on lapses.

    A renewal counts from the receipt of the heartbeat. The witness votes
    only after a full lease since its last renewal under any epoch and since
    it applied the epoch. After the vote it does not renew the member again
    under that epoch. All members watch those whose witnesses have left.

    A witness renews nothing after its own end, also while it can't read the
    log: it is evicted only once its own lease has run out, and without a
    lease it renews only after a read of the log that began after the
    heartbeat came in. It renews only members that know the log in the same
    era, since the members of an earlier one don't see its records. So once a full lease has passed since the end of a
    witness, nothing that it renewed is in force.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    transport : PeerTransport
        Transport that receives heartbeats.
    journal : Journal
        Log client.
    membership : Membership
        Membership and lease of this node.
    random_source : random.Random
        Spreads the votes about members with a quorum loss.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: PeerTransport,
        journal: Journal,
        membership: Membership,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._membership = membership
        self._timing = membership.timing
        self._renewed_s: dict[Incarnation, float] = {}
        self._voted_epochs: dict[Incarnation, Epoch] = {}
        self._watched_members: dict[Incarnation, _WatchedMember] = {}
        self._quorum_loss_monitor = QuorumLossMonitor(
            fleet=journal.fleet,
            lease_s=self._timing.lease_s,
            random_source=random_source,
        )
        self._membership_check = MembershipCheck(
            clock=clock, journal=journal, membership=membership
        )
        # Members whose heartbeats wait for a check in the log.
        self._waiting_members: set[Incarnation] = set()
        self._is_rescan_due = True
        self._task: asyncio.Task[None] | None = None
        transport.register_handler(Heartbeat, self._on_heartbeat)
        journal.fleet.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start to check for lapsed leases."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop voting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._membership_check.stop()

    def _on_applied(
        self, _offset: Offset, _record: Record, _verdict: Verdict
    ) -> None:
        self._is_rescan_due = True

    async def _on_heartbeat(
        self, _source: PeerAddress, heartbeat: Heartbeat
    ) -> HeartbeatAck | None:
        if self._is_refused(heartbeat):
            return None
        if heartbeat.is_renewal:
            if not await self._may_renew(heartbeat):
                return None
            self._renewed_s[heartbeat.member] = self._clock.now_s()
        return HeartbeatAck(
            heartbeat.member,
            heartbeat.witness,
            heartbeat.sent_s,
            heartbeat.is_renewal,
            heartbeat.era,
        )

    async def _may_renew(self, heartbeat: Heartbeat) -> bool:
        """Return whether this node has not ended before the heartbeat."""
        if self._membership.is_leased:
            return True
        member = heartbeat.member
        if member in self._waiting_members:
            return False
        self._waiting_members.add(member)
        try:
            is_checked = await self._membership_check.run()
        finally:
            self._waiting_members.discard(member)
        return is_checked and not self._is_refused(heartbeat)

    def _is_refused(self, heartbeat: Heartbeat) -> bool:
        membership = self._membership
        is_addressee = heartbeat.witness == membership.incarnation
        if not is_addressee or membership.is_stopping:
            return True
        fleet = self._journal.fleet
        if heartbeat.era != fleet.claims.log_era:
            return True
        if not may_be_member(fleet, heartbeat.member):
            return True
        member = fleet.members.get(heartbeat.member)
        voted = self._voted_epochs.get(heartbeat.member)
        # An accepted change of the witness set has a new epoch, which voids
        # votes of earlier epochs.
        return member is not None and voted == member.epoch

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_LAPSE_CHECK_INTERVAL_S)
            if self._is_rescan_due:
                self._rescan()
            due = self._find_lapsed_members()
            if due:
                await self._vote_on_lapses(due)
            await self._vote_on_quorum_losses()

    def _rescan(self) -> None:
        self._is_rescan_due = False
        now_s = self._clock.now_s()
        own = self._membership.incarnation
        found: dict[Incarnation, _WatchedMember] = {}
        for incarnation, member in self._journal.fleet.members.items():
            if own not in member.witnesses:
                continue
            known = self._watched_members.get(incarnation)
            is_known = known is not None and known.epoch == member.epoch
            found[incarnation] = (
                known
                if known is not None and is_known
                else _WatchedMember(member.epoch, now_s)
            )
        self._watched_members = found
        self._quorum_loss_monitor.rescan(now_s)
        self._prune_ended_members(now_s)

    def _prune_ended_members(self, now_s: float) -> None:
        members = self._journal.fleet.members
        oldest_s = now_s - _RENEWAL_RETENTION_LEASES * self._timing.lease_s
        for incarnation, renewed_s in tuple(self._renewed_s.items()):
            if incarnation not in members and renewed_s < oldest_s:
                self._renewed_s.pop(incarnation)
        for voted in self._voted_epochs.keys() - members.keys():
            self._voted_epochs.pop(voted)

    def _find_lapsed_members(self) -> list[Member]:
        wait_s = self._vote_wait_s()
        if wait_s is None:
            return []
        now_s = self._clock.now_s()
        members = self._journal.fleet.members
        watched = (
            each
            for each in self._watched_members.items()
            if each[0] not in self._waiting_members
        )
        return [
            members[incarnation]
            for incarnation, watch in watched
            if incarnation in members
            and members[incarnation].epoch == watch.epoch
            and watch.voted_until_s <= now_s
            and now_s - self._last_renewal_s(incarnation, watch) > wait_s
        ]

    def _last_renewal_s(
        self, incarnation: Incarnation, watch: _WatchedMember
    ) -> float:
        renewed_s = self._renewed_s.get(incarnation, -math.inf)
        return max(renewed_s, watch.applied_s)

    def _vote_wait_s(self) -> float | None:
        """Return the silence in seconds after which this node votes.

        None if this node may not vote now.
        """
        membership = self._membership
        member = membership.member
        if member is None or membership.is_stopping:
            return None
        lease_s = self._timing.lease_s
        if membership.is_leased and membership.is_recently_renewed:
            return lease_s
        if self._is_pair(member):
            is_higher = member.incarnation > member.witnesses[0]
            return lease_s + is_higher * self._timing.tie_break_s
        return lease_s if membership.is_long_without_lease else None

    def _is_pair(self, member: Member) -> bool:
        """Return whether a member and its only witness are alone in a region.

        Neither of the two can hold a lease without the other, so the first
        vote in the log decides which of them continues.
        """
        members = self._journal.fleet.members
        nearby = [
            each for each in members.values() if each.region == member.region
        ]
        return len(nearby) == _PAIR_SIZE and len(member.witnesses) == 1

    async def _vote_on_quorum_losses(self) -> None:
        if self._vote_wait_s() is None:
            return
        now_s = self._clock.now_s()
        votes = self._quorum_loss_monitor.due_votes(
            self._membership.incarnation, now_s
        )
        for vote in votes:
            _log.warning(
                'witnesses of incarnation {} have ended as of offset {}; '
                'voting to evict it',
                vote.incarnation,
                vote.since_offset,
            )
        if votes:
            await self._journal.propose(
                Suspect(votes),
                deadline_s=now_s + self._timing.append_timeout_s,
            )

    async def _vote_on_lapses(self, due: list[Member]) -> None:
        now_s = self._clock.now_s()
        own = self._membership.incarnation
        deadline_s = now_s + self._timing.append_timeout_s
        for member in due:
            self._voted_epochs[member.incarnation] = member.epoch
            self._watched_members[member.incarnation].voted_until_s = deadline_s
            _log.warning(
                'lease of incarnation {} lapsed; voting to evict it',
                member.incarnation,
            )
        votes = tuple(
            Vote(member.incarnation, member.epoch, own) for member in due
        )
        await self._journal.propose(Suspect(votes), deadline_s=deadline_s)
