"""Nodes that are cut from peers or from the log, or that are paused."""

import asyncio

import pytest

from verbenadeck.adapters import UpstreamRequest
from verbenadeck.lease.tests.builders import (
    MAX_REQUEST_S,
    TAKEOVER_LIMIT_S,
    incarnations,
    nodes_in_zone,
    owner_of,
    run_scenario,
    witnesses_of,
)
from verbenadeck.model import (
    NodeId,
    Request,
    RequestId,
    Shard,
)
from verbenadeck.testing import (
    SERVICE,
    FleetNode,
    VirtualFleet,
    keyed_document,
    zoned_specs,
)


def _nodes_except(fleet: VirtualFleet, *names: NodeId) -> list[NodeId]:
    return [name for name in fleet.nodes if name not in names]


def test_paused_owner_is_replaced_and_joins_again() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)[owner]
        fleet.nodes[owner].process.pause()
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(3)
        fleet.nodes[owner].process.resume()
        await asyncio.sleep(5)
        assert incarnations(fleet)[owner] > before
        assert fleet.is_served()

    run_scenario(scenario)


def test_pause_shorter_than_the_lease_costs_no_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        owner = owner_of(fleet)
        fleet.nodes[owner].process.pause()
        await asyncio.sleep(0.5)
        fleet.nodes[owner].process.resume()
        await asyncio.sleep(3)
        assert incarnations(fleet) == before

    run_scenario(scenario)


def test_nodes_paused_together_keep_their_incarnations() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        for node in fleet.nodes.values():
            node.process.pause()
        await asyncio.sleep(5)
        for node in fleet.nodes.values():
            node.process.resume()
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(3)
        assert incarnations(fleet) == before

    run_scenario(scenario)


async def _send_request_after_pause(node: FleetNode, pause_s: float) -> bool:
    """Get a permit, pause, then send a request; return whether it ran."""
    permit = node.ownership.permit(SERVICE, Shard(0)).unwrap()
    request = Request(
        RequestId('order-1'),
        SERVICE,
        'key',
        'POST',
        '/',
        (),
        b'',
        is_repeatable=False,
        deadline_s=permit.deadline_s + 3,
    )
    node.process.pause()
    asyncio.get_running_loop().call_later(pause_s, node.process.resume)
    await node.process.spawn(asyncio.sleep(0))
    await node.process.spawn(
        node.upstream.send(UpstreamRequest(request, permit.fence, 0))
    )
    return bool(node.upstream.runs)


@pytest.mark.parametrize('checks_fences', [True, False])
def test_request_sent_after_a_long_pause_does_not_run(
    checks_fences: bool,
) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        node = fleet.nodes[owner]
        assert not await _send_request_after_pause(node, 8)
        await asyncio.sleep(5)
        assert owner_of(fleet) != owner

    run_scenario(
        scenario,
        specs=zoned_specs(3, 3, 3, checks_fences=checks_fences),
        document=keyed_document(16, checks_fences=checks_fences),
    )


def test_takeover_waits_for_requests_when_fences_are_not_checked() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await fleet.nodes[owner_of(fleet)].kill()
        start_s = asyncio.get_running_loop().time()
        await fleet.wait_until(lambda: not fleet.is_served())
        await fleet.wait_until(fleet.is_served)
        waited_s = asyncio.get_running_loop().time() - start_s
        assert waited_s >= MAX_REQUEST_S

    run_scenario(
        scenario,
        specs=zoned_specs(3, 3, 3, checks_fences=False),
        document=keyed_document(16, checks_fences=False),
    )


def test_node_cut_from_the_log_alone_keeps_serving() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        before = incarnations(fleet)
        fleet.nodes[owner].adapter.is_cut = True
        await asyncio.sleep(10)
        assert owner_of(fleet) == owner
        fleet.nodes[owner].adapter.is_cut = False
        await asyncio.sleep(2)
        assert incarnations(fleet) == before

    run_scenario(scenario)


def test_planner_cut_from_the_log_is_replaced() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        first = min(incarnations(fleet).items(), key=lambda item: item[1])[0]
        fleet.nodes[first].adapter.is_cut = True
        lost = next(
            name
            for name in fleet.nodes
            if name != first and name[0] != first[0]
        )
        await fleet.nodes[lost].kill()
        await fleet.wait_until(
            lambda: not fleet.is_served(), limit_s=TAKEOVER_LIMIT_S
        )
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)

    run_scenario(scenario)


def test_owner_cut_from_all_peers_is_replaced() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        fleet.network.isolate(fleet.nodes[owner].address)
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert fleet.is_served()
        assert owner_of(fleet) != owner
        served = 0
        for _ in range(200):
            await asyncio.sleep(0.1)
            served += fleet.is_served()
        assert served >= 196
        fleet.network.heal()
        await asyncio.sleep(60)
        assert fleet.is_served()
        assert incarnations(fleet)[owner] >= 0

    run_scenario(scenario)


@pytest.mark.parametrize('is_outward', [True, False])
def test_owner_behind_a_one_way_partition_is_replaced(is_outward: bool) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        owner = owner_of(fleet)
        others = _nodes_except(fleet, owner)
        if is_outward:
            fleet.block_links([owner], others)
        else:
            fleet.block_links(others, [owner])
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert fleet.is_served()
        assert owner_of(fleet) != owner
        fleet.network.heal()
        await asyncio.sleep(40)
        assert fleet.is_served()

    run_scenario(scenario)


def test_link_loss_to_one_witness_costs_no_lease() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        owner = owner_of(fleet)
        witness = witnesses_of(fleet, owner)[0]
        fleet.block_links([owner], [witness])
        fleet.block_links([witness], [owner])
        await asyncio.sleep(10)
        assert incarnations(fleet) == before
        assert fleet.is_served()
        assert witness not in witnesses_of(fleet, owner)

    run_scenario(scenario)


@pytest.mark.parametrize('cut_s', [0.7, 1.0, 1.3, 3, 20])
def test_partition_between_all_zones_evicts_no_member(cut_s: float) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = incarnations(fleet)
        for zone in 'abc':
            inside = nodes_in_zone(fleet, zone)
            fleet.block_links(inside, _nodes_except(fleet, *inside))
        await asyncio.sleep(cut_s)
        fleet.network.heal()
        await fleet.wait_until(fleet.is_served, limit_s=TAKEOVER_LIMIT_S)
        await asyncio.sleep(3)
        assert fleet.is_served()
        assert incarnations(fleet) == before

    run_scenario(scenario)


def test_zone_cut_off_is_replaced_and_owns_shards_after_healing() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        inside = nodes_in_zone(fleet, 'a')
        outside = _nodes_except(fleet, *inside)
        fleet.block_links(inside, outside)
        fleet.block_links(outside, inside)
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert fleet.is_served()
        assert {owner_of(fleet, each)[0] for each in range(16)} == {'b', 'c'}
        await asyncio.sleep(10)
        assert fleet.is_served()
        fleet.network.heal()
        await asyncio.sleep(60)
        assert fleet.is_served()
        owners = {owner_of(fleet, each)[0] for each in range(16)}
        assert owners == {'a', 'b', 'c'}

    run_scenario(scenario)
