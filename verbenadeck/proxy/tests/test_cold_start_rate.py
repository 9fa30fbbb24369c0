"""Rate limit of an upstream that bears few requests per second at first."""

import asyncio

import pytest

from verbenadeck.adapters import WARMED_UP, ColdStartState
from verbenadeck.proxy._cold_start_rate import (
    BURST_REQUESTS,
    ColdStartRateLimiter,
)
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.testing import run_virtual, virtual_clock

_RATE_PER_S = 19.0
_MAX_EXTRA_REQUESTS = 5.0
_MAX_RATE_FACTOR = 1.5


def test_each_second_of_a_cold_start_stays_within_the_bound() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        rate_limiter = ColdStartRateLimiter(clock=clock)
        queue = SlotQueue(
            clock=clock,
            limit=lambda: 1000,
            service_time_s=lambda: 0.01,
            cold_start_rate=rate_limiter,
        )
        rate_limiter.set_cold_start(
            ColdStartState(clock.now_s() + 3, _RATE_PER_S)
        )
        starts_s: list[float] = []

        async def one() -> None:
            if await queue.acquire(Waiter(clock.now_s() + 60, -1)) is None:
                starts_s.append(clock.now_s())

        await asyncio.gather(*(one() for _ in range(200)))
        cold = [at_s for at_s in starts_s if at_s < 3]
        for at_s in cold:
            within = sum(at_s <= other < at_s + 1 for other in cold)
            assert (
                within <= _RATE_PER_S * _MAX_RATE_FACTOR + _MAX_EXTRA_REQUESTS
            )
        assert len(cold) == pytest.approx(3 * _RATE_PER_S, abs=3)
        assert len(starts_s) == 200
        assert max(starts_s) == pytest.approx(3, abs=0.1)

    run_virtual(scenario())


def test_warm_upstream_has_no_rate_limit() -> None:
    async def scenario() -> None:
        rate_limiter = ColdStartRateLimiter(clock=virtual_clock())
        rate_limiter.set_cold_start(WARMED_UP)
        assert all(rate_limiter.try_take_token() for _ in range(100))

    run_virtual(scenario())


def test_burst_after_a_pause_is_bounded() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        rate_limiter = ColdStartRateLimiter(clock=clock)
        rate_limiter.set_cold_start(
            ColdStartState(clock.now_s() + 60, _RATE_PER_S)
        )
        await asyncio.sleep(10)
        assert (
            sum(rate_limiter.try_take_token() for _ in range(50))
            == BURST_REQUESTS
        )

    run_virtual(scenario())
