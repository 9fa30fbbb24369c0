"""Plans after owners of a large service have restarted."""

import asyncio
from collections import Counter

import pytest

from verbenadeck.placement import LoadTable, PlanInput, ShardLoads, make_plan
from verbenadeck.placement._load_reports import REPORT_INTERVAL_S
from verbenadeck.placement._measured_input import apply_measured_load
from verbenadeck.placement.tests.builders import (
    SHARD_COUNT,
    build_balanced_owners,
    build_capacities,
    build_load_reporter,
)
from verbenadeck.proxy import ProxyLoad
from verbenadeck.proxy.tests.builders import ProxyFleet
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream
from verbenadeck.testing import run_virtual

_MEMBER_COUNT = 23
_SLOTS = 9
_BUDGET = 2000
_ORDINARY_SHARE = 1.1 * SHARD_COUNT / _MEMBER_COUNT
_KNOWN_RED = pytest.mark.xfail(
    strict=True, reason='KNOWN-RED.txt: a default is reported as capacity'
)


# Guards against owners that get several times the shards that their upstreams
# can bear, since their nodes have just restarted.
@pytest.mark.parametrize('load_ratio', (0.7, 0.9))
@pytest.mark.parametrize(
    'restarted_count',
    (
        1,
        pytest.param(4, marks=_KNOWN_RED),
        pytest.param(12, marks=_KNOWN_RED),
        _MEMBER_COUNT,
    ),
)
def test_restarted_owners_get_no_more_than_the_share_of_an_ordinary_one(
    load_ratio: float, restarted_count: int
) -> None:
    async def scenario() -> None:
        capacities = build_capacities(_MEMBER_COUNT)
        owners = build_balanced_owners(capacities)
        restarted = list(capacities)[:restarted_count]
        per_shard = load_ratio * sum(capacities.values()) / SHARD_COUNT
        fleet = ProxyFleet()
        node = await fleet.add(FakeUpstream(slots=_SLOTS, service=KEYED))
        load_table = LoadTable(clock=fleet.clock)

        def load() -> ProxyLoad:
            return node.proxy.load

        for member in restarted:
            await build_load_reporter(
                load_table, member, load, clock=fleet.clock
            ).start()
        await asyncio.sleep(1.2 * REPORT_INTERVAL_S)
        shard_counts = Counter(owners)
        for member in capacities.keys() - set(restarted):
            rate = per_shard * shard_counts[member]
            load_table.add_report(
                ShardLoads(member, KEYED, capacities[member], rate, ())
            )
        plan = make_plan(
            apply_measured_load(
                PlanInput(
                    owners=owners,
                    weights=dict.fromkeys(capacities, _SLOTS),
                    budget=_BUDGET,
                ),
                load_table.measured_load(KEYED, owners),
                may_balance=True,
            )
        )
        received = Counter(plan.balance.values())
        for member in restarted:
            count = shard_counts[member] + received[member]
            assert count <= max(shard_counts[member], _ORDINARY_SHARE)

    run_virtual(scenario())
