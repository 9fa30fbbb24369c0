"""Builders of test data and a running store stand-in."""

import math
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import msgspec
from returns.result import Result

from verbenadeck.journal import LogClient
from verbenadeck.model import NodeId, ServiceName, Zone
from verbenadeck.platform._control import ControlServer
from verbenadeck.platform._heartbeats import (
    ExpectedUpstream,
    InstanceHeartbeat,
    read_heartbeat,
)
from verbenadeck.platform._log import StoreLog
from verbenadeck.platform._operator import read_operator_state
from verbenadeck.platform._options import make_control_limits
from verbenadeck.platform._refusals import HeartbeatError
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import Address
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.routes import RouteStore
from verbenadeck.standins import StoreStandin, make_store_app, start_app
from verbenadeck.utils import Clock

CLOCK = Clock()
HEARTBEAT_INTERVAL_S = 0.87
EXPECTED_UPSTREAM = ExpectedUpstream(
    service=ServiceName('desk'),
    address=Address('10.1.0.41', 8628),
    zone=Zone('suva'),
    key_space=65_536,
)
"""What a node knows of the instance whose heartbeats the builders return."""

_ROUTE_COLUMNS = (
    'name',
    'host',
    'pathPrefix',
    'routeType',
    'timeout',
    'targetLatency',
    'priority',
    'service',
    'maxAttempts',
    'trafficSplit',
)
_SERVICE_COLUMNS = (
    'name',
    'healthPath',
    'maxConnections',
    'coldPerS',
    'sharded',
)


def make_deadline_s(timeout_s: float = 5) -> float:
    """Return a deadline `timeout_s` seconds from now."""
    return CLOCK.now_s() + timeout_s


_StatusAndBody = tuple[int, bytes]
_Post = Callable[[str, bytes], Awaitable[_StatusAndBody]]


def make_upstream(
    route_store: RouteStore | None = None,
    *,
    latest_deadline_s: Callable[[], float] = lambda: math.inf,
) -> PlatformUpstream:
    """Return an upstream adapter that has received no heartbeat.

    Parameters
    ----------
    route_store : RouteStore or None
        Its configuration; None for one that knows none.
    latest_deadline_s : callable
        As for `PlatformUpstream`.
    """
    return PlatformUpstream(
        clock=CLOCK,
        route_store=route_store or RouteStore(),
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        latest_deadline_s=latest_deadline_s,
    )


class ControlClient(NamedTuple):
    """Client of a running control server.

    Parameters
    ----------
    post : callable
        Sends a POST with a body to a path; returns the status and the body.
    upstream : PlatformUpstream
        Upstream adapter of the server.
    counters : Counter
        Counters by name.
    """

    post: _Post
    upstream: PlatformUpstream
    counters: Counter[str]

    async def send_heartbeat(
        self, instance: str = 'i-1', **changes: Any
    ) -> int:
        """Send a heartbeat and return the status of the answer.

        Parameters
        ----------
        instance : str
            Name of the instance.
        **changes : object
            As for `make_heartbeat_body`.
        """
        body = msgspec.json.encode(make_heartbeat_body(**changes))
        path = f'/v1/Instances.Heartbeat/{instance}'
        return (await self.post(path, body))[0]


@asynccontextmanager
async def running_control(
    route_store: RouteStore | None = None,
) -> AsyncIterator[ControlClient]:
    """Yield a client of a control server that listens.

    Parameters
    ----------
    route_store : RouteStore or None
        As for `make_upstream`.
    """
    counters: Counter[str] = Counter()
    upstream = make_upstream(route_store)
    address = Address('127.0.0.1', _find_free_port())
    server = ControlServer(
        addresses=(address,),
        upstream=upstream,
        expected=EXPECTED_UPSTREAM,
        count=lambda name: counters.update((name,)),
        why_unready=str,
        read_metrics=bytes,
        limits=make_control_limits(),
    )
    await server.start()
    async with aiohttp.ClientSession(
        f'http://{address.host}:{address.port}'
    ) as session:

        async def post(path: str, body: bytes) -> _StatusAndBody:
            async with session.post(path, data=body) as response:
                return response.status, await response.read()

        yield ControlClient(post, upstream, counters)
    await server.stop()


def _find_free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return int(probe.getsockname()[1])


@asynccontextmanager
async def running_store(
    *, page: int = 500
) -> AsyncIterator[tuple[StoreStandin, StoreClient]]:
    """Yield a store stand-in that listens, and a client connected to it.

    Parameters
    ----------
    page : int
        Largest number of records in a page of newest records.
    """
    store = StoreStandin()
    running_app = await start_app(
        make_store_app(store, page=page), host='127.0.0.1'
    )
    client = StoreClient(
        Address('127.0.0.1', running_app.listening.port), clock=CLOCK
    )
    try:
        yield store, client
    finally:
        await client.close()
        await running_app.runner.cleanup()


def make_heartbeat_body(**changes: Any) -> dict[str, Any]:
    """Return the fields of a heartbeat's body with some of them changed.

    Parameters
    ----------
    **changes : object
        Values by field; `status_sequence` sets `sequence` inside of `status`.
    """
    body: dict[str, Any] = {
        'address': '10.1.0.41:8628',
        'born': 1_700_000_000_000,
        'info': {
            'service': 'desk',
            'version': 'v1',
            'zone': 'suva',
            'slots': 18,
        },
        'status': {'state': 'ready', 'sequence': 4, 'coldRemaining': '0ms'},
        'holds': [],
        'freed': [],
    }
    for name, new_value in changes.items():
        outer_field, _, inner_field = name.partition('_')
        if inner_field:
            body[outer_field][inner_field] = new_value
        else:
            body[name] = new_value
    return body


def decode_heartbeat(
    body: bytes, instance: str = 'i-1'
) -> Result[InstanceHeartbeat, HeartbeatError]:
    """Decode a heartbeat as the node beside the instance does.

    Parameters
    ----------
    body : bytes
        Body of the request.
    instance : str
        Name of the instance in the path of the request.
    """
    return read_heartbeat(instance, body, EXPECTED_UPSTREAM)


def make_config(version: str = '0000000c', **changes: Any) -> bytes:
    """Return a configuration record with a safe, an unsafe and a split route.

    Parameters
    ----------
    version : str
        Version as a hexadecimal number.
    **changes : object
        Values by field that replace the usual ones.
    """
    body: dict[str, Any] = {
        'version': version,
        'routes': {
            'columns': _ROUTE_COLUMNS,
            'rows': [
                _make_route_row('r1', '/read/', 'safe', 'desk', None),
                _make_route_row('r2', '/pay/', 'unsafe', 'till', None),
                _make_route_row(
                    'r3',
                    '/read/split/',
                    'safe',
                    None,
                    [
                        {'service': 'desk', 'weight': 90},
                        {'service': 'till', 'weight': 10},
                    ],
                ),
            ],
        },
        'services': {
            'columns': _SERVICE_COLUMNS,
            'rows': [
                ['desk', '/health', 110, 19.0, True],
                ['till', '/health', 110, 19.0, None],
            ],
        },
        'limits': {'maxBodyBytes': 1000, 'idleTimeout': '15000ms'},
    }
    body.update(changes)
    return msgspec.json.encode(body)


def make_route_store() -> RouteStore:
    """Return a route store with the configuration of `make_config`."""
    route_store = RouteStore()
    route_store.update(read_operator_state(make_config(), frozenset()).unwrap())
    return route_store


def _make_route_row(
    name: str,
    prefix: str,
    route_type: str,
    service: str | None,
    traffic_split: Any,
) -> list[Any]:
    times = ('1500ms', '500ms')
    return [
        name,
        'A.example',
        prefix,
        route_type,
        *times,
        2,
        service,
        2,
        traffic_split,
    ]


def make_log(client: StoreClient, name: str = 'n1') -> StoreLog:
    """Return the log of a fleet in the store, for one of its nodes."""
    return StoreLog(client, node_id=NodeId(name), clock=CLOCK)


def make_log_client(store: StoreClient, name: str) -> LogClient:
    """Return a log client without peers that uses the store."""
    return LogClient(
        adapter=make_log(store, name),
        clock=CLOCK,
        random_source=random.Random(name),
        node_id=NodeId(name),
    )
