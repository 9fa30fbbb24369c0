"""Builders of test data and a running store stand-in."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
from returns.result import Result

from verbenadeck.platform._heartbeats import (
    HeartbeatError,
    InstanceHeartbeat,
    read_heartbeat,
)
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import Address
from verbenadeck.standins import StoreStandin, make_store_app, start_app
from verbenadeck.utils import Clock

CLOCK = Clock()
KEY_SPACE = 65_536
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
    return read_heartbeat(instance, body, key_space=KEY_SPACE)


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
