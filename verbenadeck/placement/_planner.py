"""Planner that proposes assignments of shards; any live node may run it."""

import asyncio
import math

from loguru import logger
from returns.result import Success

from verbenadeck.fleet import FleetTables, Member
from verbenadeck.journal import AppliedRecord, Journal
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Incarnation, Offset, ServiceName
from verbenadeck.placement._budget import ChurnBudget
from verbenadeck.placement._eligibility import (
    ASSUMED_REACHABLE_S,
    eligible_weights,
    find_returning_owners,
    is_confirmed_reachable,
    planner_members,
    serving_members,
)
from verbenadeck.placement._load_log import LoadLog
from verbenadeck.placement._load_reports import LoadTable
from verbenadeck.placement._loads import PlanInput
from verbenadeck.placement._measured_input import apply_measured_load
from verbenadeck.placement._moves import make_assign_records
from verbenadeck.placement._plan import Plan, make_plan
from verbenadeck.records import (
    Assign,
    CheckpointChunk,
    ConfigPublished,
    NodeJoin,
    NodeLeave,
    Record,
    Suspect,
    Verdict,
)
from verbenadeck.utils import Clock

_log = logger.bind(part='placement')
_MAX_INITIAL_WAIT_S = 6.0
_ACTIVE_PERIOD_S = 30.0
_IDLE_PLAN_INTERVAL_S = 10.0
_ACTIVE_PLAN_INTERVAL_S = 1.0
_CHANGE_DEBOUNCE_S = 0.02
_BALANCE_STANDBY_DELAY_S = 3.0
_MIN_LOAD_BALANCE_INTERVAL_S = 1.0
_MAX_LOGGED_RANGES = 8
_INITIAL_RANGES = 8
"""Number of ranges that each member gets at first when neighbouring keys share
a shard. Each additional one takes a row of the answer to a heartbeat."""

_REPLAN_RECORDS = (
    CheckpointChunk,
    ConfigPublished,
    NodeJoin,
    NodeLeave,
    Suspect,
)


class Planner:
    """Planner that reassigns shards of lost and leaving members and balances.

    The member with the lowest incarnation plans at once. The next two are
    standbys: they plan the same work only when it is still undone after a
    delay, so that a planner that can't reach the log does not block it.
    Assignments are compare-and-set operations on the fences, so concurrent
    planners do no harm.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    journal : Journal
        Log client that proposes the assignments.
    fleet : FleetTables
        Fleet state that this log client has applied.
    membership : Membership
        Membership of this node.
    standby_delay_s : float
        Time in seconds by which the second planner waits after the first,
        and the third after the second.
    load_table : LoadTable or None
        Load reports of the members; without it all shards cost the same.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        journal: Journal,
        fleet: FleetTables,
        membership: Membership,
        standby_delay_s: float = 0.4,
        load_table: LoadTable | None = None,
    ) -> None:
        self._load_table = load_table
        self._load_log = LoadLog(clock=clock)
        self._last_balance_at_s: dict[ServiceName, float] = {}
        self._clock = clock
        self._journal = journal
        self._fleet = fleet
        self._membership = membership
        self._standby_delay_s = standby_delay_s
        self._budget = ChurnBudget(clock)
        self._changed = asyncio.Event()
        self._changed_at_s = clock.now_s()
        self._last_assign_at_s = clock.now_s()
        self._last_record_at_s = clock.now_s()
        self._first_seen_at_s: dict[Incarnation, float] = {}
        self._task: asyncio.Task[None] | None = None
        fleet.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start planning."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop planning."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _on_applied(
        self, _offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        self._last_record_at_s = self._clock.now_s()
        if isinstance(record, Assign):
            self._last_assign_at_s = self._clock.now_s()
        if isinstance(record, _REPLAN_RECORDS):
            self._changed_at_s = self._clock.now_s()
            self._changed.set()

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            self._record_first_seen()
            rank = self._rank()
            if rank is not None:
                delay_s = rank * self._standby_delay_s
                await self._clock.sleep_until(self._changed_at_s + delay_s)
                await self._plan_all()
            try:
                async with asyncio.timeout(self._plan_interval_s()):
                    await self._changed.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(_CHANGE_DEBOUNCE_S)

    def _plan_interval_s(self) -> float:
        """Return the time to the next plan; shorter while records arrive."""
        age_s = self._clock.now_s() - self._last_record_at_s
        if self._load_table is not None or age_s < _ACTIVE_PERIOD_S:
            return _ACTIVE_PLAN_INTERVAL_S
        return _IDLE_PLAN_INTERVAL_S

    def _record_first_seen(self) -> None:
        now_s = self._clock.now_s()
        self._first_seen_at_s = {
            each: self._first_seen_at_s.get(each, now_s)
            for each in self._fleet.members
        }

    async def _plan_all(self) -> None:
        # A service without keys can still have shards, for its ledger.
        for service, policy in self._fleet.config.services.items():
            if not policy.is_keyed and not policy.has_ledger_shards:
                continue
            plan = self._plan(service)
            await self._propose(service, plan)

    def _plan(self, service: ServiceName) -> Plan:
        plan_input = self._make_plan_input(service)
        load_table = self._load_table
        if plan_input is None:
            return Plan({}, {})
        # Only upstreams of keyed services report their load.
        is_keyed = self._fleet.config.services[service].is_keyed
        if load_table is None or not is_keyed:
            return make_plan(plan_input)
        owners = plan_input.owners
        measured_load = load_table.measured_load(service, owners)
        last_balance_at_s = self._last_balance_at_s.get(service, -math.inf)
        since_balance_s = self._clock.now_s() - last_balance_at_s
        plan = make_plan(
            apply_measured_load(
                plan_input,
                measured_load,
                may_balance=since_balance_s >= _MIN_LOAD_BALANCE_INTERVAL_S,
            )
        )
        silent = load_table.silent_owners(owners)
        self._load_log.log_plan(service, measured_load, silent, plan)
        return plan

    def _make_plan_input(self, service: ServiceName) -> PlanInput | None:
        """Return the input of a plan without load; None to move no shards."""
        fleet = self._fleet
        members = serving_members(fleet, service)
        owners = fleet.owners(service)
        named = set(owners)
        is_first_assignment = named == {NO_MEMBER}
        if is_first_assignment and self._is_awaiting_members(members):
            return None
        returning_owners = find_returning_owners(fleet, members, named)
        owners_with_state = named | set(returning_owners.values())
        weights = eligible_weights(
            members,
            is_reachable=lambda each: (
                is_first_assignment or self._is_reachable(each)
            ),
            is_owner=owners_with_state.__contains__,
        )
        budget = self._budget.refill(fleet.config.moves_per_minute)
        return PlanInput(
            owners=owners,
            weights=weights,
            returning_owners=returning_owners,
            moving=frozenset(fleet.unreleased_shards(service)),
            budget=budget if self._may_balance() else 0,
            # Hashed keys are spread already.
            initial_ranges=(
                _INITIAL_RANGES
                if fleet.config.services[service].key_space
                else 1
            ),
        )

    def _is_awaiting_members(self, members: list[Member]) -> bool:
        """Return whether more members of a fleet that starts are expected.

        The first assignment waits until no member has joined for a while,
        for a bounded time, so that shards need not move again at once.
        """
        now_s = self._clock.now_s()
        seen_s = [
            self._first_seen_at_s.get(one.incarnation, now_s) for one in members
        ]
        newest_s = max(seen_s, default=now_s)
        oldest_s = min(seen_s, default=now_s)
        is_quiet = now_s - newest_s > ASSUMED_REACHABLE_S
        return not is_quiet and now_s - oldest_s <= _MAX_INITIAL_WAIT_S

    def _is_reachable(self, member: Member) -> bool:
        seen_s = self._first_seen_at_s.get(member.incarnation, math.inf)
        load_table = self._load_table
        return is_confirmed_reachable(
            known_for_s=self._clock.now_s() - seen_s,
            is_reporting=(
                load_table is not None
                and load_table.is_reporting(member.incarnation)
            ),
        )

    def _may_balance(self) -> bool:
        rank = self._rank()
        quiet_s = self._clock.now_s() - self._last_assign_at_s
        return rank is not None and quiet_s >= rank * _BALANCE_STANDBY_DELAY_S

    def _rank(self) -> int | None:
        own = self._membership.incarnation
        first = planner_members(self._fleet)
        return first.index(own) if own in first else None

    async def _propose(self, service: ServiceName, plan: Plan) -> None:
        fences = self._fleet.fences(service)
        timeout_s = self._membership.timing.append_timeout_s
        deadline_s = self._clock.now_s() + timeout_s
        self._budget.spend(len(plan.balance))
        if plan.balance:
            self._last_balance_at_s[service] = self._clock.now_s()
        reasons = (('no owner', plan.forced), ('balance', plan.balance))
        proposals = [
            self._propose_one(record, reason, deadline_s)
            for reason, moves in reasons
            for record in make_assign_records(service, moves, fences)
        ]
        await asyncio.gather(*proposals)

    async def _propose_one(
        self, record: Assign, reason: str, deadline_s: float
    ) -> None:
        outcome = await self._journal.propose(record, deadline_s=deadline_s)
        match outcome:
            case Success(AppliedRecord(verdict=verdict)):
                verdict_text = verdict.value
            case _:
                verdict_text = 'no verdict before the deadline'
        _log.info(
            'proposed assignment of {} ({}): {}',
            _format_ranges(record),
            reason,
            verdict_text,
        )


def _format_ranges(record: Assign) -> str:
    """Format the ranges of a record for a log line of bounded length."""
    shown = (
        f'{move.service} [{move.first_shard}, {move.stop_shard})'
        f' to {move.new_owner}'
        for move in record.moves[:_MAX_LOGGED_RANGES]
    )
    text = ', '.join(shown)
    left = len(record.moves) - _MAX_LOGGED_RANGES
    return f'{text} and {left} more' if left > 0 else text
