"""Concurrency limit while an upstream is cold or sheds requests."""

import asyncio
import functools

from returns.result import Success

from verbenadeck.adapters import ColdStartState
from verbenadeck.proxy import ConcurrencyLimit
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    admit,
    make_request,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.testing import run_virtual

_COLD_RATE_PER_S = 19.0
_MAX_RATE_FACTOR = 1.5
_EXTRA_REQUESTS = 5


async def _keep_busy(node: Node, *, workers: int, until_s: float) -> int:
    """Send requests from many callers until a time and count the answers."""
    loop = asyncio.get_running_loop()
    answers = 0

    async def worker() -> None:
        nonlocal answers
        while loop.time() < until_s:
            result = await admit(node, make_request(timeout_s=1))
            answers += isinstance(result, Success)
            await asyncio.sleep(0.01)

    await asyncio.gather(*(worker() for _ in range(workers)))
    return answers


def test_cold_upstream_never_runs_more_than_it_reports_bearable() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=20, service_time_s=0.1)
        upstream.bearable = 2
        node = await site.add(upstream)
        loop = asyncio.get_running_loop()
        for step in range(3, 21):
            loop.call_later(
                0.3 * step,
                functools.partial(setattr, upstream, 'bearable', step),
            )
        await _keep_busy(node, workers=60, until_s=10)
        assert upstream.over_bearable == 0
        assert upstream.max_running == 20

    run_virtual(scenario())


def test_restarted_upstream_is_limited_as_cold_again() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=20, service_time_s=0.1)
        node = await site.add(upstream)

        def restart() -> None:
            upstream.crash(bearable=2)
            upstream.announce()

        asyncio.get_running_loop().call_later(2, restart)
        await _keep_busy(node, workers=60, until_s=5)
        assert upstream.over_bearable == 0
        assert upstream.running <= 2

    run_virtual(scenario())


def test_upstream_that_turns_cold_while_reports_lag_sheds_little() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=20, service_time_s=0.1)
        upstream.reported_bearable = lambda: 20
        node = await site.add(upstream)
        loop = asyncio.get_running_loop()

        def turn_cold() -> None:
            upstream.bearable = 2
            upstream.sheds_above = 2

        loop.call_later(2, turn_cold)
        await _keep_busy(node, workers=60, until_s=2.5)
        upstream.sheds = 0
        answers = await _keep_busy(node, workers=60, until_s=6.5)
        assert upstream.max_running_while_shedding <= 2
        assert upstream.sheds <= answers * 0.2
        assert answers >= 40

    run_virtual(scenario())


# Guards against a crash of an instance that turns cold without a restart.
def test_upstream_that_says_it_is_cold_gets_no_more_at_once() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=20, service_time_s=0.02)
        node = await site.add(upstream)
        loop = asyncio.get_running_loop()
        sent_counts: list[int] = []

        def count_sent() -> None:
            sent_counts.append(sum(upstream.runs.values()))

        def turn_cold() -> None:
            count_sent()
            cold_until_s = site.clock.now_s() + 1
            upstream.turn_cold(ColdStartState(cold_until_s, _COLD_RATE_PER_S))

        # The time from the report to the next poll differs between them.
        for cold_at_s in (2.0, 4.11, 6.23, 8.37):
            loop.call_at(cold_at_s, turn_cold)
            loop.call_at(cold_at_s + 0.99, count_sent)
        await _keep_busy(node, workers=60, until_s=10)
        for before, after in zip(
            sent_counts[::2], sent_counts[1::2], strict=True
        ):
            allowed = _COLD_RATE_PER_S * _MAX_RATE_FACTOR + _EXTRA_REQUESTS
            assert after - before <= allowed

    run_virtual(scenario())


def test_streak_of_slow_answers_reduces_the_ramp() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    for step in range(200):
        limit.record_answer(0.05, now_s=step * 0.01)
    assert limit.limit == 20
    for step in range(4):
        limit.record_answer(1, now_s=2 + step * 0.01)
    assert limit.limit > 10
    limit.record_answer(1, now_s=2.1)
    assert limit.limit <= 5


def test_burst_of_shed_requests_halves_the_limit_once() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    for _ in range(20):
        limit.record_shed(None, sent_at_s=1, now_s=1.1)
    assert limit.limit == 10


def test_unhealthy_report_limits_to_one_probe_request() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    limit.apply_report(20, is_healthy=False, now_s=1)
    assert limit.limit == 1


def test_lagging_report_does_not_raise_the_limit_after_shedding() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    limit.record_shed(2, sent_at_s=1, now_s=1)
    limit.apply_report(20, is_healthy=True, now_s=1.5)
    for _ in range(100):
        limit.record_answer(0.05, now_s=1.6)
    assert limit.limit == 2


def test_upstream_with_nothing_bearable_gets_no_request() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=4)
        upstream.bearable = 0
        node = await site.add(upstream)
        result = await admit(node, make_request(timeout_s=0.4))
        assert not isinstance(result, Success)
        assert not upstream.runs

    run_virtual(scenario())


def test_zero_service_time_does_not_change_the_limit() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    for service_time_s in (0, 0.001, 0):
        limit.record_answer(service_time_s, now_s=1)
    assert limit.limit == 20


def test_noise_in_very_fast_answers_does_not_reduce_the_ramp() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    limit.record_answer(0.0001, now_s=1)
    for _ in range(6):
        limit.record_answer(0.002, now_s=1)
    assert not limit.is_cold
