"""Retries, outcomes and owner hints of the client."""

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
from verbenadeck.client.tests import builders
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
    *entries: builders.ScriptedEntry,
    options: ClientOptions = builders.FAST_OPTIONS,
    known_count: int = 1,
) -> Result[Answer, CallError]:
    async def scenario() -> Result[Answer, CallError]:
        async with builders.calling(
            *entries, options=options, known_count=known_count
        ) as client:
            return await client.route(call)

    return asyncio.run(scenario())


def _with_client(
    entries: tuple[builders.ScriptedEntry, ...],
    scenario: Callable[[Client], Awaitable[Any]],
    *,
    known_count: int = 1,
) -> None:
    async def run() -> None:
        async with builders.calling(
            *entries, known_count=known_count
        ) as client:
            await scenario(client)

    asyncio.run(run())


def test_answer_is_returned_whole_with_its_status() -> None:
    entry = builders.ScriptedEntry(builders.answer(b'whole' * 100))
    answer = _route(_DEPOSIT, entry).unwrap()
    assert (answer.status, answer.body) == (200, b'whole' * 100)


def test_generated_request_id_contains_its_time() -> None:
    entry = builders.ScriptedEntry()
    _route(_DEPOSIT, entry)
    assert uuid7_time_s(entry.received[0][0]) is not None


@pytest.mark.parametrize(
    'loss',
    [
        builders.close_without_answer,
        builders.never_answer,
        builders.send_half_answer,
    ],
)
def test_request_with_lost_answer_is_resent_under_the_same_id(
    loss: builders.Step,
) -> None:
    entry = builders.ScriptedEntry(loss, builders.answer(b'settled'))
    assert _route(_DEPOSIT, entry).unwrap().body == b'settled'
    assert len(entry.received) == 2
    assert entry.received[0] == entry.received[1]


def test_given_request_id_is_kept() -> None:
    entry = builders.ScriptedEntry(builders.close_without_answer)
    given = RequestId('deposit-7')
    call = Call(service=_HOLDS, path='/7', method='POST', request_id=given)
    _route(call, entry)
    assert {received[0] for received in entry.received} == {given}


def test_outcome_stays_unknown_when_not_run_follows_a_lost_answer() -> None:
    shed = builders.refuse(RefusalReason.SHED)
    entry = builders.ScriptedEntry(
        builders.close_without_answer, *(shed for _ in range(20))
    )
    error = _route(_DEPOSIT, entry).failure()
    assert error.outcome is Outcome.UNKNOWN
    assert error.reason is RefusalReason.SHED


def test_refusals_as_not_run_are_retried_and_give_not_run() -> None:
    shed = builders.refuse(RefusalReason.SHED)
    entry = builders.ScriptedEntry(*(shed for _ in range(20)))
    error = _route(_DEPOSIT, entry).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert (
        error.attempts == len(entry.received) == builders.FAST_OPTIONS.attempts
    )


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
    entry = builders.ScriptedEntry(builders.refuse(reason, outcome))
    error = _route(_DEPOSIT, entry).failure()
    assert (error.reason, error.outcome) == (reason, outcome)
    assert len(entry.received) == 1


def test_retry_hint_beyond_the_deadline_ends_the_call() -> None:
    entry = builders.ScriptedEntry(
        builders.refuse(RefusalReason.SHED, retry_after_s=60)
    )
    waiting_options = ClientOptions(timeout_s=1, longest_wait_s=60)
    error = _route(_DEPOSIT, entry, options=waiting_options).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert len(entry.received) == 1


def test_answer_without_router_headers_is_retried() -> None:
    entry = builders.ScriptedEntry(
        builders.answer_without_headers(502), builders.answer(b'real')
    )
    assert _route(_DEPOSIT, entry).unwrap().body == b'real'


def test_refused_connection_is_not_run() -> None:
    async def scenario() -> Result[Answer, CallError]:
        stopped_entry = builders.ScriptedEntry()
        await stopped_entry.start()
        await stopped_entry.stop()
        client = Client(
            entries=(stopped_entry.address,), options=builders.FAST_OPTIONS
        )
        await client.start()
        result = await client.route(_DEPOSIT)
        await client.stop()
        return result

    error = asyncio.run(scenario()).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert error.reason is RefusalReason.PEER_LOST


def test_owner_hint_sends_later_calls_to_the_owner() -> None:
    owner = builders.ScriptedEntry()
    first = builders.ScriptedEntry(builders.answer(b'relayed', owner=owner))

    async def scenario(client: Client) -> None:
        await client.route(_READ)
        for _ in range(3):
            await client.route(_READ)

    _with_client((first, owner), scenario)
    assert (len(first.received), len(owner.received)) == (1, 3)


def test_owner_hint_applies_to_all_keys_of_the_shard() -> None:
    owner = builders.ScriptedEntry()
    first = builders.ScriptedEntry(
        builders.answer(b'relayed', owner=owner, shards=1)
    )

    async def scenario(client: Client) -> None:
        await client.route(_READ)
        await client.route(
            Call(service=_READ.service, path='/fryer-3', key='fryer-3')
        )

    _with_client((first, owner), scenario)
    assert [path for _, path in owner.received] == ['/catalogue/fryer-3']


def test_call_goes_to_another_entry_when_the_owner_is_lost() -> None:
    owner = builders.ScriptedEntry(builders.close_without_answer)
    first = builders.ScriptedEntry(builders.answer(b'relayed', owner=owner))

    async def scenario(client: Client) -> None:
        await client.route(_READ)
        answer = await client.route(_READ)
        assert answer.unwrap().body == b'done'

    _with_client((first, owner), scenario)
    assert (len(first.received), len(owner.received)) == (2, 1)


def test_leaving_entry_is_avoided() -> None:
    leaving = builders.answer_without_headers(200, is_leaving=True)
    entries = (builders.ScriptedEntry(leaving), builders.ScriptedEntry(leaving))

    async def scenario(client: Client) -> None:
        await client.route(_DEPOSIT)
        await client.route(_DEPOSIT)

    _with_client(entries, scenario, known_count=2)
    assert [len(entry.received) for entry in entries] == [1, 1]


def test_answer_over_the_size_limit_is_an_error() -> None:
    large_answer = builders.answer(b'x' * 20_000)
    entry = builders.ScriptedEntry(*(large_answer for _ in range(20)))
    error = _route(_DEPOSIT, entry).failure()
    assert error.outcome is Outcome.UNKNOWN
    assert 'too large' in error.detail


@pytest.mark.parametrize('key', ['', ' a', 'a\r\nX: 1', 'a\x00'])
def test_keys_that_are_invalid_in_headers_are_not_run(key: str) -> None:
    entry = builders.ScriptedEntry()
    call = Call(service=_HOLDS, path='/7', key=key)
    error = _route(call, entry).failure()
    assert error.outcome is Outcome.NOT_RUN
    assert error.reason is RefusalReason.BAD_REQUEST
    assert not entry.received


def test_client_without_entries_raises_value_error() -> None:
    with pytest.raises(ValueError, match='at least one entry'):
        Client(entries=())


def test_entry_addresses_compare_equal_to_tuples() -> None:
    assert EntryAddress('::1', 7480) == ('::1', 7480)
