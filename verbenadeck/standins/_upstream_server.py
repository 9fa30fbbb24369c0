"""HTTP server of the upstream stand-in."""

from collections.abc import Callable, Mapping

import msgspec
import xxhash
from aiohttp import web

from verbenadeck.adapters import wire
from verbenadeck.standins._upstream_options import (
    EchoBody,
    ServingReport,
    UpstreamFaults,
)
from verbenadeck.standins._upstream_state import RequestFields, UpstreamState
from verbenadeck.utils import Clock

_ControlHandler = Callable[[bytes], web.Response]
_MAX_BODY_BYTES = 64 * 1024 * 1024
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_CLIENT_CLOSED = 499
_UNAVAILABLE = 503
_MS_PER_S = 1000
_MAX_PADDING_BYTES = 2048


def echo_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a caller matches an answer to its request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Raw path with query.
    body : bytes
        Request body.

    Examples
    --------
    >>> echo_digest('GET', '/a', b'') == echo_digest('GET', '/b', b'')
    False
    """
    head = f'{method} {path}\n'.encode()
    return xxhash.xxh3_64_hexdigest(head + body)


def make_upstream_app(state: UpstreamState, clock: Clock) -> web.Application:
    """Return the HTTP application of an upstream stand-in.

    Parameters
    ----------
    state : UpstreamState
        State of the upstream to serve.
    clock : Clock
        Boot clock of the VM.
    """
    controls = _build_control_handlers(state)

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if wire.CONTROL_HEADER in request.headers:
            if request.path != wire.FAULTS_PATH:
                await state.wait_until_unfrozen()
            return _handle_control(controls, request.path, body)
        await state.wait_until_unfrozen()
        return await _handle_request(state, request, body, now_s=clock.now_s())

    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app.router.add_route('*', '/{path:.*}', handle)
    return app


async def _handle_request(
    state: UpstreamState, request: web.Request, body: bytes, *, now_s: float
) -> web.StreamResponse:
    upstream_request = _parse_headers(request, now_s)
    refused = state.admit(upstream_request)
    if refused is not None:
        return _refusal_response(state, refused.value)
    is_done = await state.run(upstream_request)
    await state.wait_until_unfrozen()
    if not is_done:
        return web.Response(status=_CLIENT_CLOSED)
    digest = echo_digest(request.method, upstream_request.path, body)
    size = int(digest, 16) % _MAX_PADDING_BYTES
    echo = EchoBody(
        upstream_request.request_id, digest, state.options.instance, '.' * size
    )
    answer = _json_response(echo)
    answer.headers[wire.REQUEST_ID_HEADER] = upstream_request.request_id
    return answer


def _parse_headers(request: web.Request, now_s: float) -> RequestFields:
    headers = request.headers
    deadline_ms = float(headers.get(wire.DEADLINE_HEADER, 'inf'))
    return RequestFields(
        request_id=headers.get(wire.REQUEST_ID_HEADER, ''),
        instance=headers.get(wire.INSTANCE_HEADER, ''),
        shard=int(headers.get(wire.SHARD_HEADER, '-1')),
        fence=int(headers.get(wire.FENCE_HEADER, '-1')),
        deadline_s=now_s + deadline_ms / _MS_PER_S,
        path=request.raw_path,
    )


def _build_control_handlers(
    state: UpstreamState,
) -> Mapping[str, _ControlHandler]:
    def grant(body: bytes) -> web.Response:
        wanted = msgspec.json.decode(body, type=wire.GrantBody)
        fault = state.grants.apply_grant(wanted)
        return _ok_response() if fault is None else _stale_grant_response(fault)

    def drain(_body: bytes) -> web.Response:
        state.is_draining = True
        return _ok_response()

    def cancel(body: bytes) -> web.Response:
        wanted = msgspec.json.decode(body, type=wire.CancelBody)
        state.cancel(wanted.request_id)
        return _ok_response()

    def faults(body: bytes) -> web.Response:
        state.apply_faults(msgspec.json.decode(body, type=UpstreamFaults))
        return _ok_response()

    def serving(_body: bytes) -> web.Response:
        options = state.options
        served = tuple(state.served)
        return _json_response(
            ServingReport(options.service, options.instance, served)
        )

    return {
        wire.GRANT_PATH: grant,
        wire.DRAIN_PATH: drain,
        wire.CANCEL_PATH: cancel,
        wire.FAULTS_PATH: faults,
        wire.HEALTH_PATH: lambda _body: _json_response(state.report_load()),
        wire.LOAD_PATH: lambda _body: _json_response(state.report_load()),
        wire.RUNS_PATH: lambda _body: _json_response(state.report_runs()),
        wire.SERVING_PATH: serving,
    }


def _handle_control(
    controls: Mapping[str, _ControlHandler], path: str, body: bytes
) -> web.Response:
    control_handler = controls.get(path)
    if control_handler is None:
        return web.Response(status=_NOT_FOUND)
    try:
        return control_handler(body)
    except msgspec.MsgspecError as error:
        return web.Response(status=_BAD_REQUEST, text=str(error))


def _refusal_response(state: UpstreamState, reason: str) -> web.Response:
    headers = {
        wire.REFUSED_HEADER: reason,
        wire.BEARABLE_HEADER: str(state.cold_start.capacity),
    }
    return web.Response(status=_UNAVAILABLE, headers=headers)


def _stale_grant_response(fault: str) -> web.Response:
    headers = {wire.REFUSED_HEADER: 'fenced'}
    return web.Response(status=_CONFLICT, headers=headers, text=fault)


def _ok_response() -> web.Response:
    return web.Response(text='ok')


def _json_response(body: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )
