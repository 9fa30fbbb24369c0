"""Outages and lost answers of the log, combined with other faults."""

import asyncio

import pytest

from verbenadeck.lease.tests.builders import (
    TAKEOVER_LIMIT_S,
    incarnations,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.testing import SERVICE, VirtualFleet, zoned_specs


def _has_same_owners_on_all_nodes(fleet: VirtualFleet) -> bool:
    """Return whether all running nodes have the same owners in their state."""
    views = [
        tuple(node.journal.fleet.owners(SERVICE))
        for node in fleet.nodes.values()
        if node.is_running
    ]
    return len(set(views)) == 1


def test_leases_are_kept_during_a_log_outage() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        fleet.log.is_up = False
        for _ in range(300):
            await asyncio.sleep(0.1)
            assert fleet.is_served()
        fleet.log.is_up = True
        await asyncio.sleep(2)
        assert incarnations(fleet) == before

    run_scenario(scenario)


@pytest.mark.parametrize('down_at_s', [-1, 0, 0.5, 0.95, 1.05, 1.2])
def test_owner_killed_around_a_log_outage_is_replaced(down_at_s: float) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        loop = asyncio.get_running_loop()
        kill_at_s = loop.time() + 1
        loop.call_later(1 + down_at_s, setattr, fleet.log, 'is_up', False)
        await asyncio.sleep(kill_at_s - loop.time())
        await fleet.nodes[owner].kill()
        await asyncio.sleep(6)
        fleet.log.is_up = True
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(2)
        assert _has_same_owners_on_all_nodes(fleet)

    run_scenario(scenario)


@pytest.mark.parametrize('lost', [1, 2, 3, 5, 8])
def test_owner_is_replaced_when_answers_to_appends_are_lost(lost: int) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        fleet.log.lost_answers = lost
        await fleet.nodes[owner].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(3)
        assert _has_same_owners_on_all_nodes(fleet)

    run_scenario(scenario)


def test_witness_change_with_lost_answers_keeps_the_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)[owner]
        lost = witnesses_of(fleet, owner)[:2]
        fleet.log.lost_answers = 4
        await asyncio.gather(*(fleet.nodes[each].kill() for each in lost))
        await asyncio.sleep(5)
        assert incarnations(fleet)[owner] == before
        assert fleet.is_served()
        assert not set(lost) & set(witnesses_of(fleet, owner))

    run_scenario(scenario)


def test_witness_lost_during_a_log_outage_costs_no_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)[owner]
        fleet.log.is_up = False
        lost = witnesses_of(fleet, owner)[0]
        await fleet.nodes[lost].kill()
        await asyncio.sleep(10)
        assert owner_of(fleet) == owner
        fleet.log.is_up = True
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(3)
        assert incarnations(fleet)[owner] == before

    run_scenario(scenario)


def test_concurrent_planners_agree_on_the_owners() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await fleet.nodes[owner_of(fleet)].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(5)
        assert fleet.is_served()
        assert _has_same_owners_on_all_nodes(fleet)

    run_scenario(scenario, specs=zoned_specs(3, 3, 3, standby_delay_s=0))


def test_takeover_succeeds_with_a_slow_log() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.log.latency_s = 0.4
        await fleet.nodes[owner_of(fleet)].kill()
        await fleet.wait_until(lambda: not fleet.is_served())
        await fleet.wait_until(fleet.is_served, limit_s=4)

    run_scenario(scenario)
