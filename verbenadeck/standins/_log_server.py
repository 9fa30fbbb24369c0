"""HTTP server of the log stand-in."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from verbenadeck.adapters import wire
from verbenadeck.standins._log_store import LogFaults, LogStore

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_MAX_RECORD_BYTES = 1_048_576
_MAX_WAIT_S = 60.0
_MAX_RECORDS_PER_READ = 10_000
_BAD_REQUEST = 400
_GONE = 410
_UNAVAILABLE = 503


class ExpireBody(msgspec.Struct, frozen=True):
    """Request to drop the records of a stream before an offset.

    Attributes
    ----------
    stream : str
        Name of the stream.
    before_offset : int
        First offset to keep.
    """

    stream: str
    before_offset: int


def make_log_app(store: LogStore) -> web.Application:
    """Return the HTTP application of a log stand-in.

    Parameters
    ----------
    store : LogStore
        Streams to serve and faults to apply.
    """

    @web.middleware
    async def apply_faults(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if request.path.startswith(wire.LOG_CONTROL_PATH):
            return await handler(request)
        await asyncio.sleep(store.faults.added_latency_s)
        if store.faults.is_out:
            return _refusal_response(_UNAVAILABLE, 'log is out of service')
        return await handler(request)

    async def append(request: web.Request) -> web.StreamResponse:
        record = await request.read()
        if store.faults.is_out:
            return _refusal_response(_UNAVAILABLE, 'log is out of service')
        offset = store.get_stream(request.match_info['stream']).append(record)
        if store.use_lost_answer():
            return await _abort_connection(request)
        return _json_response(wire.Appended(offset))

    async def read(request: web.Request) -> web.StreamResponse:
        stream = store.get_stream(request.match_info['stream'])
        start = _parse_number(request.query.get('from'), default=0)
        limit = min(
            _MAX_RECORDS_PER_READ,
            _parse_number(request.query.get('limit'), default=1),
        )
        wait_s = min(_MAX_WAIT_S, float(request.query.get('wait_s', '0')))
        if start >= stream.first_offset:
            await stream.wait_for(start, wait_s=wait_s)
        first = stream.first_offset
        if start < first:
            return _refusal_response(
                _GONE, 'offset has expired', first_offset=first
            )
        if store.faults.is_out:
            return _refusal_response(_UNAVAILABLE, 'log is out of service')
        page = wire.RecordsPage(first, start, stream.read(start, limit))
        return web.Response(
            body=msgspec.msgpack.encode(page),
            content_type='application/msgpack',
        )

    async def set_faults(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        try:
            store.faults = msgspec.json.decode(body, type=LogFaults)
        except msgspec.MsgspecError as error:
            return _refusal_response(_BAD_REQUEST, str(error))
        return _json_response(store.faults)

    async def expire(request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=ExpireBody)
        stream = store.get_stream(body.stream)
        stream.expire_before(body.before_offset)
        return _json_response(wire.Appended(stream.first_offset))

    app = web.Application(
        middlewares=(apply_faults,), client_max_size=_MAX_RECORD_BYTES
    )
    path = wire.STREAMS_PATH
    app.router.add_post(path, append)
    app.router.add_get(path, read)
    app.router.add_post(wire.LOG_CONTROL_PATH, set_faults)
    app.router.add_post(f'{wire.LOG_CONTROL_PATH}/expire', expire)
    return app


async def _abort_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _parse_number(text: str | None, *, default: int) -> int:
    return int(text) if text is not None and text.isdigit() else default


def _json_response(body: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )


def _refusal_response(
    status: int, reason: str, *, first_offset: int = 0
) -> web.Response:
    body = wire.LogRefusal(reason, is_appended=False, first_offset=first_offset)
    response = _json_response(body)
    response.set_status(status)
    return response
