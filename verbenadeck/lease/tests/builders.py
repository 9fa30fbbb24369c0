"""Scenarios on a fleet in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenadeck.model import NodeId
from verbenadeck.testing import (
    NodeSpec,
    VirtualFleet,
    run_processes,
    zoned_specs,
)

TARGET_S = 2.0
"""A key is served again within this time of a loss."""

HANDOVER_S = 0.1
"""A planned move leaves a shard without a server for this long at most."""

LONGEST_REQUEST_S = 3.0
"""Longest deadline of a request to the service of the scenarios."""

SETTLE_S = 4.0
"""Time in which a new fleet forms witness sets and assigns shards."""

Scenario = Callable[[VirtualFleet], Awaitable[None]]


def run_scenario(
    scenario: Scenario,
    *,
    specs: list[NodeSpec] | None = None,
    **options: object,
) -> None:
    """Run a scenario on a settled fleet; nine nodes in three zones."""

    async def main() -> None:
        used = zoned_specs(3, 3, 3) if specs is None else specs
        async with VirtualFleet(used, **options) as fleet:  # type: ignore[arg-type]
            await fleet.wait_until(fleet.is_served)
            await asyncio.sleep(SETTLE_S)
            await scenario(fleet)

    run_processes(main())


def owner_of(fleet: VirtualFleet, shard: int = 0) -> NodeId:
    """Return the one node that serves a shard."""
    servers = fleet.serving_nodes(shard)
    assert len(servers) == 1
    return servers[0]


def witnesses_of(fleet: VirtualFleet, name: NodeId) -> list[NodeId]:
    """Return the names of the witnesses of a node."""
    view = fleet.nodes[name].journal.fleet
    member = fleet.nodes[name].membership.member
    assert member is not None
    return [view.members[each].node_id for each in member.witnesses]


def zone_of(fleet: VirtualFleet, zone: str) -> list[NodeId]:
    """Return the names of the nodes of a zone."""
    return [name for name in fleet.nodes if name.startswith(zone)]


def incarnations(fleet: VirtualFleet) -> dict[NodeId, int]:
    """Return the incarnation of each running node."""
    return {
        name: node.membership.incarnation
        for name, node in fleet.nodes.items()
        if node.is_running
    }
