import asyncio
import functools

from returns.result import Success

from verbenadeck.proxy import ConcurrencyLimit
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    admit,
    make_request,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.testing import run_virtual


async def _keep_busy(node: Node, *, workers: int, until_s: float) -> int:
    """Keep the door busy from many callers and count answers."""
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


def test_a_cold_upstream_never_runs_more_than_it_says_it_bears() -> None:
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
        assert upstream.most_running == 20

    run_virtual(scenario())


def test_a_new_life_starts_cold_again() -> None:
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


def test_a_silently_cold_upstream_sheds_little_while_reports_lag() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=20, service_time_s=0.1)
        upstream.reported_bearable = lambda: 20
        node = await site.add(upstream)
        loop = asyncio.get_running_loop()

        def chill() -> None:
            upstream.bearable = 2
            upstream.sheds_above = 2

        loop.call_later(2, chill)
        await _keep_busy(node, workers=60, until_s=2.5)
        upstream.sheds = 0
        answers = await _keep_busy(node, workers=60, until_s=6.5)
        assert upstream.most_running_while_shedding <= 2
        assert upstream.sheds <= answers * 0.2
        assert answers >= 40

    run_virtual(scenario())


def test_a_jump_in_service_time_resets_the_ramp() -> None:
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


def test_one_burst_of_shed_answers_cuts_the_limit_once() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    for _ in range(20):
        limit.record_shed(None, sent_at_s=1, now_s=1.1)
    assert limit.limit == 10


def test_an_unhealthy_report_leaves_one_request_as_a_probe() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    limit.apply_report(20, is_healthy=False, now_s=1)
    assert limit.limit == 1


def test_a_report_that_lags_does_not_raise_what_a_shed_answer_lowered() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    limit.record_shed(2, sent_at_s=1, now_s=1)
    limit.apply_report(20, is_healthy=True, now_s=1.5)
    for _ in range(100):
        limit.record_answer(0.05, now_s=1.6)
    assert limit.limit == 2


def test_an_upstream_that_bears_nothing_gets_nothing() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=4)
        upstream.bearable = 0
        node = await site.add(upstream)
        result = await admit(node, make_request(timeout_s=0.4))
        assert not isinstance(result, Success)
        assert not upstream.runs

    run_virtual(scenario())


def test_answers_within_one_tick_of_the_clock_are_fine() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    for service_time_s in (0, 0.001, 0):
        limit.record_answer(service_time_s, now_s=1)
    assert limit.limit == 20


def test_noise_of_very_fast_answers_is_no_jump() -> None:
    limit = ConcurrencyLimit()
    limit.reset_for_instance(20, 20, now_s=0)
    limit.record_answer(0.0001, now_s=1)
    for _ in range(6):
        limit.record_answer(0.002, now_s=1)
    assert not limit.is_cold
