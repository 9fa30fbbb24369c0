"""Losses of nodes, witnesses and zones."""

import asyncio

from verbenadeck.lease.tests.builders import (
    HANDOVER_S,
    TARGET_S,
    incarnations,
    owner_of,
    run_scenario,
    witnesses_of,
    zone_of,
)
from verbenadeck.model import NodeId, Shard
from verbenadeck.testing import VirtualFleet

_MASS_RESTART_S = 8
"""Three leases of the default times, with votes and assignments."""


async def _lose(fleet: VirtualFleet, *names: NodeId) -> None:
    """Kill nodes together and demand service within the target."""
    await asyncio.gather(*(fleet.nodes[name].kill() for name in names))
    await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)
    await asyncio.sleep(5)
    assert fleet.is_served()


def test_a_killed_owner_is_succeeded() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await _lose(fleet, owner_of(fleet))

    run_scenario(scenario)


def test_a_lost_witness_costs_its_members_nothing() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        lost = witnesses_of(fleet, owner)[0]
        before = incarnations(fleet)[owner]
        await _lose(fleet, lost)
        assert incarnations(fleet)[owner] == before
        assert lost not in witnesses_of(fleet, owner)
        assert len(witnesses_of(fleet, owner)) == 3

    run_scenario(scenario)


def test_two_witnesses_lost_together_cost_no_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)[owner]
        await _lose(fleet, *witnesses_of(fleet, owner)[:2])
        assert incarnations(fleet)[owner] == before

    run_scenario(scenario)


def test_owner_and_witness_lost_together() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        await _lose(fleet, owner, witnesses_of(fleet, owner)[0])

    run_scenario(scenario)


def test_a_whole_zone_is_lost() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await _lose(fleet, *zone_of(fleet, 'a'))

    run_scenario(scenario)


def test_a_zone_is_lost_and_comes_back_twice() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for _ in range(2):
            zone = zone_of(fleet, 'b')
            await _lose(fleet, *zone)
            await asyncio.gather(
                *(fleet.restart(name, is_same_vm=False) for name in zone)
            )
            await asyncio.sleep(20)
            owners = {owner_of(fleet, shard) for shard in range(16)}
            assert owners & set(zone)

    run_scenario(scenario)


def test_a_restart_on_the_same_vm_ends_the_earlier_life() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        await fleet.nodes[owner].kill()
        await fleet.restart(owner)
        await fleet.wait_until(fleet.is_served, limit_s=TARGET_S)

    run_scenario(scenario)


def test_a_planned_stop_hands_over_with_the_ledger() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        node = fleet.nodes[owner]
        node.proxy.record_run(Shard(0), 'deposit-1')
        stop = asyncio.ensure_future(node.stop())
        gap_s = 0.0
        while not stop.done():
            start_s = asyncio.get_running_loop().time()
            await fleet.wait_until(fleet.is_served)
            gap_s = max(gap_s, asyncio.get_running_loop().time() - start_s)
            await asyncio.sleep(0.005)
        new = fleet.nodes[owner_of(fleet)].proxy
        assert new.ledger[0] == ('deposit-1',)
        assert 0 not in new.shards_without_ledger
        assert gap_s <= HANDOVER_S

    run_scenario(scenario)


def test_an_owner_that_is_lost_with_all_its_witnesses_is_succeeded() -> None:
    """All lose power and one VM never comes back: its witnesses are gone."""

    async def scenario(fleet: VirtualFleet) -> None:
        lost = owner_of(fleet)
        for node in fleet.nodes.values():
            await node.kill()
        for name in tuple(fleet.nodes):
            if name != lost:
                await fleet.restart(name)
        await fleet.wait_until(fleet.is_served, limit_s=_MASS_RESTART_S)

    run_scenario(scenario)
