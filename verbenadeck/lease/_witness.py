"""Duty as a witness: renewals for other members, and votes on lapses."""

import asyncio
import math
import random

import msgspec
from loguru import logger

from verbenadeck.fleet import Member, has_ended
from verbenadeck.journal import Journal
from verbenadeck.lease._quorum_loss_monitor import QuorumLossMonitor
from verbenadeck.membership import Heartbeat, HeartbeatAck, Membership
from verbenadeck.model import Epoch, Incarnation, Offset
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.records import Record, Suspect, Verdict, Vote
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_TICK_S = 0.05
_KEEP_LEASES = 10
_PAIR = 2


class _Watch(msgspec.Struct):
    """Member that has this node in its witness set."""

    epoch: Epoch
    applied_s: float
    voted_until_s: float = -math.inf


class LeaseWitness:
    """Renews leases of other members and votes when one has lapsed.

    A renewal counts from its receipt. A vote needs a full lease since the
    last renewal under any epoch and since the epoch was applied. After a
    vote the member is not renewed again under that epoch. Members whose
    witnesses have left are watched by all.
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
        self._voted: dict[Incarnation, Epoch] = {}
        self._watches: dict[Incarnation, _Watch] = {}
        self._orphans = QuorumLossMonitor(
            fleet=journal.fleet,
            lease_s=self._timing.lease_s,
            random_source=random_source,
        )
        self._is_dirty = True
        self._own = membership.incarnation
        self._task: asyncio.Task[None] | None = None
        transport.register_handler(Heartbeat, self._on_heartbeat)
        journal.fleet.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start to watch for lapsed leases."""
        self._task = asyncio.ensure_future(self._watch())

    async def stop(self) -> None:
        """End voting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _on_applied(
        self, _offset: Offset, _record: Record, _verdict: Verdict
    ) -> None:
        self._is_dirty = True

    async def _on_heartbeat(
        self, _source: PeerAddress, beat: Heartbeat
    ) -> HeartbeatAck | None:
        membership = self._membership
        is_me = beat.witness == membership.incarnation
        if not is_me or membership.is_stopping:
            return None
        if self._is_refused(beat.member):
            return None
        if beat.is_renewal:
            self._renewed_s[beat.member] = self._clock.now_s()
        return HeartbeatAck(
            beat.member, beat.witness, beat.sent_s, beat.is_renewal
        )

    def _is_refused(self, incarnation: Incarnation) -> bool:
        fleet = self._journal.fleet
        if has_ended(fleet, incarnation):
            return True
        member = fleet.members.get(incarnation)
        voted = self._voted.get(incarnation)
        # An accepted change of the set makes votes for the old one void.
        return member is not None and voted == member.epoch

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            if self._is_dirty:
                self._rescan()
            due = self._due()
            if due:
                await self._vote(due)
            await self._vote_about_orphans()

    def _rescan(self) -> None:
        self._is_dirty = False
        now_s = self._clock.now_s()
        own = self._membership.incarnation
        found: dict[Incarnation, _Watch] = {}
        for incarnation, member in self._journal.fleet.members.items():
            if own not in member.witnesses:
                continue
            known = self._watches.get(incarnation)
            is_known = known is not None and known.epoch == member.epoch
            found[incarnation] = (
                known
                if known is not None and is_known
                else _Watch(member.epoch, now_s)
            )
        self._watches = found
        self._orphans.rescan(now_s)
        self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        members = self._journal.fleet.members
        oldest_s = now_s - _KEEP_LEASES * self._timing.lease_s
        for incarnation, renewed_s in tuple(self._renewed_s.items()):
            if incarnation not in members and renewed_s < oldest_s:
                self._renewed_s.pop(incarnation)
        for voted in self._voted.keys() - members.keys():
            self._voted.pop(voted)

    def _due(self) -> list[Member]:
        wait_s = self._wait_s()
        if wait_s is None:
            return []
        now_s = self._clock.now_s()
        members = self._journal.fleet.members
        return [
            members[incarnation]
            for incarnation, watch in self._watches.items()
            if incarnation in members
            and members[incarnation].epoch == watch.epoch
            and watch.voted_until_s <= now_s
            and now_s - self._last_s(incarnation, watch) > wait_s
        ]

    def _last_s(self, incarnation: Incarnation, watch: _Watch) -> float:
        renewed_s = self._renewed_s.get(incarnation, -math.inf)
        return max(renewed_s, watch.applied_s)

    def _wait_s(self) -> float | None:
        """Return the silence after which to vote, None without the right."""
        membership = self._membership
        member = membership.member
        if member is None or membership.is_stopping:
            return None
        lease_s = self._timing.lease_s
        if membership.is_leased and membership.is_recently_renewed:
            return lease_s
        if self._is_pair(member):
            is_second = member.incarnation > member.witnesses[0]
            return lease_s + is_second * self._timing.tie_break_s
        return lease_s if membership.is_long_without_lease else None

    def _is_pair(self, member: Member) -> bool:
        """Return whether two members are each other's only witness.

        Neither can hold a lease without the other, so the log decides which
        of them goes on: the first vote in it wins.
        """
        members = self._journal.fleet.members
        nearby = [
            each for each in members.values() if each.region == member.region
        ]
        return len(nearby) == _PAIR and len(member.witnesses) == 1

    async def _vote_about_orphans(self) -> None:
        if self._wait_s() is None:
            return
        now_s = self._clock.now_s()
        votes = self._orphans.due(self._membership.incarnation, now_s)
        for vote in votes:
            _log.warning('suspect {}: its witnesses left', vote.incarnation)
        if votes:
            await self._journal.propose(
                Suspect(votes),
                deadline_s=now_s + self._timing.append_timeout_s,
            )

    async def _vote(self, due: list[Member]) -> None:
        now_s = self._clock.now_s()
        own = self._membership.incarnation
        deadline_s = now_s + self._timing.append_timeout_s
        for member in due:
            self._voted[member.incarnation] = member.epoch
            self._watches[member.incarnation].voted_until_s = deadline_s
            _log.warning('suspect {}: lease lapsed', member.incarnation)
        votes = tuple(
            Vote(member.incarnation, member.epoch, own) for member in due
        )
        await self._journal.propose(Suspect(votes), deadline_s=deadline_s)
