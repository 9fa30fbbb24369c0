"""Witness set of this node and changes of it."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.fleet import Member, renewal_quorum
from verbenadeck.journal import (
    AppliedRecord,
    Journal,
    JournalError,
    JournalFailure,
)
from verbenadeck.membership._probes import Probes
from verbenadeck.membership._renewals import Renewals, WitnessSet
from verbenadeck.membership._timing import LeaseTiming
from verbenadeck.membership._witness_choice import (
    candidates_for,
    choose_witnesses,
    count_coverage,
)
from verbenadeck.membership._witness_set_rules import is_change_allowed
from verbenadeck.model import Epoch, Incarnation
from verbenadeck.records import Witnesses
from verbenadeck.utils import Clock

_log = logger.bind(part='membership')
_MAX_PENDING_CHANGES = 3


class WitnessSetManager:
    """Manager of the witness set, which replaces silent witnesses.

    While the outcome of a change is unknown, the lease needs a quorum of the
    set in force and of each set that may have replaced it.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    random_source : random.Random
        Breaks ties in the choice of witnesses.
    journal : Journal
        Log client.
    renewals : Renewals
        Renewals that witnesses have acknowledged.
    timing : LeaseTiming
        Times of the lease protocol.
    is_long_without_lease : callable
        Returns whether this node of a small fleet has long had no lease.

    Attributes
    ----------
    probes : Probes
        Probes of candidates.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        journal: Journal,
        renewals: Renewals,
        timing: LeaseTiming,
        is_long_without_lease: Callable[[], bool],
    ) -> None:
        self.probes = Probes(clock=clock, timing=timing, renewals=renewals)
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._renewals = renewals
        self._timing = timing
        self._is_long_without_lease = is_long_without_lease
        self._pending: list[tuple[Epoch, WitnessSet]] = []
        self._change_task: asyncio.Task[None] | None = None
        self._next_review_s = 0.0
        self._reviewed_member_count = 0

    def required_sets(self, member: Member) -> tuple[WitnessSet, ...]:
        """Return the sets of which the lease needs a quorum each.

        Parameters
        ----------
        member : Member
            This node as a member.
        """
        pending = (
            witnesses
            for epoch, witnesses in self._pending
            if epoch == member.epoch
        )
        return (member.witnesses, *pending)

    def heartbeat_targets(self, member: Member) -> set[Incarnation]:
        """Return the witnesses and candidates that get heartbeats.

        Parameters
        ----------
        member : Member
            This node as a member.
        """
        return self.probes.probed.union(*self.required_sets(member))

    def reset(self) -> None:
        """Discard the pending changes of an earlier incarnation."""
        self._pending.clear()
        self.probes.clear()

    async def stop(self) -> None:
        """Cancel a change in progress."""
        if self._change_task is not None:
            self._change_task.cancel()
            await asyncio.gather(self._change_task, return_exceptions=True)

    def maintain(self, member: Member) -> None:
        """Probe candidates or start a change if the set needs one.

        Parameters
        ----------
        member : Member
            This node as a member.
        """
        self.probes.expire()
        target = (
            self._choose_target(member) if self._needs_review(member) else None
        )
        if target is None:
            self.probes.clear()
            return
        self.probes.set_candidates(set(target) - set(member.witnesses))
        is_idle = self._change_task is None or self._change_task.done()
        is_ready = all(map(self.probes.is_answering, target))
        if is_idle and is_ready and self._is_change_due(member):
            self._change_task = asyncio.ensure_future(
                self._change(member, target)
            )

    def _needs_review(self, member: Member) -> bool:
        now_s = self._clock.now_s()
        live = self._journal.fleet.members
        has_ended_witness = not all(map(live.__contains__, member.witnesses))
        is_review_due = (
            now_s >= self._next_review_s
            or len(live) != self._reviewed_member_count
        )
        if is_review_due:
            self._next_review_s = now_s + self._timing.witness_review_interval_s
            self._reviewed_member_count = len(live)
        is_waiting = bool(self.probes.probed)
        return (
            is_review_due
            or is_waiting
            or has_ended_witness
            or bool(self._find_silent_witnesses(member))
        )

    def _choose_target(self, member: Member) -> WitnessSet | None:
        live = {
            each.incarnation: each
            for each in candidates_for(
                self._journal.fleet.members.values(),
                node_id=member.node_id,
                region=member.region,
            )
        }
        silent = self._find_silent_witnesses(member)
        excluded = silent | self.probes.cooling_down
        target = choose_witnesses(
            [live[each] for each in live.keys() - excluded],
            kept=(*member.witnesses, *self.probes.probed),
            random_source=self._random,
        )
        has_ended_witness = not live.keys() >= set(member.witnesses)
        is_better = count_coverage(target, live) > count_coverage(
            member.witnesses, live
        )
        is_allowed = is_change_allowed(
            member.witnesses,
            target,
            live_count=len(live),
            is_long_without_lease=self._is_long_without_lease(),
        )
        is_wanted = bool(silent) or has_ended_witness or is_better
        return target if is_wanted and is_allowed else None

    def _is_change_due(self, member: Member) -> bool:
        """Return whether to propose a change to probed candidates now."""
        renewed_s = self._renewals.renewed_s(self.required_sets(member))
        age_s = self._clock.now_s() - renewed_s
        is_fresh = age_s <= self._timing.probe_after_s
        return is_fresh or age_s > self._timing.witness_timeout_s

    def _find_silent_witnesses(self, member: Member) -> set[Incarnation]:
        ages_s = {each: self._renewals.age_s(each) for each in member.witnesses}
        limit_s = self._timing.probe_after_s
        answering = sum(age_s <= limit_s for age_s in ages_s.values())
        if answering >= renewal_quorum(len(ages_s)):
            limit_s = self._timing.spare_timeout_s
        return {each for each, age_s in ages_s.items() if age_s > limit_s}

    async def _change(self, member: Member, target: WitnessSet) -> None:
        entry = (member.epoch, target)
        self._pending = [
            each for each in self._pending if each[0] == member.epoch
        ]
        is_first = entry not in self._pending
        if is_first:
            if len(self._pending) >= _MAX_PENDING_CHANGES:
                return
            self._pending.append(entry)
        outcome = await self._journal.propose(
            Witnesses(member.incarnation, member.epoch, target),
            deadline_s=self._clock.now_s() + self._timing.append_timeout_s,
        )
        self._handle_outcome(entry, outcome, is_first=is_first)

    def _handle_outcome(
        self,
        entry: tuple[Epoch, WitnessSet],
        outcome: Result[AppliedRecord, JournalError],
        *,
        is_first: bool,
    ) -> None:
        match outcome:
            case Success(AppliedRecord(verdict=verdict)):
                self._forget(entry)
                _log.info(
                    'change of the witness set to {}: {}',
                    entry[1],
                    verdict.value,
                )
            case Failure(JournalError(failure=JournalFailure.NOT_APPENDED)) if (
                is_first
            ):
                self._forget(entry)
            case _:
                # This record or an earlier one with the same set may still be
                # appended, so both sets count.
                _log.warning(
                    'change of the witness set to {} has an unknown outcome; '
                    'the lease needs a quorum of the old and the new set',
                    entry[1],
                )

    def _forget(self, entry: tuple[Epoch, WitnessSet]) -> None:
        """Stop requiring a set, which a reset may have discarded before."""
        self._pending = [each for each in self._pending if each != entry]
