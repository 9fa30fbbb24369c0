"""HTTP server that accepts callers' requests and answers them."""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Result
from sanic import Sanic
from sanic.compat import Header
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.http import Http
from sanic.request import Request as HttpRequest
from sanic.response import HTTPResponse
from sanic.server.async_server import AsyncioServer

from verbenadeck.adapters import CallerAnswer, CallerFormat, CallerRequest
from verbenadeck.entry._bodies import BodyBudget
from verbenadeck.entry._options import EntryOptions
from verbenadeck.entry._request_outcome import outcome_of_request
from verbenadeck.logs import make_decision_logger
from verbenadeck.model import (
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
)
from verbenadeck.router import Router
from verbenadeck.utils import Clock

_log = logger.bind(part='entry')
_log_decision = make_decision_logger('entry')
_HTTP_METHODS = (
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    'OPTIONS',
)
_MAX_RESPONSE_TIME_S = 3700
_LISTEN_BACKLOG = 1024
_app_sequence = itertools.count(1)
_DEFAULT_OPTIONS = EntryOptions()

RequestReader = Callable[[CallerRequest, str, bytes], Result[Request, Refusal]]
ResultHandler = Callable[[Request, AnswerResult, float], None]
OwnerHintHeaders = Callable[[Request], tuple[tuple[str, str], ...]]


class EntryServer:
    """HTTP server for callers, in the event loop of the node.

    Parameters
    ----------
    router : Router
        Router that gets the requests.
    read_request : callable
        Makes a request from a caller's fields, or refuses it.
    caller_format : CallerFormat
        Format of the paths and headers of callers.
    clock : Clock
        Clock of this VM.
    on_result : callable
        Called with each request, its result and its duration in seconds.
    owner_hint : callable
        Returns the headers with the address of the owner of the key.
    is_leaving : callable
        Returns whether the node is leaving, so that callers should connect
        to other entries.
    options : EntryOptions
        Address, limits and time-outs.

    Attributes
    ----------
    port : int
        TCP port on which the server listens.
    """

    def __init__(
        self,
        *,
        router: Router,
        read_request: RequestReader,
        caller_format: CallerFormat,
        clock: Clock,
        on_result: ResultHandler = lambda _request, _result, _time_s: None,
        owner_hint: OwnerHintHeaders = lambda _request: (),
        is_leaving: Callable[[], bool] = bool,
        options: EntryOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self.port = options.port
        self._router = router
        self._read_request = read_request
        self._caller_format = caller_format
        self._clock = clock
        self._on_result = on_result
        self._owner_hint = owner_hint
        self._is_leaving = is_leaving
        self._options = options
        self._bodies = BodyBudget(
            max_body_bytes=options.body_limit_bytes,
            max_held_bytes=options.held_bodies_limit_bytes,
        )
        self._running_count = 0
        self._last_arrival_s = clock.now_s()
        self._is_stopping = False
        self._app = _make_app(options, self._handle_request, self._on_error)
        self._server: AsyncioServer | None = None

    @property
    def options(self) -> EntryOptions:
        """Options in force."""
        return self._options

    async def start(self) -> None:
        """Start to listen for callers.

        Raises
        ------
        OSError
            If the port is in use.
        """
        # The socket is created here since Sanic takes port 0 for its default
        # port.
        listener = socket.create_server(
            (self._options.host, self._options.port), backlog=_LISTEN_BACKLOG
        )
        self.port = listener.getsockname()[1]
        server = await self._app.create_server(
            sock=listener, return_asyncio_server=True, access_log=False
        )
        assert server is not None
        self._server = server
        await server.startup()
        await server.before_start()
        await server.after_start()
        _log.info('entry listens on {}:{}', self._options.host, self.port)

    def apply_options(self, options: EntryOptions) -> None:
        """Replace the limits and time-outs, which connections get as they open.

        Parameters
        ----------
        options : EntryOptions
            New options; the address in them has no effect.
        """
        self._options = options
        self._bodies.max_body_bytes = options.body_limit_bytes
        self._bodies.max_held_bytes = options.held_bodies_limit_bytes
        _apply_limits(self._app, options)

    async def stop(self) -> None:
        """Stop after all received requests have their answers."""
        server = self._server
        if server is None:
            return
        self._is_stopping = True
        self._close_listener(server)
        await self._wait_until_idle()
        await server.before_stop()
        for connection in tuple(server.connections):
            connection.close_if_idle()
        await server.after_stop()
        _log.info('entry stopped')

    def _close_listener(self, server: AsyncioServer) -> None:
        listening = cast(asyncio.Server, server.server)
        listening.close()

    async def _wait_until_idle(self) -> None:
        # Answers carry `Connection: close` now, so callers reconnect
        # elsewhere. A request that is in transit on an open connection still
        # gets an answer, so connections stay open for a while.
        idle_after_s = self._clock.now_s() + self._options.close_after_s
        while self._running_count or self._clock.now_s() < idle_after_s:
            await asyncio.sleep(self._options.close_poll_s)
            quiet_until_s = self._last_arrival_s + self._options.close_after_s
            idle_after_s = max(idle_after_s, quiet_until_s)

    async def _handle_request(self, http_request: HttpRequest) -> HTTPResponse:
        self._running_count += 1
        self._last_arrival_s = self._clock.now_s()
        try:
            return await self._route(http_request)
        finally:
            self._running_count -= 1
            if self._is_stopping or self._is_leaving():
                # Sanic then answers with `Connection: close`.
                cast(Http, http_request.stream).keep_alive = False

    async def _route(self, http_request: HttpRequest) -> HTTPResponse:
        if self._is_stopping and self._options.refuses_when_stopping:
            refusal = Refusal(
                Outcome.NOT_RUN,
                RefusalReason.DRAINING,
                detail='the entry is stopping',
            )
            return self._write_refusal(refusal, None)
        parsed = self._caller_format.read_call(
            http_request.raw_url.decode('latin-1'), http_request.headers.items()
        )
        if not is_successful(parsed):
            return self._write_refusal(parsed.failure(), None)
        caller_request = parsed.unwrap()
        with self._bodies.hold() as held:
            body = await held.read(http_request)
            request = body.bind(
                lambda content: self._read_request(
                    caller_request, http_request.method, content
                )
            )
            if not is_successful(request):
                return self._write_refusal(
                    request.failure(), caller_request.request_id
                )
            return await self._route_request(request.unwrap(), caller_request)

    async def _route_request(
        self, request: Request, caller_request: CallerRequest
    ) -> HTTPResponse:
        started_s = self._clock.now_s()
        result = await self._router.route(request)
        self._on_result(request, result, self._clock.now_s() - started_s)
        if not is_successful(result):
            if caller_request.on_refused is not None:
                caller_request.on_refused()
            refusal = outcome_of_request(
                result.failure(), caller_request, request
            )
            _log_decision(
                'refused {} {} after {:.3f} s: {} {}, {}',
                request.service,
                request.request_id,
                self._clock.now_s() - started_s,
                refusal.outcome.value,
                refusal.reason.value,
                refusal.detail,
            )
            return self._write_refusal(refusal, request.request_id)
        answer = self._caller_format.write_answer(
            result.unwrap(), request.request_id
        )
        return self._write(answer, self._owner_hint(request))

    def _write_refusal(
        self, refusal: Refusal, request_id: RequestId | None
    ) -> HTTPResponse:
        return self._write(
            self._caller_format.write_refusal(refusal, request_id)
        )

    def _write(
        self,
        answer: CallerAnswer,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> HTTPResponse:
        headers = Header((*answer.headers, *extra_headers))
        content_type = headers.pop('content-type', None)
        headers.pop('content-length', None)
        return HTTPResponse(
            answer.body,
            status=answer.status,
            headers=headers,
            content_type=content_type,
        )

    def _on_error(
        self, http_request: HttpRequest, error: Exception
    ) -> HTTPResponse:
        reason = RefusalReason.BAD_REQUEST
        if isinstance(error, PayloadTooLarge):
            reason = RefusalReason.TOO_LARGE
        if not isinstance(error, SanicException):
            _log.opt(exception=error).error(
                'request handler raised; answering with unknown outcome'
            )
            refusal = Refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
            return self._write_refusal(refusal, None)
        refusal = Refusal(Outcome.NOT_RUN, reason, detail=str(error))
        return self._write_refusal(refusal, None)


def _apply_limits(app: 'Sanic[Any, Any]', options: EntryOptions) -> None:
    # Sanic reads these when a connection opens.
    app.config.REQUEST_MAX_SIZE = options.body_limit_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = options.header_limit_bytes
    app.config.REQUEST_TIMEOUT = options.header_timeout_s
    Http.set_header_max_size(options.header_limit_bytes)
    app.config.KEEP_ALIVE_TIMEOUT = options.idle_timeout_s


def _make_app(
    options: EntryOptions,
    answer: Callable[[HttpRequest], Awaitable[HTTPResponse]],
    on_error: Any,
) -> 'Sanic[Any, Any]':
    number = next(_app_sequence)
    app: Sanic[Any, Any] = Sanic(
        f'verbenadeck_{number}',
        configure_logging=False,
        env_prefix='VERBENADECK_HTTP_',
    )
    app.config.MOTD = False
    # Sanic optimizes its classes in place, at most once per process.
    app.config.TOUCHUP = number == 1
    app.config.RESPONSE_TIMEOUT = _MAX_RESPONSE_TIME_S
    _apply_limits(app, options)

    # The handler reads the body itself: a refused request needs none. Sanic
    # marks it as such with an attribute, which a method can't have.
    async def handle(http_request: HttpRequest, path: str = '') -> HTTPResponse:
        return await answer(http_request)

    for path, name in (('/', 'root'), ('/<path:path>', 'any')):
        app.add_route(
            handle, path, methods=_HTTP_METHODS, name=name, stream=True
        )
    app.error_handler.add(Exception, on_error)
    return app
