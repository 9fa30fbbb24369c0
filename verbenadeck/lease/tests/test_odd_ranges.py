"""Ranges of shards that do not exist, in records and messages of others."""

import asyncio

import pytest

from verbenadeck.fleet import FleetState, existing_shards
from verbenadeck.lease._messages import Release
from verbenadeck.lease.tests.builders import run_scenario
from verbenadeck.model import NodeId, Offset, ServiceName, Shard
from verbenadeck.records import Assign, ReleasedRange, ShardMove, Verdict
from verbenadeck.testing import VirtualFleet
from verbenadeck.testing._fleet_node import SERVICE

_NODE = NodeId('a0')
_BEYOND = 200_000


@pytest.mark.parametrize('new_owner', ['a0', 'b0'])
def test_assignment_of_shards_that_do_not_exist_ends_no_node(
    new_owner: str,
) -> None:
    # Guards against a record that ends or blocks every node that applies it.
    async def scenario(fleet: VirtualFleet) -> None:
        node = fleet.nodes[_NODE]
        owner = fleet.nodes[NodeId(new_owner)].membership.incarnation
        fence = node.journal.fleet.shard(SERVICE, Shard(0)).fence
        record = Assign(
            (
                ShardMove(SERVICE, 0, 1, fence, owner),
                ShardMove(SERVICE, 0, _BEYOND, fence, owner),
            )
        )
        outcome = await node.process.spawn(
            node.journal.propose(record, deadline_s=node.clock.now_s() + 5)
        )
        assert outcome.unwrap().verdict is Verdict.ACCEPTED
        await asyncio.sleep(5)
        assert fleet.is_served()

    run_scenario(scenario)


def test_release_of_shards_that_do_not_exist_is_not_kept() -> None:
    # Guards against memory that a number in a message determines.
    async def scenario(fleet: VirtualFleet) -> None:
        node, peer = fleet.nodes[_NODE], fleet.nodes[NodeId('b0')]
        release = Release(
            node.membership.incarnation,
            (ReleasedRange(SERVICE, 0, _BEYOND),),
            Offset(0),
            b'',
        )
        await peer.ownership._on_release(node.address, release)
        assert len(peer.ownership._table._releases) <= fleet.shard_count

    run_scenario(scenario)


@pytest.mark.parametrize('bounds', [(-1, 2), (0, 9), (3, 2), (0, 1)])
def test_shards_of_an_unknown_service_do_not_exist(
    bounds: tuple[int, int],
) -> None:
    named = ReleasedRange(ServiceName('unknown'), *bounds)
    assert not existing_shards(FleetState(), named)
