"""Deadlines, cancellation and slots that are held without an answer."""

import asyncio
from collections.abc import Callable

import pytest
from returns.result import Success

from verbenadeck.model import AttemptId, Outcome, RefusalReason, Request
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    admit,
    answered,
    make_deposit,
    make_request,
    verdict,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream, make_policy
from verbenadeck.testing import run_virtual


async def _busy_node(
    *, slots: int = 1, service_time_s: float = 1
) -> tuple[Node, asyncio.Task[object]]:
    site = ProxyFleet()
    node = await site.add(
        FakeUpstream(slots=slots, service_time_s=service_time_s)
    )
    site.own_all(node)
    first = asyncio.create_task(admit(node, make_request()))
    await asyncio.sleep(0)
    return node, first


def test_request_past_its_deadline_does_not_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        request = make_request(timeout_s=0)
        assert verdict(await admit(node, request)) == (
            Outcome.NOT_RUN,
            RefusalReason.DEADLINE,
        )
        assert not node.upstream.runs

    run_virtual(scenario())


def test_request_whose_deadline_passes_in_the_queue_is_not_run() -> None:
    async def scenario() -> None:
        node, first = await _busy_node()
        late = make_request(timeout_s=0.5)
        assert verdict(await admit(node, late)) == (
            Outcome.NOT_RUN,
            RefusalReason.DEADLINE,
        )
        await first
        assert node.upstream.runs[late.request_id] == 0

    run_virtual(scenario())


def test_request_with_expected_wait_beyond_its_deadline_is_refused_at_once() -> (
    None
):
    async def scenario() -> None:
        node, first = await _busy_node()
        await first
        node.upstream.service_time_s = 10
        second = asyncio.create_task(admit(node, make_request(timeout_s=20)))
        await asyncio.sleep(0)
        started_s = asyncio.get_running_loop().time()
        late = await admit(node, make_request(timeout_s=0.9))
        assert verdict(late) == (Outcome.NOT_RUN, RefusalReason.DEADLINE)
        assert asyncio.get_running_loop().time() == started_s
        await second

    run_virtual(scenario())


def test_deadline_during_the_run_cancels_a_repeatable_request() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service_time_s=3))
        request = make_request(timeout_s=1)
        outcome, _ = verdict(await admit(node, request))
        await asyncio.sleep(0)
        assert outcome is Outcome.UNKNOWN
        assert node.upstream.cancelled == [request.request_id]

    run_virtual(scenario())


def test_non_repeatable_request_continues_past_its_deadline_and_is_recorded() -> (
    None
):
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service_time_s=3))
        site.own_all(node)
        deposit = make_deposit('d1', timeout_s=1)
        assert verdict(await admit(node, deposit)) == (
            Outcome.UNKNOWN,
            RefusalReason.DEADLINE,
        )
        again = make_deposit('d1', timeout_s=5)
        assert await admit(node, again) == answered(again)
        assert node.upstream.runs['d1'] == 1
        assert not node.upstream.cancelled

    run_virtual(scenario())


def test_full_queue_refuses_requests_as_not_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        site.fleet.config.services[make_request().service] = make_policy(
            queue_limit=2
        )
        node = await site.add(FakeUpstream(slots=1))
        requests = [make_request() for _ in range(5)]
        results = await asyncio.gather(*(admit(node, one) for one in requests))
        for request, result in zip(requests, results, strict=True):
            if isinstance(result, Success):
                continue
            assert verdict(result) == (
                Outcome.NOT_RUN,
                RefusalReason.QUEUE_FULL,
            )
            assert node.upstream.runs[request.request_id] == 0
        assert sum(node.upstream.runs.values()) == 3

    run_virtual(scenario())


@pytest.mark.parametrize('make', [make_request, make_deposit])
def test_queued_request_without_a_waiting_caller_does_not_run(
    make: Callable[[], Request],
) -> None:
    async def scenario() -> None:
        node, first = await _busy_node()
        request = make()
        waiting = asyncio.create_task(admit(node, request))
        await asyncio.sleep(0.1)
        waiting.cancel()
        await first
        await asyncio.sleep(2)
        assert node.upstream.runs[request.request_id] == 0
        assert node.proxy.load.queued == 0
        assert node.proxy.load.running == 0

    run_virtual(scenario())


def test_disconnected_caller_cancels_only_its_repeatable_request() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service_time_s=1))
        site.own_all(node)
        read, deposit = make_request(), make_deposit()
        tasks = [
            asyncio.create_task(admit(node, read)),
            asyncio.create_task(admit(node, deposit)),
        ]
        await asyncio.sleep(0.1)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(2)
        assert node.upstream.cancelled == [read.request_id]
        assert await admit(node, deposit) == answered(deposit)
        assert node.upstream.runs[deposit.request_id] == 1

    run_virtual(scenario())


def test_cancelled_attempt_that_arrives_late_does_not_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        await node.proxy.cancel(AttemptId('a1'))
        request = make_request()
        assert verdict(await admit(node, request, 'a1')) == (
            Outcome.NOT_RUN,
            RefusalReason.CANCELLED,
        )
        assert not node.upstream.runs

    run_virtual(scenario())


def test_refused_attempt_that_arrives_again_does_not_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        node.upstream.is_connected = False
        request = make_request()
        outcome, _ = verdict(await admit(node, request, 'a1'))
        assert outcome is Outcome.NOT_RUN
        node.upstream.is_connected = True
        assert verdict(await admit(node, request, 'a1'))[0] is outcome
        assert not node.upstream.runs

    run_virtual(scenario())


def test_slot_of_an_unanswered_request_is_held_then_released() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=1))
        node.upstream.is_silent = True
        await admit(node, make_request(timeout_s=1))
        assert node.proxy.load.running == 1
        node.upstream.is_silent = False
        request = make_request()
        assert await admit(node, request) == answered(request)

    run_virtual(scenario())


def test_exception_while_sending_releases_the_slot() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=1))
        node.upstream.raises = True
        with pytest.raises(RuntimeError):
            await admit(node, make_request())
        node.upstream.raises = False
        request = make_request()
        assert await admit(node, request) == answered(request)

    run_virtual(scenario())
