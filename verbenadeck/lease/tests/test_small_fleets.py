"""Fleets of one to three nodes, clocks that drift, upstreams that restart."""

import asyncio

import pytest

from verbenadeck.lease.tests.builders import (
    TARGET_S,
    incarnations,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.model import NodeId
from verbenadeck.testing import VirtualFleet, zoned_specs

_ONE = NodeId('a0')
_TWO = NodeId('b0')
_THREE = NodeId('c0')


def test_a_lone_node_serves_over_a_pause_and_an_outage() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        node = fleet.nodes[_ONE]
        fleet.log.is_up = False
        node.process.pause()
        await asyncio.sleep(10)
        node.process.resume()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)

    run_scenario(scenario, specs=zoned_specs(1))


def test_a_lone_node_is_succeeded_by_its_own_restart() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for _ in range(2):
            await fleet.nodes[_ONE].kill()
            await asyncio.sleep(5)
            await fleet.restart(_ONE)
            await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
            await asyncio.sleep(3)

    run_scenario(scenario, specs=zoned_specs(1))


def test_a_lone_node_gets_a_deadline_when_another_joins() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await fleet.nodes[_TWO].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(3)
        assert not witnesses_of(fleet, _ONE)
        await fleet.restart(_TWO, is_same_vm=False)
        await asyncio.sleep(20)
        assert witnesses_of(fleet, _ONE) == [_TWO]
        assert witnesses_of(fleet, _TWO) == [_ONE]
        await fleet.nodes[_ONE].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)

    run_scenario(scenario, specs=zoned_specs(1, 1))


@pytest.mark.parametrize('lost', [_ONE, _TWO])
def test_one_of_two_is_lost(lost: NodeId) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await fleet.nodes[lost].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(5)
        assert fleet.is_served()

    run_scenario(scenario, specs=zoned_specs(1, 1))


def test_two_nodes_cut_from_each_other_leave_one_owner() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.block_links([_ONE], [_TWO])
        fleet.block_links([_TWO], [_ONE])
        await fleet.wait_until(lambda: not fleet.is_served(), limit_s=TARGET_S)
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(10)
        assert fleet.is_served()
        fleet.network.heal()
        await asyncio.sleep(40)
        assert fleet.is_served()

    run_scenario(scenario, specs=zoned_specs(1, 1))


@pytest.mark.parametrize('lost', [_ONE, _TWO, _THREE])
def test_one_of_three_is_lost(lost: NodeId) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await fleet.nodes[lost].kill()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        await asyncio.sleep(5)
        assert fleet.is_served()

    run_scenario(scenario, specs=zoned_specs(1, 1, 1))


def test_two_of_three_are_lost_one_after_the_other() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for lost in (_ONE, _TWO):
            await fleet.nodes[lost].kill()
            await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
            await asyncio.sleep(5)

    run_scenario(scenario, specs=zoned_specs(1, 1, 1))


def test_two_of_three_are_lost_together() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await asyncio.gather(fleet.nodes[_ONE].kill(), fleet.nodes[_TWO].kill())
        # The one left can't tell this from a partition, so it waits.
        await fleet.wait_until(fleet.is_served, limit_s=40)

    run_scenario(scenario, specs=zoned_specs(1, 1, 1))


def test_the_whole_fleet_restarts_on_its_vms() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        names = tuple(fleet.nodes)
        await asyncio.gather(*(fleet.nodes[each].kill() for each in names))
        await asyncio.sleep(5)
        await asyncio.gather(*map(fleet.restart, names))
        await fleet.wait_until(fleet.is_served, limit_s=6)

    run_scenario(scenario)


@pytest.mark.parametrize('rates', [(0.99, 1.01), (1.01, 0.99), (0.99, 1, 1.01)])
def test_clocks_drift_by_one_percent(rates: tuple[float, ...]) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)
        await asyncio.sleep(10)
        assert incarnations(fleet) == before
        fleet.nodes[owner].process.pause()
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
        fleet.nodes[owner].process.resume()
        await asyncio.sleep(3)

    run_scenario(scenario, specs=zoned_specs(3, 3, 3, rates=rates))


def test_an_upstream_that_restarts_gets_its_grant_again() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)
        for _ in range(2):
            fleet.nodes[owner].upstream.restart()
            assert not fleet.serving_nodes(0)
            await fleet.wait_until(fleet.is_served, limit_s=0.1)
        assert owner_of(fleet) == owner
        assert incarnations(fleet) == before

    run_scenario(scenario)


def test_lost_datagrams_cost_no_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        fleet.network.loss = 0.1
        served = 0
        for _ in range(600):
            await asyncio.sleep(0.1)
            served += fleet.is_served()
        assert incarnations(fleet) == before
        assert served == 600

    run_scenario(scenario)


def test_heavy_loss_of_datagrams_evicts_nobody() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        fleet.network.loss = 0.3
        await asyncio.sleep(20)
        assert incarnations(fleet) == before

    run_scenario(scenario)
