"""Load balancing and hedging while some upstreams are slow."""

import asyncio
from functools import partial

import pytest
from returns.result import Failure, Success

from verbenadeck.model import (
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
)
from verbenadeck.proxy.tests.builders import (
    ProxyFleet,
    make_request,
    verdict,
)
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream, make_policy
from verbenadeck.router._hedges import send_hedged
from verbenadeck.router.tests.builders import (
    Callers,
    make_router,
    three_zones,
)
from verbenadeck.testing import run_virtual

_MAX_STRAGGLER_SHARE = 0.05
_MIN_HEALTHY_SHARE = 0.15


def _share(proxy_fleet: ProxyFleet, number: int) -> float:
    runs = [sum(node.upstream.runs.values()) for node in proxy_fleet.nodes]
    return runs[number] / sum(runs)


def _clear_runs(proxy_fleet: ProxyFleet) -> None:
    for node in proxy_fleet.nodes:
        node.upstream.runs.clear()


@pytest.mark.parametrize('stragglers', [1, 2])
def test_stragglers_get_few_requests_until_they_recover(
    stragglers: int,
) -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers, rate_per_s=100)
        await callers.run(2)
        for node in proxy_fleet.nodes[:stragglers]:
            node.upstream.service_time_s = 1
        await callers.run(1)
        _clear_runs(proxy_fleet)
        await callers.run(10)
        for number in range(stragglers):
            assert _share(proxy_fleet, number) < _MAX_STRAGGLER_SHARE
        for node in proxy_fleet.nodes[:stragglers]:
            node.upstream.service_time_s = 0.05
        await callers.run(30)
        _clear_runs(proxy_fleet)
        await callers.run(10)
        for number in range(stragglers):
            assert _share(proxy_fleet, number) > _MIN_HEALTHY_SHARE

    run_virtual(scenario())


def test_slow_read_is_hedged_and_the_slower_attempt_cancelled() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers[:1], rate_per_s=50)
        await callers.run(5)
        slow = proxy_fleet.nodes[0].upstream
        slow.service_time_s = 3
        slow.cancelled.clear()
        for _ in range(10):
            result = await routers[0].route(make_request())
            assert isinstance(result, Success)
        assert proxy_fleet.clock.now_s() < 5 + 10 * 0.25
        await asyncio.sleep(0.1)
        assert slow.cancelled
        for loser in slow.cancelled:
            assert (
                sum(node.upstream.runs[loser] for node in proxy_fleet.nodes)
                == 2
            )

    run_virtual(scenario())


@pytest.mark.parametrize('is_unknown_first', [True, False])
def test_hedged_request_with_one_unknown_outcome_may_have_run(
    is_unknown_first: bool,
) -> None:
    async def scenario() -> None:
        unknown_s, not_run_s = (0.1, 0.2) if is_unknown_first else (0.2, 0.1)

        async def fail(delay_s: float, outcome: Outcome) -> AnswerResult:
            await asyncio.sleep(delay_s)
            return Failure(Refusal(outcome, RefusalReason.DEADLINE))

        result = await send_hedged(
            partial(fail, unknown_s, Outcome.UNKNOWN),
            lambda: partial(fail, not_run_s, Outcome.NOT_RUN),
            delay_s=0.01,
        )
        assert verdict(result)[0] is Outcome.UNKNOWN

    run_virtual(scenario())


def test_hedges_stay_within_the_hedge_budget() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers[:1], rate_per_s=50)
        await callers.run(5)
        _clear_runs(proxy_fleet)
        callers.results.clear()
        for node in proxy_fleet.nodes:
            node.upstream.draw_s = lambda source: source.expovariate(5)
        await callers.run(20)
        runs = sum(
            sum(node.upstream.runs.values()) for node in proxy_fleet.nodes
        )
        asked = len(callers.results)
        assert runs <= asked * (1 + make_policy().hedge_ratio) + 10

    run_virtual(scenario())


@pytest.mark.parametrize('method', ['GET', 'PUT'])
def test_keyed_request_is_never_hedged(method: str) -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        for _ in range(3):
            await proxy_fleet.add(FakeUpstream(service=KEYED, service_time_s=1))
        proxy_fleet.own_all(proxy_fleet.nodes[0])
        routers = [make_router(proxy_fleet, node) for node in proxy_fleet.nodes]

        def make() -> Request:
            return make_request(service=KEYED, key='oven', method=method)

        callers = Callers(routers, rate_per_s=2, make=make)
        await callers.run(10)
        assert _share(proxy_fleet, 0) == 1
        assert set(proxy_fleet.nodes[0].upstream.runs.values()) == {1}

    run_virtual(scenario())
