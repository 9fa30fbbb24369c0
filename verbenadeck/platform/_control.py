"""Readiness, heartbeats and metrics over HTTP."""

import socket
from collections.abc import Callable

from aiohttp import web
from loguru import logger
from returns.result import Failure, Success

from verbenadeck.metrics import CONTENT_TYPE
from verbenadeck.platform._heartbeats import (
    HeartbeatError,
    read_heartbeat,
    write_reply,
)
from verbenadeck.platform._units import Address
from verbenadeck.platform._upstream import PlatformUpstream

READY_PATH = '/v1/ready'
BEAT_PATH = '/v1/Instances.Heartbeat/{instance}'
LEAVE_PATH = '/v1/Instances.Deregister/{instance}'
METRICS_PATH = '/metrics'
METRICS_PORT = 9464
"""Port of the deploy file's `metrics`; the usual one of exporters."""

MISSES = 2
"""Refused questions for readiness after which callers get no new work."""

_BACKLOG = 128
_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_STOP_TIMEOUT_S = 0.2
_KEPT_S = 30.0
_log = logger.bind(part='control')


class ControlServer:
    """Serves the platform's questions and the instance's heartbeats.

    Parameters
    ----------
    addresses : tuple of Address
        Where to listen.
    upstream : PlatformUpstream
        Takes heartbeats.
    expected : Address
        Where the instance beside this node takes requests.
    why_unready : callable
        Returns why the node takes no requests, empty when it does.
    read_metrics : callable
        Returns the metrics in the text format.
    """

    def __init__(
        self,
        *,
        addresses: tuple[Address, ...],
        upstream: PlatformUpstream,
        expected: Address,
        why_unready: Callable[[], str],
        read_metrics: Callable[[], bytes],
    ) -> None:
        self._addresses = addresses
        self._upstream = upstream
        self._expected = expected
        self._why_unready = why_unready
        self._read_metrics = read_metrics
        self._unready = 'not started'
        self._misses = 0
        self._runner: web.AppRunner | None = None

    @property
    def are_callers_notified(self) -> bool:
        """Whether the platform has had enough refusals to spare this node."""
        return self._misses >= MISSES

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            When a port is taken.
        """
        app = web.Application()
        app.router.add_get(READY_PATH, self._ready)
        app.router.add_post(BEAT_PATH, self._beat)
        app.router.add_post(LEAVE_PATH, self._leave)
        app.router.add_get(METRICS_PATH, self._metrics)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=_STOP_TIMEOUT_S,
            keepalive_timeout=_KEPT_S,
        )
        await self._runner.setup()
        for address in self._addresses:
            listener = socket.create_server(address, backlog=_BACKLOG)
            await web.SockSite(self._runner, listener).start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _ready(self, _request: web.Request) -> web.Response:
        unready = self._why_unready()
        if unready != self._unready:
            _log.info('ready: {}', unready or 'yes')
            self._unready = unready
        self._misses = self._misses + 1 if unready else 0
        return web.Response(status=_UNAVAILABLE if unready else _OK)

    async def _beat(self, request: web.Request) -> web.Response:
        body = await request.read()
        match read_heartbeat(request.match_info['instance'], body):
            case Success(beat) if beat.address == self._expected:
                reply = self._upstream.handle_heartbeat(beat)
                return _json(_OK, write_reply(reply))
            case Success(beat):
                _log.warning('{} is not beside this node', beat.address)
            case Failure(HeartbeatError(detail)):
                _log.warning('heartbeat ignored: {}', detail)
        return _json(_BAD_REQUEST, b'{}')

    async def _leave(self, request: web.Request) -> web.Response:
        self._upstream.handle_deregister(request.match_info['instance'])
        return _json(_OK, b'{}')

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self._read_metrics(),
            headers={'Content-Type': CONTENT_TYPE},
        )


def _json(status: int, body: bytes) -> web.Response:
    return web.Response(
        status=status, body=body, content_type='application/json'
    )
