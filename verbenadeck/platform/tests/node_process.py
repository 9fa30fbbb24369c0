"""Node in a process of its own, with stand-ins of the store and the instance.

All of them listen on a loopback address of the test process, so that several
test processes can run at the same time.
"""

import asyncio
import os
import resource
import signal
import sys
import time
from asyncio.subprocess import DEVNULL, Process
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from types import MappingProxyType
from typing import Any

import aiohttp
import msgspec
import psutil

from verbenadeck.platform._operator import TOPIC
from verbenadeck.platform._settings import CONFIG_PATH_VARIABLE
from verbenadeck.platform.tests.builders import make_config
from verbenadeck.standins import StoreStandin, make_store_app, start_app

ENTRY_PORT = 8629
CONTROL_PORT = 8620
SERVICE = 'till'
"""Service of the instance; its requests carry no key."""

CALLER_HOST = 'a.example'

_READY_PORT = 8625
_INSTANCE_PORT = 8628
_PEER_PORT = 7600
_HEARTBEAT_S = 0.3
_POLL_S = 0.02
_START_TIMEOUT_S = 30.0
_USUAL_LIMITS: Mapping[str, Any] = MappingProxyType(
    {'maxBodyBytes': 100_000, 'idleTimeout': '15000ms'}
)
_NODE_VARIABLES = ('PATH', 'HOME', 'LANG')
_Respond = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
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


class NodeProcess:
    """Running node with a limit of its memory, as on the platform.

    Parameters
    ----------
    process : Process
        The process.
    host : str
        IP address of the node and of the instance beside it.
    limit_bytes : int
        Resident memory above which the process is killed, in bytes.

    Attributes
    ----------
    peak_bytes : int
        Largest resident memory that was seen, in bytes.
    peak_descriptors : int
        Largest number of open descriptors that was seen.
    """

    def __init__(
        self, process: Process, *, host: str, limit_bytes: int
    ) -> None:
        self.host = host
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._process = process
        self._limit_bytes = limit_bytes

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, None while it runs."""
        return self._process.returncode

    async def wait_until_ready(self) -> None:
        """Wait until the node accepts requests."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ready():
                assert self.exit_code is None, 'the node ended early'
                await asyncio.sleep(_POLL_S)

    async def watch_memory(self) -> None:
        """Kill the process as soon as its memory exceeds the limit."""
        watched = psutil.Process(self._process.pid)
        with suppress(psutil.NoSuchProcess):
            while self.exit_code is None:
                self.peak_bytes = max(
                    self.peak_bytes, watched.memory_info().rss
                )
                self.peak_descriptors = max(
                    self.peak_descriptors, watched.num_fds()
                )
                if self.peak_bytes > self._limit_bytes:
                    self._send_signal(signal.SIGKILL)
                await asyncio.sleep(_POLL_S)

    async def stop(self) -> None:
        """End the process at once."""
        self._send_signal(signal.SIGKILL)
        await self._process.wait()

    async def _is_ready(self) -> bool:
        url = f'http://{self.host}:{_READY_PORT}/v1/ready'
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    return response.status == 200
        except aiohttp.ClientError:
            return False

    def _send_signal(self, number: signal.Signals) -> None:
        with suppress(ProcessLookupError):
            self._process.send_signal(number)


@asynccontextmanager
async def running_node(
    folder: Path,
    *,
    respond: _Respond,
    slots: int,
    limit_bytes: int,
    limits: Mapping[str, Any] = _USUAL_LIMITS,
    max_descriptors: int | None = None,
) -> AsyncIterator[NodeProcess]:
    """Yield a node that is ready, with an instance beside it.

    Parameters
    ----------
    folder : Path
        Folder for the settings and the log of the node.
    respond : callable
        Serves a connection to the instance, given its streams.
    slots : int
        Requests that the instance runs at the same time.
    limit_bytes : int
        Resident memory above which the node is killed, in bytes.
    limits : mapping
        Published limits for callers, as in a configuration record.
    max_descriptors : int or None
        Limit of open descriptors of the node; None for that of the tests.
    """
    host = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 200}.1'
    store = StoreStandin()
    await store.write(TOPIC, 'config', _make_config(limits))
    store_app = await start_app(make_store_app(store), host=host)
    instance = await asyncio.start_server(respond, host, _INSTANCE_PORT)
    settings_path = folder / 'settings.json'
    settings_path.write_bytes(_make_settings(host, store_app.listening.port))
    process = await _start_process(
        settings_path, folder / 'node.log', max_descriptors
    )
    node = NodeProcess(process, host=host, limit_bytes=limit_bytes)
    tasks = (
        asyncio.create_task(node.watch_memory()),
        asyncio.create_task(_send_heartbeats(host, slots)),
    )
    try:
        await node.wait_until_ready()
        yield node
    finally:
        await node.stop()
        for task in tasks:
            task.cancel()
        instance.close()
        await store_app.runner.cleanup()


async def _start_process(
    settings_path: Path, log_path: Path, max_descriptors: int | None
) -> Process:
    def lower_descriptor_limit() -> None:
        if max_descriptors is not None:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)
            )

    environment = {
        name: os.environ[name] for name in _NODE_VARIABLES if name in os.environ
    }
    environment[CONFIG_PATH_VARIABLE] = str(settings_path)
    with log_path.open('ab') as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'verbenadeck.platform',
            env=environment,
            stdin=DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=lower_descriptor_limit,
        )


async def _send_heartbeats(host: str, slots: int) -> None:
    body: dict[str, Any] = {
        'address': f'{host}:{_INSTANCE_PORT}',
        'born': int(time.time() * 1000),
        'info': {
            'service': SERVICE,
            'version': 'v1',
            'zone': 'suva',
            'slots': slots,
        },
        'status': {'state': 'ready', 'sequence': 0, 'coldRemaining': '0ms'},
    }
    url = f'http://{host}:{CONTROL_PORT}/v1/Instances.Heartbeat/i-1'
    async with aiohttp.ClientSession() as session:
        while True:
            body['status']['sequence'] += 1
            with suppress(aiohttp.ClientError):
                async with session.post(url, json=body):
                    pass
            await asyncio.sleep(_HEARTBEAT_S)


def _make_config(limits: Mapping[str, Any]) -> bytes:
    row = (
        'r1',
        CALLER_HOST,
        '/',
        'safe',
        '10000ms',
        '8000ms',
        2,
        SERVICE,
        1,
        None,
    )
    return make_config(
        routes={'columns': _ROUTE_COLUMNS, 'rows': [row]},
        limits=dict(limits),
    )


def _make_settings(host: str, store_port: int) -> bytes:
    return msgspec.json.encode(
        {
            'node': 'sidecar-suva-1',
            'ip': host,
            'zone': 'suva',
            'region': 'viti-levu',
            'listen': {
                'outbound': f'{host}:{ENTRY_PORT}',
                'ready': f'{host}:{_READY_PORT}',
                'control': f'{host}:{CONTROL_PORT}',
            },
            'internalPorts': [_PEER_PORT, _PEER_PORT],
            'heartbeat': f'{int(_HEARTBEAT_S * 1000)}ms',
            'bounds': {'holdMax': '10s', 'drain': '2s', 'grace': '6s'},
            'appAddr': f'{host}:{_INSTANCE_PORT}',
            'service': SERVICE,
            'platform': {'address': f'{host}:{store_port}'},
        }
    )
