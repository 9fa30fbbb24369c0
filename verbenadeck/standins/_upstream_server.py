"""Upstream stand-in over HTTP."""

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
from verbenadeck.standins._upstream_state import OrderFields, UpstreamState
from verbenadeck.utils import Clock

_Control = Callable[[bytes], web.Response]
_MAX_BODY_BYTES = 64 * 1024 * 1024
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_CLIENT_CLOSED = 499
_REFUSED = 503
_MS_PER_S = 1000
_PADDING_BYTES = 2048


def echo_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a caller knows the answer for its own.

    Examples
    --------
    >>> echo_digest('GET', '/a', b'') == echo_digest('GET', '/b', b'')
    False
    """
    head = f'{method} {path}\n'.encode()
    return xxhash.xxh3_64_hexdigest(head + body)


def make_upstream_app(state: UpstreamState, clock: Clock) -> web.Application:
    """Return the HTTP application of an upstream stand-in."""
    controls = _controls(state)

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if wire.CONTROL_HEADER in request.headers:
            if request.path != wire.FAULTS_PATH:
                await state.wait_thawed()
            return _control(controls, request.path, body)
        await state.wait_thawed()
        return await _serve(state, request, body, now_s=clock.now_s())

    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app.router.add_route('*', '/{path:.*}', handle)
    return app


async def _serve(
    state: UpstreamState, request: web.Request, body: bytes, *, now_s: float
) -> web.StreamResponse:
    order = _read_order(request, now_s)
    refused = state.admit(order)
    if refused is not None:
        return _refusal(state, refused.value)
    is_done = await state.run(order)
    await state.wait_thawed()
    if not is_done:
        return web.Response(status=_CLIENT_CLOSED)
    digest = echo_digest(request.method, order.path, body)
    size = int(digest, 16) % _PADDING_BYTES
    echo = EchoBody(
        order.request_id, digest, state.options.instance, '.' * size
    )
    return _json(echo)


def _read_order(request: web.Request, now_s: float) -> OrderFields:
    headers = request.headers
    deadline_ms = float(headers.get(wire.DEADLINE_HEADER, 'inf'))
    return OrderFields(
        request_id=headers.get(wire.REQUEST_ID_HEADER, ''),
        instance=headers.get(wire.INSTANCE_HEADER, ''),
        shard=int(headers.get(wire.SHARD_HEADER, '-1')),
        fence=int(headers.get(wire.FENCE_HEADER, '-1')),
        deadline_s=now_s + deadline_ms / _MS_PER_S,
        path=request.raw_path,
    )


def _controls(state: UpstreamState) -> Mapping[str, _Control]:
    def grant(body: bytes) -> web.Response:
        wanted = msgspec.json.decode(body, type=wire.GrantBody)
        fault = state.grants.grant(wanted)
        return _ok() if fault is None else _stale(fault)

    def drain(_body: bytes) -> web.Response:
        state.is_draining = True
        return _ok()

    def cancel(body: bytes) -> web.Response:
        wanted = msgspec.json.decode(body, type=wire.CancelBody)
        state.cancel(wanted.request_id)
        return _ok()

    def faults(body: bytes) -> web.Response:
        state.show(msgspec.json.decode(body, type=UpstreamFaults))
        return _ok()

    def serving(_body: bytes) -> web.Response:
        options = state.options
        served = tuple(state.served)
        return _json(ServingReport(options.service, options.instance, served))

    return {
        wire.GRANT_PATH: grant,
        wire.DRAIN_PATH: drain,
        wire.CANCEL_PATH: cancel,
        wire.FAULTS_PATH: faults,
        wire.HEALTH_PATH: lambda _body: _json(state.load()),
        wire.LOAD_PATH: lambda _body: _json(state.load()),
        wire.RUNS_PATH: lambda _body: _json(state.runs_report()),
        wire.SERVING_PATH: serving,
    }


def _control(
    controls: Mapping[str, _Control], path: str, body: bytes
) -> web.Response:
    act = controls.get(path)
    if act is None:
        return web.Response(status=_NOT_FOUND)
    try:
        return act(body)
    except msgspec.MsgspecError as error:
        return web.Response(status=_BAD_REQUEST, text=str(error))


def _refusal(state: UpstreamState, reason: str) -> web.Response:
    headers = {
        wire.REFUSED_HEADER: reason,
        wire.BEARABLE_HEADER: str(state.cold_start.bearable),
    }
    return web.Response(status=_REFUSED, headers=headers)


def _stale(fault: str) -> web.Response:
    headers = {wire.REFUSED_HEADER: 'fenced'}
    return web.Response(status=_CONFLICT, headers=headers, text=fault)


def _ok() -> web.Response:
    return web.Response(text='ok')


def _json(body: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )
