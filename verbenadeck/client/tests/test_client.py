import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from returns.result import Result

from verbenadeck.client import (
    Call,
    CallError,
    Client,
    ClientOptions,
    EntryAddress,
)
from verbenadeck.client.tests import builders as bld
from verbenadeck.client.tests.builders import ScriptedEntry, calling
from verbenadeck.model import (
    Answer,
    Outcome,
    RefusalReason,
    RequestId,
    ServiceName,
)
from verbenadeck.utils import uuid7_time_s

_HOLDS = ServiceName('holds')
_DEPOSIT = Call(service=_HOLDS, path='/7/deposit', method='POST')
_READ = Call(service=ServiceName('catalogue'), path='/oven-17', key='oven-17')


def _route(
    call: Call,
    *entries: ScriptedEntry,
    options: ClientOptions = bld.FAST,
    known: int = 1,
) -> Result[Answer, CallError]:
    async def scenario() -> Result[Answer, CallError]:
        async with calling(*entries, options=options, known=known) as client:
            return await client.route(call)

    return asyncio.run(scenario())


def _with_client(
    entries: tuple[ScriptedEntry, ...],
    scenario: Callable[[Client], Awaitable[Any]],
    *,
    known: int = 1,
) -> None:
    async def run() -> None:
        async with calling(*entries, known=known) as client:
            await scenario(client)

    asyncio.run(run())


def test_an_answer_comes_whole_with_its_status() -> None:
    entry = ScriptedEntry(bld.answer(b'whole' * 100))
    answer = _route(_DEPOSIT, entry).unwrap()
    assert (answer.status, answer.body) == (200, b'whole' * 100)


def test_a_minted_id_carries_its_time() -> None:
    entry = ScriptedEntry()
    _route(_DEPOSIT, entry)
    assert uuid7_time_s(entry.seen[0][0]) is not None


@pytest.mark.parametrize('loss', [bld.drop, bld.silence, bld.cut])
def test_a_lost_answer_is_asked_for_again_under_the_same_id(
    loss: bld.Step,
) -> None:
    entry = ScriptedEntry(loss, bld.answer(b'settled'))
    assert _route(_DEPOSIT, entry).unwrap().body == b'settled'
    assert len(entry.seen) == 2
    assert entry.seen[0] == entry.seen[1]


def test_a_given_id_is_kept() -> None:
    entry = ScriptedEntry(bld.drop)
    given = RequestId('deposit-7')
    call = Call(service=_HOLDS, path='/7', method='POST', request_id=given)
    _route(call, entry)
    assert {seen[0] for seen in entry.seen} == {given}


def test_not_run_after_a_lost_answer_stays_unknown() -> None:
    shed = bld.refuse(RefusalReason.SHED)
    entry = ScriptedEntry(bld.drop, *(shed for _ in range(20)))
    error = _route(_DEPOSIT, entry).failure()
    assert error.outcome is Outcome.UNKNOWN
    assert error.reason is RefusalReason.SHED


def test_refusals_that_did_not_run_are_retried_and_stay_not_run() -> None:
    shed = bld.refuse(RefusalReason.SHED)
    entry = ScriptedEntry(*(shed for _ in range(20)))
    error = _route(_DEPOSIT, entry).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert error.attempts == len(entry.seen) == bld.FAST.attempts


@pytest.mark.parametrize(
    ('reason', 'outcome'),
    [
        (RefusalReason.POISON, Outcome.NOT_RUN),
        (RefusalReason.BAD_REQUEST, Outcome.NOT_RUN),
        (RefusalReason.LEDGER_LOST, Outcome.UNKNOWN),
        (RefusalReason.UPSTREAM_FAILED, Outcome.UNKNOWN),
    ],
)
def test_final_refusals_are_not_retried(
    reason: RefusalReason, outcome: Outcome
) -> None:
    entry = ScriptedEntry(bld.refuse(reason, outcome))
    error = _route(_DEPOSIT, entry).failure()
    assert (error.reason, error.outcome) == (reason, outcome)
    assert len(entry.seen) == 1


def test_a_hint_beyond_the_deadline_ends_the_call() -> None:
    entry = ScriptedEntry(bld.refuse(RefusalReason.SHED, retry_after_s=60))
    patient = ClientOptions(timeout_s=1, longest_wait_s=60)
    error = _route(_DEPOSIT, entry, options=patient).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert len(entry.seen) == 1


def test_an_answer_of_something_else_on_the_way_is_no_answer() -> None:
    entry = ScriptedEntry(bld.bare(502), bld.answer(b'real'))
    assert _route(_DEPOSIT, entry).unwrap().body == b'real'


def test_nobody_listening_is_not_run() -> None:
    async def scenario() -> Result[Answer, CallError]:
        nobody = ScriptedEntry()
        await nobody.start()
        await nobody.stop()
        client = Client(entries=(nobody.address,), options=bld.FAST)
        await client.start()
        result = await client.route(_DEPOSIT)
        await client.stop()
        return result

    error = asyncio.run(scenario()).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert error.reason is RefusalReason.PEER_LOST


def test_a_hint_leads_straight_to_the_owner() -> None:
    owner = ScriptedEntry()
    first = ScriptedEntry(bld.answer(b'relayed', owner=owner))

    async def scenario(client: Client) -> None:
        await client.route(_READ)
        for _ in range(3):
            await client.route(_READ)

    _with_client((first, owner), scenario)
    assert (len(first.seen), len(owner.seen)) == (1, 3)


def test_a_hint_serves_all_keys_of_the_shard() -> None:
    owner = ScriptedEntry()
    first = ScriptedEntry(bld.answer(b'relayed', owner=owner, shards=1))

    async def scenario(client: Client) -> None:
        await client.route(_READ)
        await client.route(
            Call(service=_READ.service, path='/fryer-3', key='fryer-3')
        )

    _with_client((first, owner), scenario)
    assert [path for _, path in owner.seen] == ['/catalogue/fryer-3']


def test_a_lost_owner_is_left_for_other_entries() -> None:
    owner = ScriptedEntry(bld.drop)
    first = ScriptedEntry(bld.answer(b'relayed', owner=owner))

    async def scenario(client: Client) -> None:
        await client.route(_READ)
        answer = await client.route(_READ)
        assert answer.unwrap().body == b'done'

    _with_client((first, owner), scenario)
    assert (len(first.seen), len(owner.seen)) == (2, 1)


def test_an_entry_that_leaves_is_avoided() -> None:
    leaving = bld.bare(200, is_leaving=True)
    entries = (ScriptedEntry(leaving), ScriptedEntry(leaving))

    async def scenario(client: Client) -> None:
        await client.route(_DEPOSIT)
        await client.route(_DEPOSIT)

    _with_client(entries, scenario, known=2)
    assert [len(entry.seen) for entry in entries] == [1, 1]


def test_an_answer_over_the_limit_is_an_error_not_a_cut() -> None:
    huge = bld.answer(b'x' * 20_000)
    entry = ScriptedEntry(*(huge for _ in range(20)))
    error = _route(_DEPOSIT, entry).failure()
    assert error.outcome is Outcome.UNKNOWN
    assert 'too large' in error.detail


@pytest.mark.parametrize('key', ['', ' a', 'a\r\nX: 1', 'a\x00'])
def test_keys_that_no_header_carries_are_not_run(key: str) -> None:
    entry = ScriptedEntry()
    call = Call(service=_HOLDS, path='/7', key=key)
    error = _route(call, entry).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert error.reason is RefusalReason.BAD_REQUEST
    assert not entry.seen


def test_a_client_without_entries_is_refused() -> None:
    with pytest.raises(ValueError, match='at least one entry'):
        Client(entries=())


def test_addresses_are_plain_tuples() -> None:
    assert EntryAddress('::1', 7480) == ('::1', 7480)
