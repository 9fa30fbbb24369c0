"""Admission of requests and deduplication of request ids."""

import asyncio

from returns.result import Success

from verbenadeck.model import Answer, AttemptId
from verbenadeck.proxy.tests.builders import (
    ProxyFleet,
    make_deposit,
    make_request,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.testing import run_virtual


def test_request_is_answered_by_the_upstream() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        request = make_request(request_id='one')
        result = await node.proxy.admit(AttemptId('a1'), request)
        assert result == Success(Answer(200, (), b'one'))
        assert node.upstream.runs['one'] == 1

    run_virtual(scenario())


def test_request_id_sent_twice_runs_once() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        site.own_all(node)
        deposit = make_deposit('deposit-1')
        first, second = await asyncio.gather(
            node.proxy.admit(AttemptId('a1'), deposit),
            node.proxy.admit(AttemptId('b1'), deposit),
        )
        third = await node.proxy.admit(AttemptId('c1'), deposit)
        assert (
            first == second == third == Success(Answer(200, (), b'deposit-1'))
        )
        assert node.upstream.runs['deposit-1'] == 1

    run_virtual(scenario())


def test_running_requests_never_exceed_the_slots() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=3))
        results = await asyncio.gather(
            *(
                node.proxy.admit(AttemptId(f'a{number}'), make_request())
                for number in range(20)
            )
        )
        assert all(isinstance(result, Success) for result in results)
        assert node.upstream.max_running == 3

    run_virtual(scenario())
