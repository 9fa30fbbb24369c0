"""Membership of this node: join, heartbeats, leave and joining again."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec
from loguru import logger

from verbenadeck.fleet import Member, MemberState
from verbenadeck.journal import Journal, completes_by
from verbenadeck.membership._earlier_incarnations import (
    make_stale_member_removal,
)
from verbenadeck.membership._heartbeats import Heartbeats
from verbenadeck.membership._proposer import make_proposer
from verbenadeck.membership._quorum_loss import has_lost_quorum
from verbenadeck.membership._renewals import Renewals
from verbenadeck.membership._successors import has_shards, has_successor
from verbenadeck.membership._timing import LeaseTiming
from verbenadeck.membership._witness_choice import (
    candidates_for,
    choose_witnesses,
)
from verbenadeck.membership._witness_set import WitnessSetKeeper
from verbenadeck.model import NO_MEMBER, Incarnation
from verbenadeck.peers import PeerTransport
from verbenadeck.records import LeavePhase, NodeJoin, NodeLeave, Verdict
from verbenadeck.utils import Clock, always_true

_log = logger.bind(part='membership')
_TICKS_PER_HEARTBEAT = 4
_RETRY_S = 0.5
_SMALL_FLEET = 3
_LEAVE_POLL_S = 0.05


class Membership:
    """Membership and lease of this node.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    random_source : random.Random
        Spreads witnesses and retries.
    journal : Journal
        Log client, caught up before `start`.
    transport : PeerTransport
        Peer port; bound before `start`, so that no earlier process of this
        node can still run.
    describe_node : callable returning NodeJoin
        The node and its upstream as they are now; witnesses are ignored.
    timing : LeaseTiming
        Times that the whole fleet shares.
    can_join : callable
        Whether there is an upstream to join with.
    are_earlier_grants_over : callable or None
        Whether what earlier processes of this node granted has ended; None
        waits for a whole lease.

    Attributes
    ----------
    is_stopping : bool
        Whether the node has ended its duties as a witness.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        journal: Journal,
        transport: PeerTransport,
        describe_node: Callable[[], NodeJoin],
        timing: LeaseTiming | None = None,
        can_join: Callable[[], bool] = always_true,
        are_earlier_grants_over: Callable[[], bool] | None = None,
    ) -> None:
        self.timing = timing or LeaseTiming()
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._describe_node = describe_node
        self._incarnation = NO_MEMBER
        self._is_resigning = False
        self._can_join = can_join
        self._wake = asyncio.Event()
        self._propose = make_proposer(
            journal, clock=clock, timeout_s=self.timing.append_timeout_s
        )

        def is_lease_past() -> bool:
            return clock.now_s() >= self._started_s + self.timing.lease_s

        self._remove_stale_members = make_stale_member_removal(
            journal.fleet,
            propose=self._propose,
            are_earlier_grants_over=are_earlier_grants_over or is_lease_past,
        )
        self.is_stopping = False
        self._joined_s = -math.inf
        self._started_s = -math.inf
        self._renewals = Renewals(clock=clock, timing=self.timing)
        self._heartbeats = Heartbeats(
            clock=clock,
            transport=transport,
            fleet=journal.fleet,
            renewals=self._renewals,
            probe_after_s=self.timing.probe_after_s,
            incarnation=lambda: self._incarnation,
        )
        self._keeper = WitnessSetKeeper(
            clock=clock,
            random_source=random_source,
            journal=journal,
            renewals=self._renewals,
            timing=self.timing,
            is_long_without_lease=lambda: self.is_long_without_lease,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def incarnation(self) -> Incarnation:
        """Present life of the node, `NO_MEMBER` while it is not joined."""
        return self._incarnation if self.member else NO_MEMBER

    @property
    def member(self) -> Member | None:
        """Node as the log has it, None when evicted or not joined."""
        return self._journal.fleet.members.get(self._incarnation)

    @property
    def lease_deadline_s(self) -> float:
        """End of the lease on the boot clock, in the past without one.

        A lone node's end moves along with the clock.
        """
        return self._renewed_s + self.timing.holder_lease_s

    @property
    def is_leased(self) -> bool:
        """Whether the lease is in force now."""
        return self._clock.now_s() < self.lease_deadline_s

    @property
    def is_recently_renewed(self) -> bool:
        """Whether the lease was renewed lately enough to judge others."""
        age_s = self._clock.now_s() - self._renewed_s
        return age_s <= self.timing.max_voter_lease_age_s

    @property
    def is_long_without_lease(self) -> bool:
        """Whether a small fleet left this node without a lease for long."""
        member = self.member
        if member is None or len(member.witnesses) > _SMALL_FLEET:
            return False
        age_s = self._clock.now_s() - max(self._renewed_s, self._joined_s)
        others = len(
            candidates_for(
                self._journal.fleet.members.values(),
                node_id=member.node_id,
                region=member.region,
            )
        )
        return others <= _SMALL_FLEET and age_s > self.timing.last_resort_s

    async def start(self) -> None:
        """Join in the background and keep the lease."""
        self._joined_s = self._clock.now_s()
        self._started_s = self._joined_s
        self._tasks = [
            asyncio.ensure_future(self._stay_joined()),
            asyncio.ensure_future(self._beat()),
        ]

    def resign(self, reason: str) -> None:
        """Resign at once and join afresh when there is an upstream again.

        For a caller that knows that nothing which this life granted is held
        any more.
        """
        if self.member is not None and not self._is_resigning:
            _log.info('incarnation {} ends: {}', self._incarnation, reason)
            self._is_resigning = True
        self._wake.set()

    async def leave(self, *, deadline_s: float) -> bool:
        """Have the shards moved away; return whether all were in time."""
        own = self.incarnation
        fleet = self._journal.fleet
        record = NodeLeave(own, LeavePhase.DRAINING)
        while self.member and self._clock.now_s() < deadline_s:
            if self.member.state is not MemberState.DRAINING:
                await self._propose(record)
            if not has_shards(fleet, own):
                return True
            if not has_successor(fleet, self._describe_node().service):
                return False
            await asyncio.sleep(_LEAVE_POLL_S)
        return self.member is None

    async def stop(self) -> None:
        """End all duties, then say in the log that this life is over."""
        self.is_stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._keeper.stop()
        if self.member:
            await self._propose(NodeLeave(self.incarnation, LeavePhase.GONE))
        _log.info('left as incarnation {}', self._incarnation)

    @property
    def _renewed_s(self) -> float:
        member = self.member
        if member is None or self.is_stopping or self._is_resigning:
            return -math.inf
        return self._renewals.renewed_s(self._keeper.sets(member))

    async def _stay_joined(self) -> None:
        while True:
            self._wake.clear()
            if self._is_resigning and self.member is not None:
                await self._propose(
                    NodeLeave(self._incarnation, LeavePhase.GONE)
                )
            if self.member is None and self._can_join():
                await self._join()
            await self._remove_stale_members(self.member)
            await self._resign_when_orphaned()
            wait_s = _RETRY_S * self._random.uniform(0.5, 1)
            await completes_by(
                self._wake.wait(), self._clock, self._clock.now_s() + wait_s
            )

    async def _join(self) -> None:
        described = self._describe_node()
        candidates = candidates_for(
            self._journal.fleet.members.values(),
            node_id=described.node_id,
            region=described.region,
        )
        record = msgspec.structs.replace(
            described,
            witnesses=choose_witnesses(candidates, random_source=self._random),
        )
        self._incarnation = NO_MEMBER
        self._is_resigning = False
        self._renewals.reset()
        self._keeper.reset()
        applied = (await self._propose(record)).value_or(None)
        if applied is not None and applied.verdict is Verdict.ACCEPTED:
            self._incarnation = Incarnation(applied.offset)
            self._joined_s = self._clock.now_s()
            _log.info('joined as incarnation {}', applied.offset)

    async def _resign_when_orphaned(self) -> None:
        member = self.member
        if member is None or not has_lost_quorum(self._journal.fleet, member):
            return
        lapsed_s = self._clock.now_s() - max(self._renewed_s, self._joined_s)
        if lapsed_s > self.timing.last_resort_s:
            # From here on this life holds no lease, whatever becomes of the
            # append: others may be given its shards at any moment.
            self._is_resigning = True
            _log.info('resign as incarnation {}', member.incarnation)
            await self._propose(NodeLeave(member.incarnation, LeavePhase.GONE))

    async def _beat(self) -> None:
        tick_s = self.timing.heartbeat_interval_s / _TICKS_PER_HEARTBEAT
        tick = 0
        asked: set[Incarnation] = set()
        while True:
            member = self.member
            if member is not None:
                self._keeper.maintain(member)
                wanted = self._keeper.asked(member)
                is_beat = tick % _TICKS_PER_HEARTBEAT == 0
                # A new witness is asked at once, a silent one more often:
                # one lost datagram must not cost a whole interval.
                early = (wanted - asked) | self._heartbeats.silent(wanted)
                self._heartbeats.send(wanted if is_beat else early)
                asked = wanted
            tick += 1
            await asyncio.sleep(tick_s)
