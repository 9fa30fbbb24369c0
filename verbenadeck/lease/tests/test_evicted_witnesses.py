"""Witnesses that go on running after the log has recorded their end."""

import asyncio

from verbenadeck.lease.tests.builders import nodes_in_zone, run_scenario
from verbenadeck.testing import VirtualFleet, zoned_specs

_CUT_S = 8.0
_ZONE_SIZE = 4
_HEAL_LIMIT_S = 3.0


def _cut_off_two_zones(fleet: VirtualFleet) -> None:
    inside = nodes_in_zone(fleet, 'a') + nodes_in_zone(fleet, 'b')
    outside = [name for name in fleet.nodes if name not in inside]
    fleet.block_links(inside, outside)
    fleet.block_links(outside, inside)
    for name in inside:
        fleet.nodes[name].adapter.is_cut = True


# Guards against two owners after the end of witnesses that can't read the log.
def test_witnesses_cut_off_with_a_member_renew_it_no_longer_than_a_lease() -> (
    None
):
    async def scenario(fleet: VirtualFleet) -> None:
        _cut_off_two_zones(fleet)
        await asyncio.sleep(_CUT_S)
        assert fleet.is_served()
        fleet.raise_violations()

    run_scenario(
        scenario, specs=zoned_specs(*(_ZONE_SIZE,) * 5), shard_count=32
    )


# Guards against a fleet that stays without leases after all have lapsed.
def test_witnesses_without_a_lease_renew_again_once_the_log_is_read() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for node in fleet.nodes.values():
            fleet.network.isolate(node.address)
        await asyncio.sleep(_CUT_S)
        assert not fleet.is_served()
        fleet.network.heal()
        await fleet.wait_until(fleet.is_served, limit_s=_HEAL_LIMIT_S)

    run_scenario(scenario)


# Guards against renewals by members that can't know whether they have ended.
def test_witnesses_without_a_lease_renew_nothing_while_the_log_is_down() -> (
    None
):
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.log.is_up = False
        for node in fleet.nodes.values():
            fleet.network.isolate(node.address)
        await asyncio.sleep(_CUT_S)
        fleet.network.heal()
        await asyncio.sleep(_HEAL_LIMIT_S)
        assert not fleet.is_served()
        fleet.log.is_up = True
        await fleet.wait_until(fleet.is_served, limit_s=_HEAL_LIMIT_S)

    run_scenario(scenario)
