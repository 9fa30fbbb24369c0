"""Witness set of this node and its replacement."""

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
    spread,
)
from verbenadeck.membership._witness_set_rules import is_change_allowed
from verbenadeck.model import Epoch, Incarnation
from verbenadeck.records import Witnesses
from verbenadeck.utils import Clock

_log = logger.bind(part='membership')
_MAX_PENDING = 3


class WitnessSetKeeper:
    """Keeps a set of witnesses that answer.

    While the outcome of a change is unknown the lease needs a quorum of the
    set in force and of each set that may have replaced it.
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
        self._changing: asyncio.Task[None] | None = None
        self._next_look_s = 0.0
        self._looked = 0

    def sets(self, member: Member) -> tuple[WitnessSet, ...]:
        """Return the sets whose quorums the lease needs now."""
        pending = (
            witnesses
            for epoch, witnesses in self._pending
            if epoch == member.epoch
        )
        return (member.witnesses, *pending)

    def asked(self, member: Member) -> set[Incarnation]:
        """Return all nodes that get heartbeats."""
        return self.probes.asked.union(*self.sets(member))

    def reset(self) -> None:
        """Forget the changes of an earlier incarnation."""
        self._pending.clear()
        self.probes.clear()

    async def stop(self) -> None:
        """End a change in progress."""
        if self._changing is not None:
            self._changing.cancel()
            await asyncio.gather(self._changing, return_exceptions=True)

    def maintain(self, member: Member) -> None:
        """Probe candidates or start a change when the set needs one."""
        self.probes.expire()
        target = self._target(member) if self._needs_look(member) else None
        if target is None:
            self.probes.clear()
            return
        self.probes.ask(set(target) - set(member.witnesses))
        is_idle = self._changing is None or self._changing.done()
        is_ready = all(map(self.probes.is_answering, target))
        if is_idle and is_ready and self._is_due(member):
            self._changing = asyncio.ensure_future(self._change(member, target))

    def _needs_look(self, member: Member) -> bool:
        now_s = self._clock.now_s()
        live = self._journal.fleet.members
        is_lacking = not all(map(live.__contains__, member.witnesses))
        is_full_look = now_s >= self._next_look_s or len(live) != self._looked
        if is_full_look:
            self._next_look_s = now_s + self._timing.witness_review_interval_s
            self._looked = len(live)
        is_waiting = bool(self.probes.asked)
        return (
            is_full_look
            or is_waiting
            or is_lacking
            or bool(self._silent(member))
        )

    def _target(self, member: Member) -> WitnessSet | None:
        live = {
            each.incarnation: each
            for each in candidates_for(
                self._journal.fleet.members.values(),
                node_id=member.node_id,
                region=member.region,
            )
        }
        silent = self._silent(member)
        excluded = silent | self.probes.avoided
        target = choose_witnesses(
            [live[each] for each in live.keys() - excluded],
            kept=(*member.witnesses, *self.probes.asked),
            random_source=self._random,
        )
        is_lacking = not live.keys() >= set(member.witnesses)
        is_better = spread(target, live) > spread(member.witnesses, live)
        is_allowed = is_change_allowed(
            member.witnesses,
            target,
            live_count=len(live),
            is_long_without_lease=self._is_long_without_lease(),
        )
        is_wanted = bool(silent) or is_lacking or is_better
        return target if is_wanted and is_allowed else None

    def _is_due(self, member: Member) -> bool:
        """Return whether a probed change shall be asked for now."""
        renewed_s = self._renewals.renewed_s(self.sets(member))
        age_s = self._clock.now_s() - renewed_s
        is_fresh = age_s <= self._timing.probe_after_s
        return is_fresh or age_s > self._timing.witness_timeout_s

    def _silent(self, member: Member) -> set[Incarnation]:
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
        if entry not in self._pending:
            if len(self._pending) >= _MAX_PENDING:
                return
            self._pending.append(entry)
        outcome = await self._journal.propose(
            Witnesses(member.incarnation, member.epoch, target),
            deadline_s=self._clock.now_s() + self._timing.append_timeout_s,
        )
        self._settle(entry, outcome)

    def _settle(
        self,
        entry: tuple[Epoch, WitnessSet],
        outcome: Result[AppliedRecord, JournalError],
    ) -> None:
        match outcome:
            case Success(AppliedRecord(verdict=verdict)):
                self._pending.remove(entry)
                _log.info('witnesses {}: {}', entry[1], verdict.value)
            case Failure(JournalError(failure=JournalFailure.NOT_APPENDED)):
                self._pending.remove(entry)
            case _:
                # The record may still arrive, so both sets count.
                _log.warning('witnesses {}: outcome unknown', entry[1])
