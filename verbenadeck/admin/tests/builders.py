"""Builders of an admin server with a fake node of a small fleet."""

from collections.abc import Callable
from functools import partial

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import AnnounceError, wire
from verbenadeck.admin import (
    AdminHandlers,
    AdminOptions,
    AdminServer,
    NodeIdentity,
    find_owner,
    make_status_gauges,
    make_status_reader,
    make_upstream_status,
)
from verbenadeck.fleet import FleetState
from verbenadeck.fleet.tests.builders import HOLDS, make_fleet
from verbenadeck.metrics import Metrics, make_exposition
from verbenadeck.model import (
    Incarnation,
    NodeId,
    Region,
    Request,
    RequestId,
    ServiceName,
    Zone,
)
from verbenadeck.utils import Clock


class FakeNode(msgspec.Struct):
    """Node state behind an admin server, which tests change and inspect."""

    fleet: FleetState
    own_incarnation: Incarnation | None
    why_unready: str = ''
    lease_deadline_s: float = 101.5
    drain_calls: list[str] = msgspec.field(default_factory=list)


def make_fake_node() -> FakeNode:
    """Return the first node of a fleet of three; it owns all shards."""
    recorder, nodes = make_fleet(3)
    recorder.assign(nodes[0])
    return FakeNode(recorder.state, nodes[0])


def make_handlers(fake_node: FakeNode) -> AdminHandlers:
    """Return admin handlers that read the state of a fake node."""
    identity = NodeIdentity(
        NodeId('node-0'), Zone('suva'), Region('viti-levu'), HOLDS
    )
    metrics = Metrics(zone=Zone('suva'), known_services=lambda: (HOLDS,))
    metrics.count('hedges')
    read_status = make_status_reader(
        identity=identity,
        fleet=fake_node.fleet,
        clock=Clock(now_s=lambda: 100),
        incarnation=lambda: fake_node.own_incarnation,
        lease_deadline_s=lambda: fake_node.lease_deadline_s,
        upstream=lambda: make_upstream_status('instance-1', None),
        why_unready=lambda: fake_node.why_unready,
    )
    metrics.register_gauge_group(make_status_gauges(read_status, lambda: 0.5))
    return AdminHandlers(
        read_status=read_status,
        read_metrics=make_exposition(metrics),
        find_owner=partial(find_owner, fake_node.fleet),
        announce=_announce,
        drain=partial(fake_node.drain_calls.append, 'drain'),
    )


def make_server(
    fake_node: FakeNode,
    *,
    port: int = 0,
    count: Callable[[str], None] = lambda _name: None,
) -> AdminServer:
    """Return an admin server on the given port, 0 for a free one."""
    options = AdminOptions(port=port, body_limit_bytes=1000)
    return AdminServer(
        handlers=make_handlers(fake_node), options=options, count=count
    )


def make_request(*, key: str | None, service: str = HOLDS) -> Request:
    """Return a GET request for a key."""
    return Request(
        request_id=RequestId('r1'),
        service=ServiceName(service),
        key=key,
        method='GET',
        path='/',
        headers=(),
        body=b'',
        is_repeatable=True,
        deadline_s=200,
    )


def _announce(body: bytes) -> Result[wire.AnnounceReply, AnnounceError]:
    if body != b'{}':
        return Failure(AnnounceError('service is empty'))
    return Success(wire.AnnounceReply(is_new=True))
