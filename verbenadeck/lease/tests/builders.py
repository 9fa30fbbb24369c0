"""Builders of scenarios on a fleet in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenadeck.model import NodeId
from verbenadeck.testing import (
    NodeSpec,
    VirtualFleet,
    run_processes,
    zoned_specs,
)

TAKEOVER_LIMIT_S = 2.0
"""Time within which all keys are served again after a loss, in seconds."""

HANDOVER_LIMIT_S = 0.1
"""Maximum time without an owner for a shard in a planned move, in seconds."""

MAX_REQUEST_S = 3.0
"""Request timeout of the service in the scenarios, in seconds."""

FORMATION_S = 4.0
"""Time in which a new fleet forms witness sets and assigns shards, in
seconds."""

Scenario = Callable[[VirtualFleet], Awaitable[None]]


def run_scenario(
    scenario: Scenario,
    *,
    specs: list[NodeSpec] | None = None,
    **options: object,
) -> None:
    """Run a scenario on a fleet that has formed its witness sets.

    Parameters
    ----------
    scenario : callable
        Coroutine function that gets the fleet.
    specs : list of NodeSpec or None
        Nodes; by default nine nodes in three zones.
    **options : object
        Further arguments of `VirtualFleet`.
    """

    async def main() -> None:
        used = zoned_specs(3, 3, 3) if specs is None else specs
        async with VirtualFleet(used, **options) as fleet:  # type: ignore[arg-type]
            await fleet.wait_until(fleet.is_served)
            await asyncio.sleep(FORMATION_S)
            await scenario(fleet)

    run_processes(main())


def owner_of(fleet: VirtualFleet, shard: int = 0) -> NodeId:
    """Return the only node that serves a shard; fail if there are others.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet to look at.
    shard : int
        Shard of the service.
    """
    servers = fleet.serving_nodes(shard)
    assert len(servers) == 1
    return servers[0]


def witnesses_of(fleet: VirtualFleet, name: NodeId) -> list[NodeId]:
    """Return the names of the witnesses of a node.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet to look at.
    name : NodeId
        Node that has joined.
    """
    view = fleet.nodes[name].journal.fleet
    member = fleet.nodes[name].membership.member
    assert member is not None
    return [view.members[each].node_id for each in member.witnesses]


def nodes_in_zone(fleet: VirtualFleet, zone: str) -> list[NodeId]:
    """Return the names of the nodes in a zone.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet to look at.
    zone : str
        Zone, with which the names of its nodes begin.
    """
    return [name for name in fleet.nodes if name.startswith(zone)]


def incarnations(fleet: VirtualFleet) -> dict[NodeId, int]:
    """Return the incarnation of each running node.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet to look at.
    """
    return {
        name: node.membership.incarnation
        for name, node in fleet.nodes.items()
        if node.is_running
    }
