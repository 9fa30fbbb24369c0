"""Publication of the operators' services and zones to the fleet's log."""

import asyncio
import random
from functools import partial
from typing import Any

from verbenadeck.config import encode_document
from verbenadeck.fleet.tests.builders import make_join
from verbenadeck.journal import LogClient
from verbenadeck.model import (
    ConfigDocument,
    Incarnation,
    NodeId,
    ServiceName,
    ServicePolicy,
    Zone,
)
from verbenadeck.routes import (
    ConfigSync,
    OperatorState,
    RouteStore,
    ServiceConfig,
)
from verbenadeck.testing import (
    MemoryLog,
    MemoryLogAdapter,
    run_virtual,
    virtual_clock,
)

_DESK = ServiceName('desk')
_SUVA = Zone('suva')


class _Node:
    """Member with its log client and a `ConfigSync`."""

    def __init__(
        self, log: MemoryLog, name: str, *, shard_count: int = 16
    ) -> None:
        self.clock = virtual_clock()
        self.adapter = MemoryLogAdapter(log, self.clock)
        self.route_store = RouteStore()
        self.incarnation = Incarnation(-1)
        self.name = name
        self.journal = LogClient(
            adapter=self.adapter,
            clock=self.clock,
            random_source=random.Random(name),
            node_id=NodeId(name),
        )
        membership: Any = self
        self.sync = ConfigSync(
            route_store=self.route_store,
            journal=self.journal,
            membership=membership,
            clock=self.clock,
            make_policy=partial(_make_policy, shard_count=shard_count),
            moves_per_minute=60,
        )

    async def start(self) -> None:
        await self.journal.start()
        joined = await self.journal.propose(
            make_join(self.name), deadline_s=self.clock.now_s() + 5
        )
        self.incarnation = Incarnation(joined.unwrap().offset)
        await self.sync.start()

    async def stop(self) -> None:
        await self.sync.stop()
        await self.journal.stop()

    @property
    def document(self) -> ConfigDocument:
        return self.journal.fleet.config


def _make_policy(
    service_config: ServiceConfig, *, shard_count: int
) -> ServicePolicy:
    return ServicePolicy(
        is_keyed=service_config.is_keyed, shard_count=shard_count
    )


def _state(version: int, *zones: Zone) -> OperatorState:
    service_config = ServiceConfig(_DESK, True, '/health', 10, 19)
    return OperatorState(
        version, (), {_DESK: service_config}, zones_out=frozenset(zones)
    )


def test_services_and_zones_out_reach_every_node() -> None:
    async def scenario() -> None:
        log = MemoryLog()
        nodes = [_Node(log, name) for name in ('n1', 'n2')]
        for node in nodes:
            await node.start()
            node.route_store.update(_state(1))
        await asyncio.sleep(1)
        assert all(_DESK in node.document.services for node in nodes)
        versions = {node.journal.fleet.config_version for node in nodes}
        assert versions == {1}
        for node in nodes:
            node.route_store.update(_state(1, _SUVA))
        await asyncio.sleep(1)
        assert all(_SUVA in node.document.zones_out for node in nodes)
        for node in nodes:
            node.route_store.update(_state(1))
        await asyncio.sleep(1)
        assert not any(node.document.zones_out for node in nodes)
        assert nodes[0].journal.fleet.config_version == 3
        for node in nodes:
            await node.stop()

    run_virtual(scenario())


def test_second_member_publishes_when_first_has_no_log() -> None:
    async def scenario() -> None:
        log = MemoryLog()
        nodes = [_Node(log, name) for name in ('n1', 'n2')]
        for node in nodes:
            await node.start()
        nodes[0].adapter.is_cut = True
        for node in nodes:
            node.route_store.update(_state(1, _SUVA))
        await asyncio.sleep(2)
        assert _SUVA in nodes[1].document.zones_out
        for node in nodes:
            await node.stop()

    run_virtual(scenario())


def test_service_removed_by_operators_stays_in_document() -> None:
    async def scenario() -> None:
        log = MemoryLog()
        node = _Node(log, 'n1')
        await node.start()
        node.route_store.update(_state(1))
        await asyncio.sleep(1)
        node.route_store.update(OperatorState(2, (), {}))
        await asyncio.sleep(1)
        assert _DESK in node.document.services
        assert encode_document(node.document)
        await node.stop()

    run_virtual(scenario())


# Guards against an upgrade after which no configuration is published any more.
def test_release_with_another_shard_count_keeps_the_published_one() -> None:
    async def scenario() -> None:
        log = MemoryLog()
        node = _Node(log, 'n1')
        await node.start()
        node.route_store.update(_state(1))
        await asyncio.sleep(1)
        await node.stop()
        upgraded = _Node(log, 'n2', shard_count=64)
        await upgraded.start()
        upgraded.route_store.update(_state(2, _SUVA))
        await asyncio.sleep(2)
        assert _SUVA in upgraded.document.zones_out
        assert upgraded.document.services[_DESK].shard_count == 16
        await upgraded.stop()

    run_virtual(scenario())
