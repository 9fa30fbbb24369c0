"""Planner: proposes assignments; any live node may run it."""

import asyncio
import math
from collections.abc import Mapping

import msgspec
from loguru import logger
from returns.result import Success

from verbenadeck.fleet import FleetTables, Member
from verbenadeck.journal import AppliedRecord, Journal
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Incarnation, Offset, ServiceName
from verbenadeck.placement._budget import ChurnBudget
from verbenadeck.placement._eligibility import (
    SETTLE_S,
    homes_of,
    is_confirmed_reachable,
    planners,
    serving_members,
    weights_of,
)
from verbenadeck.placement._load_reports import LoadTable, MeasuredLoad
from verbenadeck.placement._loads import PlanInput
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
_GATHER_S = 6.0
_RESTLESS_S = 30.0
_CALM_LOOK_S = 10.0
_LOOK_S = 1.0
_PAUSE_S = 0.02
_BALANCE_DELAY_S = 3.0
_LOAD_REST_S = 1.0
_LOAD_HYSTERESIS = 0.2
_LOAD_MOVE_SHARE = 0.125
_CAPACITY_UNIT = 10
_SHOWN_MOVES = 8
_URGENT = (CheckpointChunk, ConfigPublished, NodeJoin, NodeLeave, Suspect)


class Planner:
    """Assigns shards of lost and leaving members, then balances.

    The member with the lowest incarnation plans at once. The next two plan
    the same work only when it is still open a little later, so a planner
    that can't reach the log holds nothing up. Plans are made by
    compare-and-set, so two planners at once do no harm.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    journal : Journal
        Log client.
    fleet : FleetTables
        State of that log client.
    membership : Membership
        Membership of this node.
    standby_delay_s : float
        Time in seconds by which the second and the third planner hold back,
        each after the one before it.
    load_table : LoadTable or None
        Measured load; None weighs all shards alike.
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
        self._balanced_s: dict[ServiceName, float] = {}
        self._clock = clock
        self._journal = journal
        self._fleet = fleet
        self._membership = membership
        self._standby_delay_s = standby_delay_s
        self._budget = ChurnBudget(clock)
        self._changed = asyncio.Event()
        self._changed_s = clock.now_s()
        self._assigned_s = clock.now_s()
        self._heard_s = clock.now_s()
        self._seen_s: dict[Incarnation, float] = {}
        self._task: asyncio.Task[None] | None = None
        fleet.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start planning."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """End planning."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _on_applied(
        self, _offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        self._heard_s = self._clock.now_s()
        if isinstance(record, Assign):
            self._assigned_s = self._clock.now_s()
        if isinstance(record, _URGENT):
            self._changed_s = self._clock.now_s()
            self._changed.set()

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            self._note_members()
            rank = self._rank()
            if rank is not None:
                delay_s = rank * self._standby_delay_s
                await self._clock.sleep_until(self._changed_s + delay_s)
                await self._plan_all()
            try:
                async with asyncio.timeout(self._look_s()):
                    await self._changed.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(_PAUSE_S)

    def _look_s(self) -> float:
        """Return the time to the next look; short after any change."""
        age_s = self._clock.now_s() - self._heard_s
        if self._load_table is not None or age_s < _RESTLESS_S:
            return _LOOK_S
        return _CALM_LOOK_S

    def _note_members(self) -> None:
        now_s = self._clock.now_s()
        self._seen_s = {
            each: self._seen_s.get(each, now_s) for each in self._fleet.members
        }

    async def _plan_all(self) -> None:
        # Services that are not divided by key may have ledger shards.
        for service, policy in self._fleet.config.services.items():
            if not policy.is_keyed and not policy.has_ledger_shards:
                continue
            plan = self._plan(service)
            await self._propose(service, plan)

    def _plan(self, service: ServiceName) -> Plan:
        fleet = self._fleet
        members = serving_members(fleet, service)
        owners = fleet.owners(service)
        named = set(owners)
        is_first = named == {NO_MEMBER}
        if is_first and self._is_gathering(members):
            return Plan({}, {})
        homes = homes_of(fleet, members, named)
        keeping = named | set(homes.values())
        weights = weights_of(
            members,
            is_settled=lambda each: is_first or self._is_settled(each),
            is_owner=keeping.__contains__,
        )
        budget = self._budget.refill(fleet.config.moves_per_minute)
        given = PlanInput(
            owners=owners,
            weights=weights,
            homes=homes,
            moving=frozenset(fleet.unreleased_shards(service)),
            budget=budget if self._is_balancing() else 0,
        )
        return make_plan(self._weighed(service, given))

    def _weighed(self, service: ServiceName, given: PlanInput) -> PlanInput:
        """Weigh shards and members by measured load, if there is some."""
        measured = None
        if self._load_table is not None:
            measured = self._load_table.measured(service, given.owners)
        if measured is None:
            return given
        rests_s = self._clock.now_s() - self._balanced_s.get(service, -math.inf)
        most_moves = int(len(given.owners) * _LOAD_MOVE_SHARE)
        is_due = measured.is_busy and rests_s >= _LOAD_REST_S
        return msgspec.structs.replace(
            given,
            weights=_capacities(given.weights, measured),
            costs=measured.costs,
            hysteresis=_LOAD_HYSTERESIS,
            is_measured=True,
            budget=min(given.budget, most_moves) if is_due else 0,
        )

    def _is_gathering(self, members: list[Member]) -> bool:
        """Return whether members that start together are still coming."""
        now_s = self._clock.now_s()
        seen_s = [self._seen_s.get(one.incarnation, now_s) for one in members]
        newest_s = max(seen_s, default=now_s)
        oldest_s = min(seen_s, default=now_s)
        is_quiet = now_s - newest_s > SETTLE_S
        return not is_quiet and now_s - oldest_s <= _GATHER_S

    def _is_settled(self, member: Member) -> bool:
        seen_s = self._seen_s.get(member.incarnation, math.inf)
        load_table = self._load_table
        return is_confirmed_reachable(
            known_for_s=self._clock.now_s() - seen_s,
            is_reporting=(
                load_table is not None
                and load_table.is_reporting(member.incarnation)
            ),
        )

    def _is_balancing(self) -> bool:
        rank = self._rank()
        quiet_s = self._clock.now_s() - self._assigned_s
        return rank is not None and quiet_s >= rank * _BALANCE_DELAY_S

    def _rank(self) -> int | None:
        own = self._membership.incarnation
        first = planners(self._fleet)
        return first.index(own) if own in first else None

    async def _propose(self, service: ServiceName, plan: Plan) -> None:
        fences = self._fleet.fences(service)
        timeout_s = self._membership.timing.append_timeout_s
        deadline_s = self._clock.now_s() + timeout_s
        self._budget.spend(len(plan.balance))
        if plan.balance:
            self._balanced_s[service] = self._clock.now_s()
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
                judged = verdict.value
            case _:
                judged = 'no verdict'
        _log.info('assign {}, {}: {}', _moves_text(record), reason, judged)


def _moves_text(record: Assign) -> str:
    """Return the moves of a record for a line of bounded length."""
    shown = (
        f'{move.service} [{move.first_shard}, {move.stop_shard})'
        f' to {move.new_owner}'
        for move in record.moves[:_SHOWN_MOVES]
    )
    text = ', '.join(shown)
    left = len(record.moves) - _SHOWN_MOVES
    return f'{text} and {left} more' if left > 0 else text


def _capacities(
    weights: Mapping[Incarnation, int], measured: MeasuredLoad
) -> dict[Incarnation, int]:
    """Return capacities; members without a report count by their slots."""
    known = measured.capacities
    told = [each for each in weights if each in known]
    slots = sum(weights[each] for each in told)
    per_slot = sum(known[each] for each in told) / max(1, slots)
    return {
        each: max(1, int(_CAPACITY_UNIT * known.get(each, weight * per_slot)))
        for each, weight in weights.items()
    }
