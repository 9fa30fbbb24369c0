"""Reassignment when zones and upstreams are taken out and put back."""

import asyncio

import msgspec

from verbenadeck.lease.tests.builders import owner_of, run_scenario
from verbenadeck.model import NodeId, OutOfService, Zone
from verbenadeck.testing import VirtualFleet

_REASSIGNMENT_WAIT_S = 3.0
_OUT = OutOfService('test')


def _owners(fleet: VirtualFleet) -> set[NodeId]:
    return {owner_of(fleet, shard) for shard in range(fleet.shard_count)}


def test_zone_taken_out_loses_its_shards_and_gets_shards_after_return() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        before = fleet.document
        zones_out = {Zone('a'): _OUT}
        await fleet.publish(
            msgspec.structs.replace(before, zones_out=zones_out)
        )
        await asyncio.sleep(_REASSIGNMENT_WAIT_S)
        assert fleet.is_served()
        assert {name[0] for name in _owners(fleet)} == {'b', 'c'}
        assert not any(
            node.proxy.shards_without_ledger for node in fleet.nodes.values()
        )
        await fleet.publish(before)
        await asyncio.sleep(20)
        assert {name[0] for name in _owners(fleet)} == {'a', 'b', 'c'}

    run_scenario(scenario)


def test_upstream_taken_out_loses_its_shards() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        out = owner_of(fleet)
        await fleet.publish(
            msgspec.structs.replace(fleet.document, upstreams_out={out: _OUT})
        )
        await asyncio.sleep(_REASSIGNMENT_WAIT_S)
        assert fleet.is_served()
        assert out not in _owners(fleet)

    run_scenario(scenario)
