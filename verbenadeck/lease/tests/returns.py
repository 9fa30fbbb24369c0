"""Builders of runs in which the log comes back without its newest records."""

import asyncio
from collections import defaultdict

import msgspec

from verbenadeck.lease.tests.builders import FORMATION_S, owner_of
from verbenadeck.model import NodeId, OutOfService, Zone
from verbenadeck.testing import VirtualFleet

AWAY_S = 1.0
"""Time for which the log is away before it comes back, in seconds."""

_CHECK_INTERVAL_S = 0.01
_RESTART_GAP_S = 1.0
_RESTARTED_COUNT = 5


class FenceWatch:
    """Check that a shard never gets to an upstream with too low a fence.

    Attributes
    ----------
    broken : list of str
        Grants whose fence was not above those of other upstreams before.
    """

    def __init__(self, fleet: VirtualFleet) -> None:
        self.broken: list[str] = []
        self._fleet = fleet
        self._highest: dict[int, dict[NodeId, int]] = defaultdict(dict)
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop to check."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            for name, node in self._fleet.nodes.items():
                for shard, fence in node.upstream.granted_fences().items():
                    self._check(name, shard, fence)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _check(self, name: NodeId, shard: int, fence: int) -> None:
        known = self._highest[shard]
        if known.get(name) == fence:
            return
        others = [each for holder, each in known.items() if holder != name]
        if others and fence <= max(others):
            self.broken.append(
                f'{name} gets shard {shard} with {fence}, after {max(others)}'
            )
        known[name] = max(fence, known.get(name, fence))


async def lose_restarts(
    fleet: VirtualFleet, *, count: int = _RESTARTED_COUNT
) -> None:
    """Restart nodes in turn, then let the log lose all records since.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that serves all shards.
    count : int
        Number of nodes that are restarted.
    """
    copied_count = len(fleet.log.records)
    for name in tuple(fleet.nodes)[:count]:
        await fleet.nodes[name].stop()
        await fleet.restart(name)
        await asyncio.sleep(_RESTART_GAP_S)
    await fleet.wait_until(fleet.is_served)
    await return_log(fleet, copied_count)


async def return_log(fleet: VirtualFleet, copied_count: int) -> None:
    """Let the log be away for a moment and come back from a copy.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet whose log it is.
    copied_count : int
        Number of records in the copy.
    """
    fleet.log.is_up = False
    await asyncio.sleep(AWAY_S)
    fleet.log.return_from_copy(copied_count)
    fleet.log.is_up = True


async def kill_and_restart(fleet: VirtualFleet, names: list[NodeId]) -> None:
    """Kill nodes at once and start them again a second later.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet of the nodes.
    names : list of NodeId
        Nodes to kill.
    """
    await asyncio.gather(*(fleet.nodes[name].kill() for name in names))
    await asyncio.sleep(1)
    await asyncio.gather(*(fleet.restart(name) for name in names))


async def move_to_unknown_member(fleet: VirtualFleet) -> NodeId:
    """Let an owner join again, cut it from the log and lose its new join.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that serves all shards.

    Returns
    -------
    NodeId
        Node that serves shards of which the log now names other owners.
    """
    owner = owner_of(fleet)
    await fleet.nodes[owner].stop()
    copied_count = len(fleet.log.records)
    await fleet.restart(owner)
    await fleet.wait_until(lambda: _is_owner(fleet, owner))
    await asyncio.sleep(FORMATION_S)
    fleet.nodes[owner].adapter.is_cut = True
    fleet.log.return_from_copy(copied_count)
    return owner


async def move_from_frozen_owner(fleet: VirtualFleet) -> NodeId:
    """Let an owner freeze and be evicted, and lose the records of that.

    The nodes that took over are cut from the log.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that serves all shards.

    Returns
    -------
    NodeId
        The owner, which is resumed as the log comes back.
    """
    owner = owner_of(fleet)
    shards = fleet.nodes[owner].owned_shards()
    copied_count = len(fleet.log.records)
    fleet.nodes[owner].process.pause()
    await fleet.wait_until(fleet.is_served)
    for shard in shards:
        successor = owner_of(fleet, shard)
        fleet.nodes[successor].adapter.is_cut = True
    fleet.log.return_from_copy(copied_count)
    fleet.nodes[owner].process.resume()
    return owner


async def move_from_zone(fleet: VirtualFleet, zone: Zone) -> None:
    """Evacuate a zone, and lose the records of that.

    The nodes that took over are cut from the log.

    Parameters
    ----------
    fleet : VirtualFleet
        Fleet that serves all shards.
    zone : Zone
        Zone to evacuate.
    """
    copied_count = len(fleet.log.records)
    out = msgspec.structs.replace(
        fleet.document, zones_out={zone: OutOfService('test')}
    )
    await fleet.publish(out)
    inside = [name for name in fleet.nodes if name.startswith(zone)]
    await fleet.wait_until(
        lambda: (
            not any(_is_owner(fleet, name) for name in inside)
            and fleet.is_served()
        )
    )
    for name, node in fleet.nodes.items():
        node.adapter.is_cut = name not in inside
    fleet.log.return_from_copy(copied_count)


def _is_owner(fleet: VirtualFleet, name: NodeId) -> bool:
    node = fleet.nodes[name]
    return any(node.would_serve(shard) for shard in node.owned_shards())
