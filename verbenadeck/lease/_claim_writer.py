"""Claims of what this node served, after the log has lost its newest records."""

import asyncio
import math
import random

from loguru import logger

from verbenadeck.journal import Journal, completes_by
from verbenadeck.lease._grants_interface import ServableFences
from verbenadeck.lease._ranges import ranges_of, shards_in
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Offset
from verbenadeck.records import (
    ClaimsClosed,
    HoldClaim,
    Record,
    ReleasedRange,
    Verdict,
)
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_POLL_S = 0.1
_CLOSE_SPREAD_S = 0.3
"""Spread in seconds of the ends of the claims, so that few nodes write them."""

_NO_START = Offset(-1)
_FINAL_VERDICTS = frozenset((Verdict.ACCEPTED, Verdict.INVALID))
Ranges = tuple[ReleasedRange, ...]


class ClaimWriter:
    """Writer of this node's claim in a new era, and of the end of all claims.

    What the node serves under a lease when it learns that the log has come
    back can't have got another owner: the records that could give it one are
    lost, and those of the new era wait for the claims. So the claim stays
    valid until the claims are closed, also if the lease ends meanwhile.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    random_source : random.Random
        Spreads the ends of the claims over the nodes.
    journal : Journal
        Log client.
    membership : Membership
        Membership and lease of this node.
    servable_fences : ServableFences
        Returns the fences of the shards that this node may serve now.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        journal: Journal,
        membership: Membership,
        servable_fences: ServableFences,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._membership = membership
        self._servable_fences = servable_fences
        self._unclaimed_ranges: Ranges = ()
        self._complete_offset = _NO_START
        self._close_at_s = clock.now_s()
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        journal.new_history_listeners.append(self._on_new_history)
        journal.fleet.subscribe(lambda *_applied: self._changed.set())

    @property
    def is_claiming(self) -> bool:
        """Whether this node has yet to claim shards that it served."""
        return bool(self._unclaimed_ranges)

    @property
    def grant_deadline_s(self) -> float:
        """End of new grants on the boot clock, in seconds.

        While this node claims its shards, it neither renews nor revokes the
        grants of its upstream.
        """
        if self.is_claiming:
            return -math.inf
        return self._membership.lease_deadline_s

    async def start(self) -> None:
        """Start to write claims after the start of an era."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop writing claims."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _on_new_history(self) -> None:
        # Shards that are still unclaimed from an earlier return are left out:
        # the lost records may include the end of those claims.
        is_leased = self._membership.is_leased
        self._unclaimed_ranges = self._find_served_ranges() if is_leased else ()

    def _find_served_ranges(self) -> Ranges:
        fleet = self._journal.fleet
        servable = self._servable_fences()
        return ranges_of(
            (service, shard)
            for service, shard in shards_in(
                fleet.owned_by(self._membership.incarnation)
            )
            if servable.get(shard) == fleet.shard(service, shard).fence
        )

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            if self._journal.fleet.claims.is_open:
                await self._claim()
                await self._close_when_due()
                wake_at_s = self._clock.now_s() + _POLL_S
                await completes_by(self._changed.wait(), self._clock, wake_at_s)
                continue
            if self._journal.is_ready:
                self._unclaimed_ranges = ()
            await self._changed.wait()

    async def _claim(self) -> None:
        own = self._membership.incarnation
        is_expected = own in self._journal.fleet.claims.pending
        if own == NO_MEMBER or not (is_expected or self._unclaimed_ranges):
            return
        claimed = self._unclaimed_ranges
        verdict = await self._propose(HoldClaim(own, claimed))
        if verdict in _FINAL_VERDICTS:
            self._unclaimed_ranges = ()
            _log.info(
                'claim of the shards {} by incarnation {}: {}',
                claimed,
                own,
                verdict.value,
            )

    async def _close_when_due(self) -> None:
        """Close the claims one lease after the last one that is expected."""
        claims = self._journal.fleet.claims
        now_s = self._clock.now_s()
        if claims.pending or self._membership.incarnation == NO_MEMBER:
            return
        if self._complete_offset != claims.start_offset:
            self._complete_offset = claims.start_offset
            self._close_at_s = (
                now_s
                + self._membership.timing.lease_s
                + self._random.uniform(0, _CLOSE_SPREAD_S)
            )
        if now_s >= self._close_at_s and not self.is_claiming:
            await self._propose(ClaimsClosed(claims.start_offset))

    async def _propose(self, record: Record) -> Verdict | None:
        timeout_s = self._membership.timing.append_timeout_s
        answer = await self._journal.propose(
            record, deadline_s=self._clock.now_s() + timeout_s
        )
        applied = answer.value_or(None)
        return None if applied is None else applied.verdict
