"""HTTP server that accepts callers' requests and answers them."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict
from returns.pipeline import is_successful
from returns.result import Result

from verbenadeck.adapters import CallerAnswer, CallerFormat, CallerRequest
from verbenadeck.entry._bodies import BodyBudget
from verbenadeck.entry._connections import CallerConnections
from verbenadeck.entry._limit_reports import Count
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
_DEFAULT_OPTIONS = EntryOptions()
_STOPPING = Refusal(
    Outcome.NOT_RUN, RefusalReason.DRAINING, detail='the entry is stopping'
)

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
    count : callable
        Adds one to the counter with the given name.
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
        count: Count = lambda _name: None,
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
        self._bodies = BodyBudget(
            max_body_bytes=options.body_limit_bytes,
            max_held_bytes=options.held_bodies_limit_bytes,
        )
        self._running_count = 0
        self._last_arrival_s = clock.now_s()
        self._is_stopping = False
        self._connections = CallerConnections(
            self._handle_request, options=options, count=count, clock=clock
        )

    @property
    def options(self) -> EntryOptions:
        """Options in force."""
        return self._connections.options

    async def start(self) -> None:
        """Start to listen for callers.

        Raises
        ------
        OSError
            If the port is in use.
        """
        self.port = await self._connections.listen(
            self.options.host, self.options.port
        )
        _log.info('entry listens on {}:{}', self.options.host, self.port)

    def apply_options(self, options: EntryOptions) -> None:
        """Replace the limits and time-outs.

        Those of one head and of times hold for connections that open from
        now on, the others at once.

        Parameters
        ----------
        options : EntryOptions
            New options; the address in them has no effect.
        """
        self._connections.apply_options(options)
        self._bodies.max_body_bytes = options.body_limit_bytes
        self._bodies.max_held_bytes = options.held_bodies_limit_bytes

    async def stop(self) -> None:
        """Stop after all received requests have their answers."""
        self._is_stopping = True
        self._connections.close_listener()
        await self._wait_until_idle()
        self._connections.close_idle()
        # A request may have arrived just before its connection was closed.
        while self._running_count:
            await asyncio.sleep(self.options.close_poll_s)
        await self._connections.close()
        _log.info('entry stopped')

    async def _wait_until_idle(self) -> None:
        # Answers carry `Connection: close` now, so callers reconnect
        # elsewhere. A request that is in transit on an open connection still
        # gets an answer, so connections stay open for a while.
        options = self.options
        idle_after_s = self._clock.now_s() + options.close_after_s
        while self._running_count or self._clock.now_s() < idle_after_s:
            await asyncio.sleep(options.close_poll_s)
            quiet_until_s = self._last_arrival_s + options.close_after_s
            idle_after_s = max(idle_after_s, quiet_until_s)

    async def _handle_request(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        self._running_count += 1
        self._last_arrival_s = self._clock.now_s()
        try:
            response = await self._route(http_request)
        except Exception as error:
            _log.opt(exception=error).error(
                'request handler raised; answering with unknown outcome'
            )
            response = self._write_refusal(
                Refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED), None
            )
        finally:
            self._running_count -= 1
        if self._is_stopping or self._is_leaving():
            # The answer then carries `Connection: close`.
            response.force_close()
        return response

    async def _route(self, http_request: web.BaseRequest) -> web.Response:
        if self._is_stopping and self.options.refuses_when_stopping:
            return self._write_refusal(_STOPPING, None)
        parsed = self._caller_format.read_call(
            http_request.raw_path, http_request.headers.items()
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
    ) -> web.Response:
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
        return _make_response(answer, self._owner_hint(request))

    def _write_refusal(
        self, refusal: Refusal, request_id: RequestId | None
    ) -> web.Response:
        return _make_response(
            self._caller_format.write_refusal(refusal, request_id)
        )


def _make_response(
    answer: CallerAnswer, extra_headers: tuple[tuple[str, str], ...] = ()
) -> web.Response:
    headers = CIMultiDict((*answer.headers, *extra_headers))
    headers.popall('Content-Length', None)
    return web.Response(status=answer.status, headers=headers, body=answer.body)
