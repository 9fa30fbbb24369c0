"""Goodput, answers and balance under high load."""

import asyncio
import random

from returns.result import Success

from verbenadeck.model import Outcome
from verbenadeck.proxy.tests.builders import (
    make_request,
    refusal,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.router.tests.builders import Callers, three_zones
from verbenadeck.testing import run_virtual

_CAPACITY_PER_S = 3 * 4 / 0.05


def _make_jittered_upstream() -> FakeUpstream:
    upstream = FakeUpstream(slots=4)
    upstream.draw_s = lambda source: source.uniform(0.025, 0.075)
    return upstream


def test_retry_storm_keeps_goodput_near_capacity() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(_make_jittered_upstream)
        source = random.Random(5)
        answers = 0

        async def retrying_caller() -> None:
            nonlocal answers
            for _ in range(4):
                request = make_request(timeout_s=1)
                result = await source.choice(routers).route(request)
                runs = sum(
                    node.upstream.runs[request.request_id]
                    for node in proxy_fleet.nodes
                )
                if isinstance(result, Success):
                    answers += 1
                    return
                if refusal(result).outcome is Outcome.NOT_RUN:
                    assert runs == 0

        async with asyncio.TaskGroup() as group:
            for _ in range(int(10 * 3 * _CAPACITY_PER_S)):
                group.create_task(retrying_caller())
                await asyncio.sleep(source.expovariate(3 * _CAPACITY_PER_S))
        assert answers >= 0.9 * 10 * _CAPACITY_PER_S

    run_virtual(scenario())


def test_each_caller_gets_its_own_answer_under_load() -> None:
    async def scenario() -> None:
        _, routers = await three_zones(_make_jittered_upstream)
        callers = Callers(routers, rate_per_s=0.8 * _CAPACITY_PER_S)
        await callers.run(5)
        for _, request, result, _ in callers.results:
            assert result.unwrap().body == request.request_id.encode()

    run_virtual(scenario())


def test_all_upstreams_are_used_when_all_are_slow() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(_make_jittered_upstream)
        callers = Callers(routers, rate_per_s=60)
        await callers.run(2)
        for node in proxy_fleet.nodes:
            node.upstream.draw_s = lambda source: source.uniform(0.1, 0.2)
            node.upstream.runs.clear()
        await callers.run(10)
        assert all(
            isinstance(result, Success) for _, _, result, _ in callers.results
        )
        shares = [
            sum(node.upstream.runs.values()) for node in proxy_fleet.nodes
        ]
        assert min(shares) > 0.2 * sum(shares)

    run_virtual(scenario())
