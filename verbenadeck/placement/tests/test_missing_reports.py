"""Plans while some owners of a large service send no load reports."""

import asyncio
from collections import Counter
from collections.abc import Collection, Mapping

from verbenadeck.model import Incarnation, ServiceName, Shard
from verbenadeck.placement import LoadTable, PlanInput, ShardLoads, make_plan
from verbenadeck.placement._measured_input import apply_measured_load
from verbenadeck.placement._plan import Plan
from verbenadeck.placement.tests.builders import (
    SHARD_COUNT,
    build_balanced_owners,
    build_capacities,
    build_even_owners,
)
from verbenadeck.testing import run_virtual, virtual_clock

_SERVICE = ServiceName('catalogue')
_MEMBER_COUNT = 23
_SILENT = Incarnation(5)
_SLOTS = 9
_BUDGET = 2000
_CAPACITIES = build_capacities(_MEMBER_COUNT)


def _make_load_table(
    owners: list[Incarnation],
    *,
    silent: Collection[Incarnation] = (),
    load_ratios: Mapping[Incarnation, float] | None = None,
) -> LoadTable:
    """Return the reports of all but the silent owners, 0.7 of capacity each."""
    load_table = LoadTable(clock=virtual_clock())
    ratios = load_ratios or {}
    for member in set(owners) - set(silent):
        capacity = _CAPACITIES[member]
        rate = ratios.get(member, 0.7) * capacity
        load_table.add_report(ShardLoads(member, _SERVICE, capacity, rate, ()))
    return load_table


def _make_plan(
    load_table: LoadTable,
    owners: list[Incarnation],
    *,
    lost: Collection[Incarnation] = (),
) -> Plan:
    plan_input = PlanInput(
        owners=owners,
        weights={each: _SLOTS for each in _CAPACITIES if each not in lost},
        budget=_BUDGET,
    )
    return make_plan(
        apply_measured_load(
            plan_input,
            load_table.measured_load(_SERVICE, owners),
            may_balance=True,
        )
    )


# Guards against SHORT of pkx-mesh-grown: a plan without the report of one owner
# moved a tenth of all shards to equal numbers, and the next plan moved them back.
def test_owner_that_has_not_reported_yet_moves_no_shards() -> None:
    async def scenario() -> None:
        owners = build_balanced_owners(_CAPACITIES)
        load_table = _make_load_table(owners, silent=(_SILENT,))
        plan = _make_plan(load_table, owners)
        assert not plan.forced
        assert not plan.balance

    run_virtual(scenario())


def test_only_shards_of_a_lost_owner_move_by_measured_capacity() -> None:
    async def scenario() -> None:
        owners = build_balanced_owners(_CAPACITIES)
        load_table = _make_load_table(owners, silent=(_SILENT,))
        plan = _make_plan(load_table, owners, lost=(_SILENT,))
        lost = {
            index for index in range(SHARD_COUNT) if owners[index] == _SILENT
        }
        assert plan.forced.keys() == lost
        assert not plan.balance
        for shard, owner in plan.forced.items():
            owners[shard] = owner
        counts = Counter(owners)
        per_capacity = [
            counts[member] / _CAPACITIES[member]
            for member in _CAPACITIES
            if member != _SILENT
        ]
        assert max(per_capacity) < 1.1 * min(per_capacity)

    run_virtual(scenario())


def test_silent_owner_neither_gets_nor_gives_shards_by_balancing() -> None:
    async def scenario() -> None:
        owners = build_even_owners(_MEMBER_COUNT)
        load_table = _make_load_table(
            owners, silent=(_SILENT,), load_ratios={Incarnation(1): 1.5}
        )
        plan = _make_plan(load_table, owners)
        assert plan.balance
        assert _SILENT not in plan.balance.values()
        assert all(owners[shard] != _SILENT for shard in plan.balance)

    run_virtual(scenario())


def test_without_any_report_only_shards_of_lost_owners_move() -> None:
    async def scenario() -> None:
        owners = build_balanced_owners(_CAPACITIES)
        load_table = _make_load_table(owners, silent=_CAPACITIES)
        assert load_table.measured_load(_SERVICE, owners) is None
        plan = _make_plan(load_table, owners, lost=(_SILENT,))
        assert {owners[shard] for shard in plan.forced} == {_SILENT}
        assert not plan.balance

    run_virtual(scenario())


def test_report_counts_until_it_expires() -> None:
    async def scenario() -> None:
        owners = build_balanced_owners(_CAPACITIES)
        load_table = _make_load_table(owners)
        await asyncio.sleep(1.9)
        assert not load_table.silent_owners(owners)
        load_table.add_report(ShardLoads(_SILENT, _SERVICE, 70, 30, ()))
        await asyncio.sleep(0.2)
        measured_load = load_table.measured_load(_SERVICE, owners)
        assert measured_load is not None
        assert measured_load.capacities == {_SILENT: 70}
        assert load_table.silent_owners(owners) == set(owners) - {_SILENT}
        await asyncio.sleep(2)
        assert load_table.measured_load(_SERVICE, owners) is None

    run_virtual(scenario())


def test_costs_of_hot_shards_do_not_depend_on_silent_owners() -> None:
    async def scenario() -> None:
        owners = build_balanced_owners(_CAPACITIES)
        ordinary_rate = 0.05
        load_table = LoadTable(clock=virtual_clock())
        hot = Shard(0)
        for member, count in Counter(owners).items():
            if member != _SILENT:
                own = ((hot, 10.0),) if member == owners[0] else ()
                rate = count * ordinary_rate + 10 * len(own)
                load_table.add_report(
                    ShardLoads(member, _SERVICE, 50, rate, own)
                )
        measured_load = load_table.measured_load(_SERVICE, owners)
        assert measured_load is not None
        assert 190 < measured_load.costs[hot] < 210

    run_virtual(scenario())
