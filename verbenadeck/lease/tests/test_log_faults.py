"""Outages and lost answers of the log, around other faults."""

import asyncio

import pytest

from verbenadeck.lease.tests.builders import (
    TARGET_S,
    incarnations,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.testing import SERVICE, VirtualFleet, zoned_specs


def _is_same_everywhere(fleet: VirtualFleet) -> bool:
    """Return whether all running nodes name the same owners."""
    views = [
        tuple(node.journal.fleet.owners(SERVICE))
        for node in fleet.nodes.values()
        if node.is_running
    ]
    return len(set(views)) == 1


def test_ownership_goes_on_while_the_log_is_down() -> None:
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
def test_an_owner_lost_around_an_outage(down_at_s: float) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        loop = asyncio.get_running_loop()
        kill_at_s = loop.time() + 1
        loop.call_later(1 + down_at_s, setattr, fleet.log, 'is_up', False)
        await asyncio.sleep(kill_at_s - loop.time())
        await fleet.nodes[owner].kill()
        await asyncio.sleep(6)
        fleet.log.is_up = True
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(2)
        assert _is_same_everywhere(fleet)

    run_scenario(scenario)


@pytest.mark.parametrize('lost', [1, 2, 3, 5, 8])
def test_answers_lost_after_the_append_took_effect(lost: int) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        fleet.log.lost_answers = lost
        await fleet.nodes[owner].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(3)
        assert _is_same_everywhere(fleet)

    run_scenario(scenario)


def test_a_witness_change_with_its_answer_lost() -> None:
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


def test_a_witness_change_during_an_outage() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)[owner]
        fleet.log.is_up = False
        lost = witnesses_of(fleet, owner)[0]
        await fleet.nodes[lost].kill()
        await asyncio.sleep(10)
        assert owner_of(fleet) == owner
        fleet.log.is_up = True
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(3)
        assert incarnations(fleet)[owner] == before

    run_scenario(scenario)


def test_three_planners_at_once_do_no_harm() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await fleet.nodes[owner_of(fleet)].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(5)
        assert fleet.is_served()
        assert _is_same_everywhere(fleet)

    run_scenario(scenario, specs=zoned_specs(3, 3, 3, standby_delay_s=0))


def test_a_slow_log_delays_and_breaks_nothing() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.log.latency_s = 0.4
        await fleet.nodes[owner_of(fleet)].kill()
        await fleet.wait_until(lambda: not fleet.is_served())
        await fleet.wait_until(fleet.is_served, limit_s=4)

    run_scenario(scenario)
