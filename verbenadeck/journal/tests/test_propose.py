"""Proposals: verdicts, lost answers and concurrent appends."""

import asyncio

from returns.result import Failure, Success

from verbenadeck.fleet.tests.builders import make_join, make_published
from verbenadeck.journal import JournalFailure
from verbenadeck.journal.tests.builders import make_client
from verbenadeck.model import Incarnation
from verbenadeck.records import Verdict
from verbenadeck.testing import MemoryLog, run_virtual, virtual_clock


def test_proposal_returns_verdict_after_read_back() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        client, _adapter = make_client(MemoryLog(), clock)
        await client.start()
        answer = await client.propose(make_join('node-0'), deadline_s=5)
        assert answer.unwrap().verdict is Verdict.ACCEPTED
        joined = Incarnation(answer.unwrap().offset)
        assert list(client.fleet.members) == [joined]
        await client.stop()

    run_virtual(scenario())


def test_append_with_lost_answer_is_applied_once() -> None:
    async def scenario() -> None:
        log, clock = MemoryLog(), virtual_clock()
        client, _adapter = make_client(log, clock)
        await client.start()
        log.lost_answers = 1
        answer = await client.propose(make_join('node-0'), deadline_s=5)
        assert answer.unwrap().verdict is Verdict.ACCEPTED
        assert len(client.fleet.members) == 1
        await client.stop()

    run_virtual(scenario())


def test_append_fails_as_not_appended_when_log_stays_down() -> None:
    async def scenario() -> None:
        log, clock = MemoryLog(), virtual_clock()
        client, _adapter = make_client(log, clock)
        await client.start()
        log.is_up = False
        answer = await client.propose(make_join('node-0'), deadline_s=3)
        assert answer.failure().failure is JournalFailure.NOT_APPENDED
        log.is_up = True
        await asyncio.sleep(5)
        assert client.fleet.members == {}
        await client.stop()

    run_virtual(scenario())


def test_concurrent_proposals_are_all_accepted() -> None:
    async def scenario() -> None:
        log, clock = MemoryLog(), virtual_clock()
        client, _adapter = make_client(log, clock)
        await client.start()
        log.lost_answers = 7
        answers = await asyncio.gather(
            *(
                client.propose(make_join(f'node-{index}'), deadline_s=20)
                for index in range(200)
            )
        )
        verdicts = {answer.unwrap().verdict for answer in answers}
        assert verdicts == {Verdict.ACCEPTED}
        assert len(client.fleet.members) == 200
        await client.stop()

    run_virtual(scenario())


def test_one_of_two_concurrent_documents_is_stale() -> None:
    async def scenario() -> None:
        log, clock = MemoryLog(), virtual_clock()
        clients = [
            make_client(log, clock, node_id=name)[0] for name in ('a', 'b')
        ]
        for client in clients:
            await client.start()
        answers = await asyncio.gather(
            *(
                client.propose(make_published(), deadline_s=5)
                for client in clients
            )
        )
        verdicts = [answer.unwrap().verdict for answer in answers]
        assert sorted(verdicts, key=str) == [Verdict.ACCEPTED, Verdict.STALE]
        for client in clients:
            assert client.fleet.config_version == 1
            await client.stop()

    run_virtual(scenario())


def test_undecodable_records_are_skipped() -> None:
    async def scenario() -> None:
        log, clock = MemoryLog(), virtual_clock()
        log.records.extend((b'', b'noise', b'\x95\x01' * 40))
        client, _adapter = make_client(log, clock)
        await client.start()
        answer = await client.propose(make_published(), deadline_s=5)
        match answer:
            case Success(applied):
                assert applied.offset == 3
            case Failure(error):
                raise AssertionError(error)
        await client.stop()

    run_virtual(scenario())
