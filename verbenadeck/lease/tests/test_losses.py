"""Loss and replacement of nodes, witnesses and zones."""

import asyncio

from verbenadeck.lease.tests.builders import (
    HANDOVER_LIMIT_S,
    TAKEOVER_LIMIT_S,
    incarnations,
    nodes_in_zone,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.model import NodeId, Shard
from verbenadeck.testing import VirtualFleet

_FLEET_RESTART_LIMIT_S = 8
"""Three leases of the default length with votes and assignments, in seconds."""


async def _kill_and_await_service(fleet: VirtualFleet, *names: NodeId) -> None:
    """Kill nodes together and require service within the limit."""
    await asyncio.gather(*(fleet.nodes[name].kill() for name in names))
    await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
    await asyncio.sleep(5)
    assert fleet.is_served()


def test_killed_owner_is_replaced() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await _kill_and_await_service(fleet, owner_of(fleet))

    run_scenario(scenario)


def test_lost_witness_is_replaced_without_loss_of_the_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        lost = witnesses_of(fleet, owner)[0]
        before = incarnations(fleet)[owner]
        await _kill_and_await_service(fleet, lost)
        assert incarnations(fleet)[owner] == before
        assert lost not in witnesses_of(fleet, owner)
        assert len(witnesses_of(fleet, owner)) == 3

    run_scenario(scenario)


def test_two_witnesses_lost_together_cost_no_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)[owner]
        await _kill_and_await_service(fleet, *witnesses_of(fleet, owner)[:2])
        assert incarnations(fleet)[owner] == before

    run_scenario(scenario)


def test_owner_lost_together_with_a_witness_is_replaced() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        await _kill_and_await_service(
            fleet, owner, witnesses_of(fleet, owner)[0]
        )

    run_scenario(scenario)


def test_owners_of_a_lost_zone_are_replaced() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await _kill_and_await_service(fleet, *nodes_in_zone(fleet, 'a'))

    run_scenario(scenario)


def test_zone_owns_shards_again_after_each_loss() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for _ in range(2):
            zone = nodes_in_zone(fleet, 'b')
            await _kill_and_await_service(fleet, *zone)
            await asyncio.gather(
                *(fleet.restart(name, is_same_vm=False) for name in zone)
            )
            await asyncio.sleep(20)
            owners = {owner_of(fleet, shard) for shard in range(16)}
            assert owners & set(zone)

    run_scenario(scenario)


def test_restart_on_the_same_vm_ends_the_earlier_incarnation() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        await fleet.nodes[owner].kill()
        await fleet.restart(owner)
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)

    run_scenario(scenario)


def test_planned_stop_hands_over_shards_with_the_ledger() -> None:
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
        assert gap_s <= HANDOVER_LIMIT_S

    run_scenario(scenario)


def test_owner_lost_with_all_its_witnesses_is_replaced() -> None:
    """All nodes lose power and the VM of one owner never comes back.

    The incarnations of its witnesses have ended, so none of them can vote
    that its lease has lapsed.
    """

    async def scenario(fleet: VirtualFleet) -> None:
        lost = owner_of(fleet)
        for node in fleet.nodes.values():
            await node.kill()
        for name in tuple(fleet.nodes):
            if name != lost:
                await fleet.restart(name)
        await fleet.wait_until(fleet.is_served, limit_s=_FLEET_RESTART_LIMIT_S)

    run_scenario(scenario)
