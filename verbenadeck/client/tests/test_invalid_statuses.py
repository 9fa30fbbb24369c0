"""Answers to the client, over real connections, without a final status."""

import asyncio
import random

import msgspec
import pytest
from returns.result import Result

from verbenadeck.adapters.tests.builders import HOST, raw_server
from verbenadeck.adapters.tests.invalid_answers import (
    make_answer,
    make_invalid_answers,
)
from verbenadeck.client import Call, CallError, Client, EntryAddress
from verbenadeck.client.tests.builders import FAST_OPTIONS
from verbenadeck.model import Answer, Outcome, ServiceName

_ID_FIELDS = 'Verbenadeck-Request-Id: id-1\r\n'
_REFUSED_FIELDS = f'{_ID_FIELDS}Verbenadeck-Outcome: not-run\r\n'
_ANSWERS = make_invalid_answers(_ID_FIELDS)
_REFUSALS = make_invalid_answers(_REFUSED_FIELDS)
# No attempt ends by its time-out on a slow machine.
_OPTIONS = msgspec.structs.replace(
    FAST_OPTIONS, timeout_s=30, attempt_timeout_s=10
)
_CALL = Call(service=ServiceName('holds'), path='/7/deposit', method='POST')


async def _call(
    invalid: bytes, *, invalid_count: int
) -> tuple[Result[Answer, CallError], int]:
    """Return the result of a call and the number of connections.

    The entry sends the invalid answer to the first attempts.
    """

    def answer(count: int) -> bytes:
        return (
            invalid if count <= invalid_count else make_answer(200, _ID_FIELDS)
        )

    async with raw_server(answer) as server:
        client = Client(
            entries=(EntryAddress(HOST, server.port),),
            source=random.Random(1),
            options=_OPTIONS,
        )
        await client.start()
        result = await client.route(_CALL)
        await client.stop()
        return result, server.connection_count


# Guards against a caller that takes a broken answer for one of its request,
# and against the next answer on its connection.
@pytest.mark.parametrize('form', sorted(_ANSWERS))
def test_attempt_without_final_status_is_repeated_on_a_new_connection(
    form: str,
) -> None:
    result, connection_count = asyncio.run(
        _call(_ANSWERS[form], invalid_count=1)
    )
    assert result.unwrap().status == 200
    assert connection_count == 2


# Guards against a request that ran and is reported as not run.
@pytest.mark.parametrize('form', sorted(_REFUSALS))
def test_refusal_without_final_status_does_not_mean_not_run(form: str) -> None:
    result, _ = asyncio.run(
        _call(_REFUSALS[form], invalid_count=_OPTIONS.attempts)
    )
    assert result.failure().outcome is Outcome.UNKNOWN
