"""Load: upstreams with few slots refuse or lose requests while healthy."""

import asyncio
import random
from collections import Counter
from statistics import mean
from typing import Any

import msgspec
import pytest
from returns.result import Success

from verbenadeck.model import (
    AnswerResult,
    Incarnation,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
)
from verbenadeck.proxy.tests.builders import ProxyFleet, make_request
from verbenadeck.proxy.tests.fakes import (
    KEYED,
    SERVICE,
    FakeUpstream,
    make_config,
    make_policy,
)
from verbenadeck.router import ProxyStats, RetryOptions, RouterOptions
from verbenadeck.router._attempt_sender import AttemptSender
from verbenadeck.router._budget import MIN_BURST, TokenBudget, burst_per_member
from verbenadeck.router._refused_tries import RefusedTries
from verbenadeck.router.tests.builders import (
    Callers,
    FaultyUpstream,
    few_slots_fleet,
    make_router,
)
from verbenadeck.testing import run_virtual

_ZONES = ('suva', 'nadi') * 6
_CAPACITY_PER_S = len(_ZONES) * 3 / 0.1
_FAULT_SHARE = 0.55
_MAX_RATIO = 0.2
_SLACK = 210
_RETRIES = RetryOptions(ratio=0.8 * _MAX_RATIO, burst=0.8 * _SLACK)
_OFF = RouterOptions()
_ON = RouterOptions(few_slots=5, retries=_RETRIES)


def _make_request(source: random.Random) -> Request:
    request = make_request(method='POST', timeout_s=1)
    return msgspec.structs.replace(request, priority=source.randrange(3))


async def _run(
    options: RouterOptions, *, use: float, faulty: int = 0, **fault: float
) -> tuple[list[FaultyUpstream], Callers]:
    """Run callers of non-repeatable requests while some upstreams fail."""
    upstreams, routers = await few_slots_fleet(_ZONES, options)
    source = random.Random(4)
    callers = Callers(
        routers,
        rate_per_s=use * _CAPACITY_PER_S,
        make=lambda: _make_request(source),
    )
    for upstream in upstreams[:faulty]:
        for name, share in fault.items():
            setattr(upstream, name, share)
    await callers.run(2)
    callers.results.clear()
    for upstream in upstreams:
        upstream.sends = 0
    await callers.run(6)
    return upstreams, callers


def _answered_share(callers: Callers, priority: int | None = None) -> float:
    return mean(
        isinstance(result, Success)
        for _, request, result, _ in callers.results
        if priority in {None, request.priority}
    )


@pytest.mark.parametrize('fault', ['refused_share', 'lost_share'])
def test_failing_third_gets_at_most_half_of_the_requests_of_others(
    fault: str,
) -> None:
    """Load: a third refuses 55% while healthy, or loses 55% of the answers.

    Guards against sending to them as if they were only fast: an upstream
    that fails half of its requests counts as twice as slow.
    """

    async def scenario() -> None:
        faulty = len(_ZONES) // 3
        run = {'use': 0.6, 'faulty': faulty, fault: _FAULT_SHARE}
        _, before = await _run(_OFF, **run)  # type: ignore[arg-type]
        upstreams, callers = await _run(_ON, **run)  # type: ignore[arg-type]
        sends = [upstream.sends for upstream in upstreams]
        assert mean(sends[:faulty]) <= 0.5 * mean(sends[faulty:])
        assert _answered_share(callers) > _answered_share(before)

    run_virtual(scenario())


def test_choice_stays_even_and_retries_go_to_urgent_requests() -> None:
    """Load: all upstreams refuse 55% of the requests while healthy.

    Guards against chasing shares that differ by chance, against retries
    beyond the budget, and against retries that less urgent requests use up.
    """

    async def scenario() -> None:
        upstreams, callers = await _run(
            _ON, use=0.6, faulty=len(_ZONES), refused_share=_FAULT_SHARE
        )
        sends = [upstream.sends for upstream in upstreams]
        assert min(sends) >= 0.75 * mean(sends)
        count = len(callers.results)
        assert sum(sends) - count <= _RETRIES.ratio * count + _RETRIES.burst
        urgent, *others = (_answered_share(callers, each) for each in range(3))
        assert urgent > max(others)

    run_virtual(scenario())


@pytest.mark.parametrize('requests', [0, 86, 86_000])
def test_fleet_that_spends_all_tokens_keeps_the_bound(requests: int) -> None:
    """Load: 86 members retry as much as their budgets allow for 10 s."""
    members = 86
    spent = 0
    for _ in range(members):
        burst = burst_per_member(_RETRIES.burst, members)
        budget = TokenBudget(max_tokens=MIN_BURST, reserved_share=0.5)
        budget.refill(MIN_BURST, max_tokens=burst)
        for _ in range(requests // members):
            spent += budget.try_spend()
            budget.refill(_RETRIES.ratio, max_tokens=burst)
        while budget.try_spend():
            spent += 1
    assert members <= spent <= _MAX_RATIO * requests + _SLACK


def test_requests_that_waited_for_the_first_upstream_keep_the_bound() -> None:
    """Load: requests arrive before the first upstream, which refuses all.

    Guards against retries by the larger budget of services with more slots
    while the slots of the service are not known.
    """

    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        policy = make_policy(has_ledger_shards=False, has_ledger_copies=False)
        proxy_fleet.fleet.config = make_config(services={SERVICE: policy})
        entry = await proxy_fleet.add(FakeUpstream(service=KEYED))
        router = make_router(proxy_fleet, entry, options=_ON)
        count = 20
        requests = [make_request(method='POST') for _ in range(count)]
        async with asyncio.TaskGroup() as group:
            for request in requests:
                group.create_task(router.route(request))
            await asyncio.sleep(0.1)
            upstream = FaultyUpstream(service_time_s=0.1, seed=1)
            upstream.refused_share = 1
            await proxy_fleet.add(upstream)
        retries = upstream.sends - count
        assert 0 < retries <= MIN_BURST + _RETRIES.ratio * count

    run_virtual(scenario())


def test_request_tries_three_proxies_while_none_has_capacity(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: three times the capacity, so that all queues are full.

    Guards against sending a request to each proxy of the service in turn.
    """
    tries: Counter[str] = Counter()
    send = AttemptSender.send

    async def count(
        self: AttemptSender,
        target: ProxyStats,
        request: Request,
        **options: Any,
    ) -> AnswerResult:
        tries[request.request_id] += 1
        return await send(self, target, request, **options)

    async def scenario() -> None:
        monkeypatch.setattr(AttemptSender, 'send', count)
        _, callers = await _run(_ON, use=3)
        assert max(tries.values()) == _ON.max_refused_tries
        assert _answered_share(callers) >= 0.9 / 3

    run_virtual(scenario())


def test_refusal_has_the_earliest_retry_time_of_all_tries() -> None:
    """Guards against a caller that waits for the busiest of three proxies."""
    tries = RefusedTries(3)
    for number, retry_after_s in enumerate((0.5, 0.2, 0)):
        assert not tries.is_used_up
        full = Refusal(Outcome.NOT_RUN, RefusalReason.QUEUE_FULL, retry_after_s)
        last = tries.record(Incarnation(number), full, number / 10)
    assert tries.is_used_up
    assert last.retry_after_s == pytest.approx(0.1)
    shed = Refusal(Outcome.NOT_RUN, RefusalReason.SHED)
    assert tries.record(Incarnation(4), shed, 0) is shed


def test_service_with_more_slots_is_served_as_without_options() -> None:
    """Guards against new rules for upstreams with more slots than few."""

    async def scenario(options: RouterOptions) -> list[float]:
        upstreams, callers = await _run(
            options, use=0.9, faulty=4, refused_share=_FAULT_SHARE
        )
        return [
            *(upstream.sends for upstream in upstreams),
            *(call[3] for call in callers.results),
        ]

    others = msgspec.structs.replace(_ON, few_slots=2)
    assert run_virtual(scenario(others)) == run_virtual(scenario(_OFF))
