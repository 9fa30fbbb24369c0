"""Departures of upstreams that outlive the process of their node."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenadeck.model import NO_MEMBER, NodeId
from verbenadeck.testing import VirtualFleet, run_virtual, zoned_specs

_NODE = NodeId('a0')


def _run(scenario: Callable[[VirtualFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        async with VirtualFleet(zoned_specs(2, 2, 2)) as fleet:
            await fleet.wait_until(fleet.is_served)
            await scenario(fleet)

    run_virtual(main())


def test_restarted_node_does_not_use_an_upstream_that_has_left() -> None:
    # Guards against a restart that makes the node forget the departure.
    async def scenario(fleet: VirtualFleet) -> None:
        node = fleet.nodes[_NODE]
        assert await node.departures.record(node.upstream.instance)
        await node.kill()
        await fleet.restart(_NODE)
        node = fleet.nodes[_NODE]
        await asyncio.sleep(10)
        assert node.membership.incarnation == NO_MEMBER
        assert fleet.is_served()
        node.upstream.restart()
        await asyncio.sleep(3)
        assert node.membership.incarnation != NO_MEMBER

    _run(scenario)


# Guards against a departure that is forgotten with the records of the log.
def test_departure_is_recorded_again_when_the_log_has_lost_it() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        node = fleet.nodes[_NODE]
        copied_count = len(fleet.log.records)
        assert await node.departures.record(node.upstream.instance)
        fleet.log.return_from_copy(copied_count)
        await fleet.wait_until(lambda: node.journal.fleet.claims.log_era > 0)
        assert node.departures.has_left(node.upstream.instance)
        await node.journal.wait_ready(deadline_s=node.clock.now_s() + 5)
        await node.departures.keep_recorded()
        await node.kill()
        await fleet.restart(_NODE)
        await asyncio.sleep(10)
        assert fleet.nodes[_NODE].membership.incarnation == NO_MEMBER

    _run(scenario)


def test_departure_is_not_recorded_without_the_log() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        node = fleet.nodes[_NODE]
        node.adapter.is_cut = True
        assert not await node.departures.record(node.upstream.instance)

    _run(scenario)
