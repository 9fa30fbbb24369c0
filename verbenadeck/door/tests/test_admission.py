import asyncio

from returns.result import Success

from verbenadeck.door.tests.builders import Site, make_deposit, make_request
from verbenadeck.door.tests.fakes import FakeUpstream
from verbenadeck.model import Answer, AttemptId
from verbenadeck.testing import run_virtual


def test_a_request_is_answered_by_the_upstream() -> None:
    async def scenario() -> None:
        site = Site()
        node = await site.add()
        request = make_request(request_id='one')
        result = await node.door.admit(AttemptId('a1'), request)
        assert result == Success(Answer(200, (), b'one'))
        assert node.upstream.runs['one'] == 1

    run_virtual(scenario())


def test_one_id_that_is_sent_twice_runs_once() -> None:
    async def scenario() -> None:
        site = Site()
        node = await site.add()
        site.own_all(node)
        deposit = make_deposit('deposit-1')
        first, second = await asyncio.gather(
            node.door.admit(AttemptId('a1'), deposit),
            node.door.admit(AttemptId('b1'), deposit),
        )
        third = await node.door.admit(AttemptId('c1'), deposit)
        assert (
            first == second == third == Success(Answer(200, (), b'deposit-1'))
        )
        assert node.upstream.runs['deposit-1'] == 1

    run_virtual(scenario())


def test_never_more_run_than_there_are_slots() -> None:
    async def scenario() -> None:
        site = Site()
        node = await site.add(FakeUpstream(slots=3))
        results = await asyncio.gather(
            *(
                node.door.admit(AttemptId(f'a{number}'), make_request())
                for number in range(20)
            )
        )
        assert all(isinstance(result, Success) for result in results)
        assert node.upstream.most_running == 3

    run_virtual(scenario())
