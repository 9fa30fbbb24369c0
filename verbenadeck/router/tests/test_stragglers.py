import asyncio

import pytest
from returns.result import Success

from verbenadeck.model import Request
from verbenadeck.proxy.tests.builders import ProxyFleet, make_request
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream, make_policy
from verbenadeck.router.tests.builders import (
    Callers,
    make_router,
    three_zones,
)
from verbenadeck.testing import run_virtual

_STRAGGLER_SHARE = 0.05
_HEALTHY_SHARE = 0.15


def _share(site: ProxyFleet, number: int) -> float:
    runs = [sum(node.upstream.runs.values()) for node in site.nodes]
    return runs[number] / sum(runs)


def _clear(site: ProxyFleet) -> None:
    for node in site.nodes:
        node.upstream.runs.clear()


@pytest.mark.parametrize('stragglers', [1, 2])
def test_stragglers_get_little_work_and_recover(stragglers: int) -> None:
    async def scenario() -> None:
        site, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers, rate_per_s=100)
        await callers.run(2)
        for node in site.nodes[:stragglers]:
            node.upstream.service_time_s = 1
        await callers.run(1)
        _clear(site)
        await callers.run(10)
        for number in range(stragglers):
            assert _share(site, number) < _STRAGGLER_SHARE
        for node in site.nodes[:stragglers]:
            node.upstream.service_time_s = 0.05
        await callers.run(30)
        _clear(site)
        await callers.run(10)
        for number in range(stragglers):
            assert _share(site, number) > _HEALTHY_SHARE

    run_virtual(scenario())


def test_a_late_read_is_hedged_and_the_loser_cancelled() -> None:
    async def scenario() -> None:
        site, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers[:1], rate_per_s=50)
        await callers.run(5)
        slow = site.nodes[0].upstream
        slow.service_time_s = 3
        slow.cancelled.clear()
        for _ in range(10):
            result = await routers[0].route(make_request())
            assert isinstance(result, Success)
        assert site.clock.now_s() < 5 + 10 * 0.25
        await asyncio.sleep(0.1)
        assert slow.cancelled
        for loser in slow.cancelled:
            assert sum(node.upstream.runs[loser] for node in site.nodes) == 2

    run_virtual(scenario())


def test_hedges_stay_within_their_budget() -> None:
    async def scenario() -> None:
        site, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers[:1], rate_per_s=50)
        await callers.run(5)
        _clear(site)
        callers.results.clear()
        for node in site.nodes:
            node.upstream.draw_s = lambda source: source.expovariate(5)
        await callers.run(20)
        runs = sum(sum(node.upstream.runs.values()) for node in site.nodes)
        asked = len(callers.results)
        assert runs <= asked * (1 + make_policy().hedge_ratio) + 10

    run_virtual(scenario())


@pytest.mark.parametrize('method', ['GET', 'PUT'])
def test_a_keyed_request_is_never_hedged(method: str) -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        for _ in range(3):
            await site.add(FakeUpstream(service=KEYED, service_time_s=1))
        site.own_all(site.nodes[0])
        routers = [make_router(site, node) for node in site.nodes]

        def make() -> Request:
            return make_request(service=KEYED, key='oven', method=method)

        callers = Callers(routers, rate_per_s=2, make=make)
        await callers.run(10)
        assert _share(site, 0) == 1
        assert set(site.nodes[0].upstream.runs.values()) == {1}

    run_virtual(scenario())
