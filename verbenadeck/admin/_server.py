"""HTTP server of a node for operators, metrics scrapers and its upstream.

The server uses aiohttp, because the adapters already load that library as an
HTTP client; its server part adds 2 MB of resident memory.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web
from loguru import logger
from returns.result import Result, Success

from verbenadeck.adapters import AnnounceError, wire
from verbenadeck.admin._options import AdminOptions, make_usual_limits
from verbenadeck.admin._owners import OwnerError, OwnerStatus
from verbenadeck.admin._status import StatusReader
from verbenadeck.entry import (
    BoundedConnection,
    ConnectionGroup,
    Count,
    start_listening,
)
from verbenadeck.metrics import CONTENT_TYPE
from verbenadeck.utils import Clock

_log = logger.bind(part='admin')
_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_INTERNAL_SERVER_ERROR = 500
_SERVICE_UNAVAILABLE = 503
_LISTEN_BACKLOG = 128
_SHUTDOWN_TIMEOUT_S = 1.0
_LINGERING_TIME_S = 1.0
_DEFAULT_OPTIONS = AdminOptions()

AnnounceResult = Result[wire.AnnounceReply, AnnounceError]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminError(msgspec.Struct, frozen=True):
    """JSON body of an error response.

    Parameters
    ----------
    error : str
        Reason of the error, for operators.
    """

    error: str


class AdminNotice(msgspec.Struct, frozen=True):
    """JSON body of a response that only confirms a state.

    Parameters
    ----------
    state : str
        Confirmed state, such as `ready` or `draining`.
    """

    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminHandlers:
    """Functions of the node that the admin server calls.

    Parameters
    ----------
    read_status : callable
        Returns the status of the node.
    read_metrics : callable
        Returns the metrics in the text exposition format.
    find_owner : callable
        Returns the owner of a key, given the service name and the key.
    announce : callable
        Processes the request body of an upstream's announcement.
    drain : callable
        Begins a planned stop; further calls have no effect.
    """

    read_status: StatusReader
    read_metrics: Callable[[], bytes]
    find_owner: Callable[[str, str], Result[OwnerStatus, OwnerError]]
    announce: Callable[[bytes], AnnounceResult]
    drain: Callable[[], None]


class AdminServer:
    """HTTP server for status, metrics, owner lookup, announcement and drain.

    Parameters
    ----------
    handlers : AdminHandlers
        Functions of the node that answer the requests.
    options : AdminOptions
        Listen address and limits.
    count : callable
        Adds one to the counter with the given name.

    Attributes
    ----------
    port : int
        TCP port that the server listens on; before the start the configured
        one, which may be 0.
    """

    def __init__(
        self,
        *,
        handlers: AdminHandlers,
        options: AdminOptions = _DEFAULT_OPTIONS,
        count: Count = lambda _name: None,
    ) -> None:
        self.port = options.port
        self._handlers = handlers
        self._options = options
        self._group = ConnectionGroup(
            options.limits or make_usual_limits(), count=count, clock=Clock()
        )
        self._runner: web.AppRunner | None = None
        self._listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listening socket and start to serve requests.

        Raises
        ------
        OSError
            If the port is already in use.
        """
        options = self._options
        listener = socket.create_server(
            (options.host, options.port), backlog=_LISTEN_BACKLOG
        )
        self.port = listener.getsockname()[1]
        runner = web.AppRunner(
            self._make_app(),
            handle_signals=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._runner = runner
        await runner.setup()
        self._listening = await start_listening(
            self._make_connection, listener, backlog=_LISTEN_BACKLOG
        )
        _log.info('admin server listens on {}:{}', options.host, self.port)

    async def stop(self) -> None:
        """Finish the requests in progress and close all connections."""
        if self._listening is not None:
            self._listening.close()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _make_connection(self) -> BoundedConnection:
        if self._runner is None or self._runner.server is None:
            raise RuntimeError('the admin server does not run')
        return BoundedConnection(
            self._runner.server,
            loop=asyncio.get_running_loop(),
            group=self._group,
            lingering_time_s=_LINGERING_TIME_S,
        )

    def _make_app(self) -> web.Application:
        app = web.Application(
            client_max_size=self._options.body_limit_bytes,
            middlewares=(_convert_errors_to_json,),
        )
        app.router.add_get('/status', self._handle_status)
        app.router.add_get('/metrics', self._handle_metrics)
        app.router.add_get('/owner', self._handle_owner)
        app.router.add_get('/ready', self._handle_ready)
        app.router.add_post('/drain', self._handle_drain)
        app.router.add_post(self._options.announce_path, self._handle_announce)
        return app

    async def _handle_status(self, request: web.Request) -> web.Response:
        is_brief = request.query.get('brief') == '1'
        return _make_json_response(_OK, self._handlers.read_status(is_brief))

    async def _handle_metrics(self, _request: web.Request) -> web.Response:
        text = self._handlers.read_metrics()
        return web.Response(body=text, headers={'Content-Type': CONTENT_TYPE})

    async def _handle_owner(self, request: web.Request) -> web.Response:
        missing = {'service', 'key'} - request.query.keys()
        if missing:
            names = ', '.join(sorted(missing))
            return _make_error_response(_BAD_REQUEST, f'query lacks: {names}')
        owner_result = self._handlers.find_owner(
            request.query['service'], request.query['key']
        )
        if isinstance(owner_result, Success):
            return _make_json_response(_OK, owner_result.unwrap())
        error = owner_result.failure()
        return _make_error_response(error.status, error.detail)

    async def _handle_ready(self, _request: web.Request) -> web.Response:
        why_unready = self._handlers.read_status(True).why_unready
        if why_unready:
            return _make_error_response(_SERVICE_UNAVAILABLE, why_unready)
        return _make_json_response(_OK, AdminNotice('ready'))

    async def _handle_drain(self, request: web.Request) -> web.Response:
        _log.warning(
            'drain requested by {}; planned stop starts', request.remote
        )
        self._handlers.drain()
        return _make_json_response(_ACCEPTED, AdminNotice('draining'))

    async def _handle_announce(self, request: web.Request) -> web.Response:
        announce_result = self._handlers.announce(await request.read())
        if isinstance(announce_result, Success):
            return _make_json_response(_OK, announce_result.unwrap())
        detail = announce_result.failure().detail
        _log.warning('announcement of the upstream rejected: {}', detail)
        return _make_error_response(_BAD_REQUEST, detail)


@web.middleware
async def _convert_errors_to_json(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _make_error_response(
            error.status, f'{request.path}: {error.reason}'
        )
    except web.RequestPayloadError as error:
        return _make_error_response(_BAD_REQUEST, f'malformed body: {error}')
    except Exception as error:
        _log.opt(exception=error).error(
            'admin request failed with an exception; answering with status 500'
        )
        return _make_error_response(
            _INTERNAL_SERVER_ERROR, 'this is a fault of the node, see its log'
        )


def _make_json_response(status: int, body: msgspec.Struct) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def _make_error_response(status: int, detail: str) -> web.Response:
    return _make_json_response(status, AdminError(detail))
