"""Data and a running store for the tests of the platform's adapter."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import Address
from verbenadeck.standins import StoreStandin, make_store_app, start_app
from verbenadeck.utils import Clock

CLOCK = Clock()
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


def soon_s(timeout_s: float = 5) -> float:
    """Return a deadline some seconds from now."""
    return CLOCK.now_s() + timeout_s


@asynccontextmanager
async def running_store(
    *, page: int = 500
) -> AsyncIterator[tuple[StoreStandin, StoreClient]]:
    """Yield a stand-in of the store and a client of it."""
    store = StoreStandin()
    started = await start_app(
        make_store_app(store, page=page), host='127.0.0.1'
    )
    client = StoreClient(
        Address('127.0.0.1', started.listening.port), clock=CLOCK
    )
    try:
        yield store, client
    finally:
        await client.close()
        await started.runner.cleanup()


def make_beat(**changes: Any) -> dict[str, Any]:
    """Return the body of a heartbeat; `status_` and `info_` go inside."""
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
    for name, setting in changes.items():
        part, _, inner = name.partition('_')
        if inner:
            body[part][inner] = setting
        else:
            body[name] = setting
    return body


def make_config(version: str = '0000000c', **changes: Any) -> bytes:
    """Return a configuration record with one route of each type."""
    body: dict[str, Any] = {
        'version': version,
        'routes': {
            'columns': _ROUTE_COLUMNS,
            'rows': [
                _row('r1', '/read/', 'safe', 'desk', None),
                _row('r2', '/pay/', 'unsafe', 'till', None),
                _row(
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


def _row(
    name: str, prefix: str, kind: str, service: str | None, split: Any
) -> list[Any]:
    times = ('1500ms', '500ms')
    return [name, 'A.example', prefix, kind, *times, 2, service, 2, split]
