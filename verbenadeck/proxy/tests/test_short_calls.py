"""Load: short calls of other upstreams beside long reports at one upstream.

A call that is turned away is lost together with all the work of the request
that makes it, so it must not be judged by the time that the reports take.
"""

import asyncio
import random

import msgspec
import pytest
from returns.result import Success

from verbenadeck.model import AnswerResult, Request
from verbenadeck.proxy import LimitOptions, fixed_limit
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    admit,
    make_request,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.testing import run_virtual

_SLOTS = 6
_REPORT_S = 0.89
_CALL_S = 0.089
_USE = 0.9
_MEASURED_S = 30
_MAX_REFUSED_SHARE = 0.02


def _make_report(now_s: float) -> Request:
    return msgspec.structs.replace(
        make_request(path='/report', timeout_s=15, now_s=now_s),
        priority=2,
        objective_at_s=now_s + 2.5,
        kind='report',
    )


def _make_call(now_s: float, kind: str = 'call') -> Request:
    return msgspec.structs.replace(
        make_request(path='/call', timeout_s=1.01, now_s=now_s),
        priority=1,
        objective_at_s=now_s + 0.404,
        kind=kind,
        has_short_grace=True,
    )


async def _make_node() -> Node:
    fleet = ProxyFleet()
    upstream = FakeUpstream(slots=_SLOTS)
    node = await fleet.add(upstream, limits=LimitOptions(fixed_limit))
    send = upstream.send

    async def send_by_kind(upstream_request):  # type: ignore[no-untyped-def]
        is_call = upstream_request.request.path == '/call'
        upstream.service_time_s = _CALL_S if is_call else _REPORT_S
        return await send(upstream_request)

    upstream.send = send_by_kind  # type: ignore[method-assign]
    return node


def test_short_calls_are_served_beside_long_reports() -> None:
    async def scenario() -> None:
        node = await _make_node()
        source = random.Random(3)
        loop = asyncio.get_running_loop()
        calls: list[asyncio.Task[AnswerResult]] = []
        reports: list[asyncio.Task[AnswerResult]] = []
        mean_s = (_REPORT_S + _CALL_S) / 2
        rate_per_s = _USE * _SLOTS / mean_s
        until_s = loop.time() + _MEASURED_S
        while loop.time() < until_s:
            kind = source.choice((calls, reports))
            make = _make_call if kind is calls else _make_report
            kind.append(asyncio.create_task(admit(node, make(loop.time()))))
            await asyncio.sleep(source.expovariate(rate_per_s))
        results = await asyncio.gather(*calls)
        refused = sum(not isinstance(each, Success) for each in results)
        assert refused <= _MAX_REFUSED_SHARE * len(calls)
        await asyncio.gather(*reports)

    run_virtual(scenario())


@pytest.mark.parametrize('kind', ['call', 'new kind'])
def test_one_short_call_waits_for_the_next_slot(kind: str) -> None:
    async def scenario() -> None:
        node = await _make_node()
        loop = asyncio.get_running_loop()
        for _ in range(20):
            await admit(node, _make_report(loop.time()))
        await admit(node, _make_call(loop.time()))
        reports = [
            asyncio.create_task(admit(node, _make_report(loop.time())))
            for _ in range(_SLOTS)
        ]
        await asyncio.sleep(0.7 * _REPORT_S)
        result = await admit(node, _make_call(loop.time(), kind))
        assert isinstance(result, Success)
        await asyncio.gather(*reports)

    run_virtual(scenario())
