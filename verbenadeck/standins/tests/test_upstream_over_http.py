"""Tests of the upstream stand-in through its HTTP adapter."""

import asyncio

import msgspec

from verbenadeck.adapters import (
    Grant,
    GrantedRange,
    UpstreamFailure,
    UpstreamHttpAdapter,
)
from verbenadeck.adapters.tests.builders import (
    build_adapter,
    build_upstream_request,
)
from verbenadeck.model import Fence, RequestId, ServiceName
from verbenadeck.standins import (
    EchoBody,
    UpstreamState,
    echo_digest,
    make_upstream_app,
    start_app,
)
from verbenadeck.standins.tests.builders import build_options, build_state
from verbenadeck.utils import Clock

_CLOCK = Clock()


async def _connect_adapter(
    state: UpstreamState, *, instance: str = 'instance-1'
) -> UpstreamHttpAdapter:
    started = await start_app(
        make_upstream_app(state, _CLOCK), host='127.0.0.1'
    )
    port = started.listening.port
    return build_adapter(_CLOCK, port, instance=instance)


def _build_grant(fence: int, timeout_s: float = 30) -> Grant:
    ranges = (GrantedRange(0, 10, Fence(fence)),)
    deadline_s = _CLOCK.now_s() + timeout_s
    return Grant(ServiceName('catalogue'), 64, ranges, deadline_s)


def test_granted_request_runs_once_and_is_echoed() -> None:
    async def scenario() -> None:
        state = build_state(_CLOCK, build_options(is_keyed=True))
        adapter = await _connect_adapter(state)
        upstream_request = build_upstream_request(
            _CLOCK, path='/oven%2017?a=%2F'
        )
        early = await adapter.send(upstream_request)
        assert early.failure().failure is UpstreamFailure.FENCED
        assert (await adapter.grant(_build_grant(5))).unwrap() is None
        answer = (await adapter.send(upstream_request)).unwrap()
        await adapter.close()
        echo = msgspec.json.decode(answer.body, type=EchoBody)
        assert echo.request_id == 'id-1'
        assert echo.digest == echo_digest('POST', '/oven%2017?a=%2F', b'hold')
        assert state.report_runs().runs == {'id-1': 1}

    asyncio.run(scenario())


def test_grant_with_lower_fence_is_refused_over_http() -> None:
    async def scenario() -> None:
        state = build_state(_CLOCK, build_options(is_keyed=True))
        adapter = await _connect_adapter(state)
        await adapter.grant(_build_grant(5))
        lower = await adapter.grant(_build_grant(4))
        await adapter.close()
        assert lower.failure().failure is UpstreamFailure.FENCED

    asyncio.run(scenario())


def test_request_for_another_instance_is_refused() -> None:
    async def scenario() -> None:
        state = build_state(_CLOCK, build_options())
        adapter = await _connect_adapter(state, instance='instance-0')
        sent = await adapter.send(build_upstream_request(_CLOCK, shard=-1))
        await adapter.close()
        assert sent.failure().failure is UpstreamFailure.REFUSED
        assert state.report_runs().runs == {}

    asyncio.run(scenario())


def test_cancel_report_and_drain_take_effect_over_http() -> None:
    async def scenario() -> None:
        options = build_options(service_time_s=25, spread=0)
        state = build_state(_CLOCK, options)
        adapter = await _connect_adapter(state)
        sending = asyncio.ensure_future(
            adapter.send(build_upstream_request(_CLOCK, shard=-1))
        )
        while not state.report_runs().runs:
            await asyncio.sleep(0.01)
        assert (await adapter.report()).unwrap().running == 1
        await adapter.cancel(RequestId('id-1'))
        assert (await sending).unwrap().status == 499
        assert (await adapter.drain()).unwrap() is None
        sent = await adapter.send(build_upstream_request(_CLOCK, shard=-1))
        await adapter.close()
        assert sent.failure().failure is UpstreamFailure.REFUSED

    asyncio.run(scenario())
