"""Membership of this node: join, heartbeats, leave and repeated joins."""

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
from verbenadeck.membership._eviction_report import make_eviction_report
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
from verbenadeck.membership._witness_set import WitnessSetManager
from verbenadeck.model import NO_MEMBER, Incarnation
from verbenadeck.peers import PeerTransport
from verbenadeck.records import LeavePhase, NodeJoin, NodeLeave, Verdict
from verbenadeck.utils import Clock, always_true

_log = logger.bind(part='membership')
_TICKS_PER_HEARTBEAT = 4
_JOIN_RETRY_S = 0.5
_SMALL_FLEET_SIZE = 3
_LEAVE_POLL_S = 0.05


class Membership:
    """Membership and lease of this node.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    random_source : random.Random
        Spreads the choice of witnesses and the times of retries.
    journal : Journal
        Log client; must have read the whole log before `start`.
    transport : PeerTransport
        Transport to other nodes. Its port must be bound before `start`, so
        that no earlier process of this node can still run.
    describe_node : callable returning NodeJoin
        Returns the present description of the node and its upstream; the
        witnesses in it are ignored.
    timing : LeaseTiming or None
        Times that all nodes of the fleet share; None for the defaults.
    can_join : callable
        Returns whether the node has an upstream, without which it does not
        join.
    are_earlier_grants_over : callable or None
        Returns whether all grants of earlier processes of this node have
        ended. None assumes this one whole lease after `start`.

    Attributes
    ----------
    timing : LeaseTiming
        Times that all nodes of the fleet share.
    is_stopping : bool
        Whether the node has stopped renewing leases of others and its own.
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

        def is_first_lease_over() -> bool:
            return clock.now_s() >= self._started_s + self.timing.lease_s

        self._remove_stale_members = make_stale_member_removal(
            journal.fleet,
            propose=self._propose,
            describe_node=describe_node,
            are_earlier_grants_over=are_earlier_grants_over
            or is_first_lease_over,
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
        self._witness_set_manager = WitnessSetManager(
            clock=clock,
            random_source=random_source,
            journal=journal,
            renewals=self._renewals,
            timing=self.timing,
            is_long_without_lease=lambda: self.is_long_without_lease,
        )
        self._tasks: list[asyncio.Task[None]] = []
        journal.fleet.subscribe(
            make_eviction_report(
                journal.fleet,
                clock=clock,
                incarnation=lambda: self._incarnation,
                lease_deadline_s=lambda member: (
                    -math.inf
                    if self.is_stopping or self._is_resigning
                    else self._renewals.deadline_s(
                        self._witness_set_manager.required_sets(member)
                    )
                ),
            )
        )

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the node, `NO_MEMBER` while it has not joined."""
        return self._incarnation if self.member else NO_MEMBER

    @property
    def member(self) -> Member | None:
        """Member of the fleet state, None if evicted or not joined."""
        return self._journal.fleet.members.get(self._incarnation)

    @property
    def lease_deadline_s(self) -> float:
        """End of the lease on the boot clock, in seconds.

        In the past without a lease. For a node without witnesses, which is
        alone in its fleet, the end moves along with the clock.
        """
        return self._renewed_s + self.timing.holder_lease_s

    @property
    def is_leased(self) -> bool:
        """Whether the lease is in force now."""
        return self._clock.now_s() < self.lease_deadline_s

    @property
    def is_recently_renewed(self) -> bool:
        """Whether the last renewal is recent enough to vote on others."""
        age_s = self._clock.now_s() - self._renewed_s
        return age_s <= self.timing.max_voter_lease_age_s

    @property
    def is_long_without_lease(self) -> bool:
        """Whether this node of a small fleet has long had no lease."""
        member = self.member
        if member is None or len(member.witnesses) > _SMALL_FLEET_SIZE:
            return False
        age_s = self._clock.now_s() - max(self._renewed_s, self._joined_s)
        others = len(
            candidates_for(
                self._journal.fleet.members.values(),
                node_id=member.node_id,
                region=member.region,
            )
        )
        return others <= _SMALL_FLEET_SIZE and age_s > self.timing.last_resort_s

    async def start(self) -> None:
        """Start to join and to renew the lease in the background."""
        self._joined_s = self._clock.now_s()
        self._started_s = self._joined_s
        self._tasks = [
            asyncio.ensure_future(self._maintain_membership()),
            asyncio.ensure_future(self._run_heartbeats()),
        ]

    def resign(self, reason: str) -> None:
        """End this incarnation at once; join again when there is an upstream.

        The caller must know that the upstream holds no grant of this
        incarnation any more.

        Parameters
        ----------
        reason : str
            Reason for the log line.
        """
        if self.member is not None and not self._is_resigning:
            _log.info('incarnation {} resigns: {}', self._incarnation, reason)
            self._is_resigning = True
        self._wake.set()

    async def leave(self, *, deadline_s: float) -> bool:
        """Ask the planner to move all shards away and wait for it.

        Parameters
        ----------
        deadline_s : float
            End of the wait on the boot clock, in seconds.

        Returns
        -------
        bool
            Whether this node has no shard left to release, or is no member.
            False at once if no other member of the service can take over.
        """
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
        """Stop all tasks, then record the end of this incarnation."""
        self.is_stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._witness_set_manager.stop()
        if self.member:
            await self._propose(NodeLeave(self.incarnation, LeavePhase.GONE))
        _log.info(
            'stopped as incarnation {}; it holds no lease any more',
            self._incarnation,
        )

    @property
    def _renewed_s(self) -> float:
        member = self.member
        if member is None or self.is_stopping or self._is_resigning:
            return -math.inf
        return self._renewals.renewed_s(
            self._witness_set_manager.required_sets(member)
        )

    async def _maintain_membership(self) -> None:
        while not await self._journal.wait_ready(
            deadline_s=self._clock.now_s() + _JOIN_RETRY_S
        ):
            continue
        while True:
            self._wake.clear()
            if self._is_resigning and self.member is not None:
                await self._propose(
                    NodeLeave(self._incarnation, LeavePhase.GONE)
                )
            may_join = self._can_join()
            if self.member is None and may_join:
                await self._join()
            if self.member is not None or not may_join:
                await self._remove_stale_members(self.incarnation)
            await self._resign_on_quorum_loss()
            wait_s = _JOIN_RETRY_S * self._random.uniform(0.5, 1)
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
        self._witness_set_manager.reset()
        applied = (await self._propose(record)).value_or(None)
        if applied is not None and applied.verdict is Verdict.ACCEPTED:
            self._incarnation = Incarnation(applied.offset)
            self._joined_s = self._clock.now_s()
            _log.info('joined the fleet as incarnation {}', applied.offset)

    async def _resign_on_quorum_loss(self) -> None:
        member = self.member
        if member is None or not has_lost_quorum(self._journal.fleet, member):
            return
        lapsed_s = self._clock.now_s() - max(self._renewed_s, self._joined_s)
        if lapsed_s > self.timing.last_resort_s:
            # From now on this incarnation holds no lease, whether or not the
            # append succeeds: others may get its shards at any moment.
            self._is_resigning = True
            _log.info(
                'incarnation {} has lost the quorum of its witnesses; resigning',
                member.incarnation,
            )
            await self._propose(NodeLeave(member.incarnation, LeavePhase.GONE))

    async def _run_heartbeats(self) -> None:
        tick_s = self.timing.heartbeat_interval_s / _TICKS_PER_HEARTBEAT
        tick = 0
        previous_targets: set[Incarnation] = set()
        while True:
            member = self.member
            if member is not None:
                self._witness_set_manager.maintain(member)
                targets = self._witness_set_manager.heartbeat_targets(member)
                is_heartbeat_due = tick % _TICKS_PER_HEARTBEAT == 0
                # New witnesses get a heartbeat at once and silent ones at
                # every tick, so that one lost datagram does not delay a
                # renewal by a whole interval.
                early_targets = (
                    targets - previous_targets
                ) | self._heartbeats.find_silent_witnesses(targets)
                self._heartbeats.send(
                    targets if is_heartbeat_due else early_targets
                )
                previous_targets = targets
            tick += 1
            await asyncio.sleep(tick_s)
