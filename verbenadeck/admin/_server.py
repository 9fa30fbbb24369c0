"""HTTP server of a node for operators, metrics and its upstream.

aiohttp serves it, since the adapters load that library for their calls
anyway: its server part adds 2 MB resident, while a second application in
sanic would share the registry of applications with the entry.
"""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Result, Success

from verbenadeck.adapters import AnnounceError, wire
from verbenadeck.admin._options import AdminOptions
from verbenadeck.admin._owners import OwnerError, OwnerStatus
from verbenadeck.admin._status import StatusReader
from verbenadeck.metrics import CONTENT_TYPE

_log = logger.bind(part='admin')
_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_INTERNAL = 500
_UNAVAILABLE = 503
_BACKLOG = 128
_STOP_TIMEOUT_S = 1.0
_DEFAULTS = AdminOptions()

AnnounceResult = Result[wire.AnnounceReply, AnnounceError]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminError(msgspec.Struct, frozen=True):
    """Body of an answer that refuses."""

    error: str


class AdminNotice(msgspec.Struct, frozen=True):
    """Body of an answer that only confirms."""

    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminHandlers:
    """What the admin server reads from the node and hands to it.

    Parameters
    ----------
    read_status : callable
        Returns the status of the node.
    read_metrics : callable
        Returns the metrics in the text format.
    find_owner : callable
        Returns the owner of a key, from the names of service and key.
    announce : callable
        Takes the body of an upstream's announcement.
    drain : callable
        Begins a planned stop; a second call changes nothing.
    """

    read_status: StatusReader
    read_metrics: Callable[[], bytes]
    find_owner: Callable[[str, str], Result[OwnerStatus, OwnerError]]
    announce: Callable[[bytes], AnnounceResult]
    drain: Callable[[], None]


class AdminServer:
    """Serves one node's status, metrics, owners, announcement and drain.

    Parameters
    ----------
    handlers : AdminHandlers
        What the node gives and takes.
    options : AdminOptions
        Address and bounds.

    Attributes
    ----------
    port : int
        Port that was taken.
    """

    def __init__(
        self, *, handlers: AdminHandlers, options: AdminOptions = _DEFAULTS
    ) -> None:
        self.port = options.port
        self._handlers = handlers
        self._options = options
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            When the port is taken.
        """
        options = self._options
        listener = socket.create_server(
            (options.host, options.port), backlog=_BACKLOG
        )
        self.port = listener.getsockname()[1]
        runner = web.AppRunner(
            self._make_app(),
            access_log=None,
            handle_signals=False,
            shutdown_timeout=_STOP_TIMEOUT_S,
        )
        self._runner = runner
        await runner.setup()
        await web.SockSite(runner, listener).start()
        _log.info('admin listens on {}:{}', options.host, self.port)

    async def stop(self) -> None:
        """Answer what has arrived and close."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _make_app(self) -> web.Application:
        app = web.Application(
            client_max_size=self._options.body_limit_bytes,
            middlewares=(_answer_errors,),
        )
        app.router.add_get('/status', self._status)
        app.router.add_get('/metrics', self._metrics)
        app.router.add_get('/owner', self._owner)
        app.router.add_get('/ready', self._ready)
        app.router.add_post('/drain', self._drain)
        app.router.add_post(self._options.announce_path, self._announce)
        return app

    async def _status(self, request: web.Request) -> web.Response:
        is_brief = request.query.get('brief') == '1'
        return _json(_OK, self._handlers.read_status(is_brief))

    async def _metrics(self, _request: web.Request) -> web.Response:
        text = self._handlers.read_metrics()
        return web.Response(body=text, headers={'Content-Type': CONTENT_TYPE})

    async def _owner(self, request: web.Request) -> web.Response:
        missing = {'service', 'key'} - request.query.keys()
        if missing:
            names = ', '.join(sorted(missing))
            return _refuse(_BAD_REQUEST, f'query lacks: {names}')
        found = self._handlers.find_owner(
            request.query['service'], request.query['key']
        )
        if isinstance(found, Success):
            return _json(_OK, found.unwrap())
        error = found.failure()
        return _refuse(error.status, error.detail)

    async def _ready(self, _request: web.Request) -> web.Response:
        why_unready = self._handlers.read_status(True).why_unready
        if why_unready:
            return _refuse(_UNAVAILABLE, why_unready)
        return _json(_OK, AdminNotice('ready'))

    async def _drain(self, request: web.Request) -> web.Response:
        _log.warning('drain asked for by {}', request.remote)
        self._handlers.drain()
        return _json(_ACCEPTED, AdminNotice('draining'))

    async def _announce(self, request: web.Request) -> web.Response:
        taken = self._handlers.announce(await request.read())
        if isinstance(taken, Success):
            return _json(_OK, taken.unwrap())
        detail = taken.failure().detail
        _log.warning('announcement refused: {}', detail)
        return _refuse(_BAD_REQUEST, detail)


@web.middleware
async def _answer_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _refuse(error.status, f'{request.path}: {error.reason}')
    except Exception as error:
        _log.opt(exception=error).error('request failed')
        return _refuse(_INTERNAL, 'this is a fault of the node, see its log')


def _json(status: int, body: msgspec.Struct) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def _refuse(status: int, detail: str) -> web.Response:
    return _json(status, AdminError(detail))
