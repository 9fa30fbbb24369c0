"""HTTP server for readiness checks, heartbeats of the instance and metrics."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from types import MappingProxyType

from aiohttp import web
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Result, Success

from verbenadeck.adapters import OrderFault
from verbenadeck.entry import (
    BoundedConnection,
    ConnectionGroup,
    ConnectionLimits,
    start_listening,
)
from verbenadeck.metrics import CONTENT_TYPE
from verbenadeck.platform._heartbeats import (
    ExpectedUpstream,
    read_deregistration,
    read_heartbeat,
    write_reply,
)
from verbenadeck.platform._refusals import (
    HeartbeatError,
    HeartbeatFault,
    refuse_heartbeat,
)
from verbenadeck.platform._units import Address
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.utils import Clock

READY_PATH = '/v1/ready'
HEARTBEAT_PATH = '/v1/Instances.Heartbeat/{instance}'
DEREGISTER_PATH = '/v1/Instances.Deregister/{instance}'
METRICS_PATH = '/metrics'
METRICS_PORT = 9464
"""TCP port of `metrics` in the deploy file; the usual one of exporters."""

MIN_FAILED_CHECKS = 2
"""Failed readiness checks in a row after which the platform sends callers to
other nodes."""

_LISTEN_BACKLOG = 128
_MAX_BODY_BYTES = 262_144
"""Largest body of a heartbeat, over fifty times the largest one that an
instance sends; decoding it delays other requests by a few milliseconds."""

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_UNAVAILABLE = 503
_STATUS_BY_FAULT: Mapping[HeartbeatFault | OrderFault, int] = MappingProxyType(
    {
        HeartbeatFault.TOO_LONG: _TOO_LARGE,
        HeartbeatFault.OTHER_INSTANCE: _NOT_FOUND,
        HeartbeatFault.NOT_RECORDED: _UNAVAILABLE,
        OrderFault.FUTURE_START: _CONFLICT,
        OrderFault.OUTDATED: _CONFLICT,
        OrderFault.SKIPPED_AHEAD: _CONFLICT,
    }
)
_STOP_TIMEOUT_S = 0.2
_LINGERING_TIME_S = 1.0
"""Time in seconds for which the rest of the body of a refused heartbeat is read
and dropped; an instance waits no longer for an acknowledgement."""

_log = logger.bind(part='control')


class ControlServer:
    """Server for the platform's readiness checks and for heartbeats.

    Parameters
    ----------
    addresses : tuple of Address
        Addresses to listen on.
    upstream : PlatformUpstream
        Handles the heartbeats.
    expected : ExpectedUpstream
        What this node knows of the instance beside it; heartbeats that
        contradict it are refused.
    count : callable
        Adds one to the counter with the given name.
    why_unready : callable
        Returns why the node accepts no requests, empty when it does.
    read_metrics : callable
        Returns the metrics in the text format of exporters.
    limits : ConnectionLimits
        Limits of the connections.
    """

    def __init__(
        self,
        *,
        addresses: tuple[Address, ...],
        upstream: PlatformUpstream,
        expected: ExpectedUpstream,
        count: Callable[[str], None],
        why_unready: Callable[[], str],
        read_metrics: Callable[[], bytes],
        limits: ConnectionLimits,
    ) -> None:
        self._addresses = addresses
        self._upstream = upstream
        self._expected = expected
        self._count = count
        self._why_unready = why_unready
        self._read_metrics = read_metrics
        self._group = ConnectionGroup(limits, count=count, clock=Clock())
        self._logged_reason = 'not started'
        self._failed_checks = 0
        self._runner: web.AppRunner | None = None
        self._listening: list[asyncio.Server] = []

    @property
    def are_callers_notified(self) -> bool:
        """Whether enough checks failed for the platform to redirect callers."""
        return self._failed_checks >= MIN_FAILED_CHECKS

    async def start(self) -> None:
        """Listen on all addresses.

        Raises
        ------
        OSError
            When a port is in use.
        """
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_get(READY_PATH, self._handle_ready)
        app.router.add_post(HEARTBEAT_PATH, self._handle_heartbeat)
        app.router.add_post(DEREGISTER_PATH, self._handle_deregister)
        app.router.add_get(METRICS_PATH, self._handle_metrics)
        self._runner = web.AppRunner(
            app, handle_signals=False, shutdown_timeout=_STOP_TIMEOUT_S
        )
        await self._runner.setup()
        for address in self._addresses:
            listener = socket.create_server(address, backlog=_LISTEN_BACKLOG)
            self._listening.append(
                await start_listening(
                    self._make_connection, listener, backlog=_LISTEN_BACKLOG
                )
            )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for listening in self._listening:
            listening.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def _make_connection(self) -> BoundedConnection:
        if self._runner is None or self._runner.server is None:
            raise RuntimeError('the control server does not run')
        return BoundedConnection(
            self._runner.server,
            loop=asyncio.get_running_loop(),
            group=self._group,
            lingering_time_s=_LINGERING_TIME_S,
        )

    async def _handle_ready(self, _request: web.Request) -> web.Response:
        reason = self._why_unready()
        if reason != self._logged_reason:
            _log.info('ready: {}', reason or 'yes')
            self._logged_reason = reason
        self._failed_checks = self._failed_checks + 1 if reason else 0
        return web.Response(status=_UNAVAILABLE if reason else _OK)

    async def _handle_heartbeat(self, request: web.Request) -> web.Response:
        instance = request.match_info['instance']
        body = await _read_body(request)
        result = body.bind(
            lambda content: read_heartbeat(instance, content, self._expected)
        ).bind(self._upstream.handle_heartbeat)
        if is_successful(result):
            return _make_json_response(_OK, write_reply(result.unwrap()))
        return self._refuse('heartbeat', result.failure())

    async def _handle_deregister(self, request: web.Request) -> web.Response:
        instance = request.match_info['instance']
        body = await _read_body(request)
        message = body.bind(
            lambda content: read_deregistration(instance, content)
        )
        if not is_successful(message):
            return self._refuse('deregistration', message.failure())
        result = await self._upstream.handle_deregister(message.unwrap())
        if is_successful(result):
            return _make_json_response(_OK, b'{}')
        return self._refuse('deregistration', result.failure())

    def _refuse(self, message: str, error: HeartbeatError) -> web.Response:
        """Log and count a message that was refused; return the response."""
        fault = error.fault.value
        _log.warning('{} ignored: {}: {}', message, fault, error.detail)
        self._count(f'{message}s_refused_{fault}')
        status = _STATUS_BY_FAULT.get(error.fault, _BAD_REQUEST)
        return _make_json_response(status, b'{}')

    async def _handle_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self._read_metrics(),
            headers={'Content-Type': CONTENT_TYPE},
        )


async def _read_body(request: web.Request) -> Result[bytes, HeartbeatError]:
    try:
        return Success(await request.read())
    except web.HTTPRequestEntityTooLarge as error:
        return refuse_heartbeat(HeartbeatFault.TOO_LONG, str(error))
    except web.RequestPayloadError as error:
        return refuse_heartbeat(HeartbeatFault.MALFORMED, str(error))


def _make_json_response(status: int, body: bytes) -> web.Response:
    return web.Response(
        status=status, body=body, content_type='application/json'
    )
