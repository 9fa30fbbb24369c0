"""Answers of upstreams, in the 'standin' format, without a final status."""

import asyncio

import pytest
from loguru import logger
from returns.result import Result

from verbenadeck.adapters import UpstreamError, UpstreamFailure
from verbenadeck.adapters.tests.builders import (
    ABANDONED_AFTER_S,
    build_adapter,
    build_upstream_request,
    raw_server,
)
from verbenadeck.adapters.tests.invalid_answers import (
    INVALID_STATUSES,
    make_answer,
    make_invalid_answers,
)
from verbenadeck.model import Answer
from verbenadeck.utils import Clock

_REFUSED_FIELDS = 'Upstream-Refused: shed\r\n'
_ANSWERS = make_invalid_answers('')
_REFUSALS = make_invalid_answers(_REFUSED_FIELDS)
_ACCEPTED_STATUSES = (200, 299, 302, 404, 500, 599)
_Results = tuple[Result[Answer, UpstreamError], ...]


async def _send_two(
    first_answer: bytes,
) -> tuple[_Results, int]:
    """Return the results of two requests and the number of connections."""
    clock = Clock()
    script = {1: first_answer}
    async with raw_server(
        lambda count: script.get(count, make_answer(200, ''))
    ) as server:
        adapter = build_adapter(clock, server.port)
        results = [
            await asyncio.wait_for(
                adapter.send(
                    build_upstream_request(
                        clock, method='GET', is_repeatable=True
                    )
                ),
                ABANDONED_AFTER_S,
            )
            for _ in range(2)
        ]
        await adapter.close()
        return tuple(results), server.connection_count


# Guards against the answer of a failing upstream that callers take for one of
# their request, and against the next answer on its connection.
@pytest.mark.parametrize('form', sorted(_ANSWERS))
def test_answer_without_final_status_is_broken_and_ends_its_connection(
    form: str,
) -> None:
    results, connection_count = asyncio.run(_send_two(_ANSWERS[form]))
    assert results[0].failure().failure is UpstreamFailure.BROKEN
    assert results[1].unwrap().status == 200
    assert connection_count == 2


# Guards against a request that ran and is reported as not run.
@pytest.mark.parametrize('form', sorted(_REFUSALS))
def test_refusal_without_final_status_does_not_mean_not_run(form: str) -> None:
    results, _ = asyncio.run(_send_two(_REFUSALS[form]))
    assert results[0].failure().failure is UpstreamFailure.BROKEN


@pytest.mark.parametrize('status', _ACCEPTED_STATUSES)
def test_final_status_is_an_answer_and_keeps_its_connection(
    status: int,
) -> None:
    results, connection_count = asyncio.run(_send_two(make_answer(status, '')))
    assert results[0].unwrap().status == status
    assert connection_count == 1


# Guards against a failing upstream whose statuses operators can't find.
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_invalid_status_is_logged_once(status: int) -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, format='{message}')
    try:
        results, _ = asyncio.run(_send_two(make_answer(status, '')))
    finally:
        logger.remove(sink)
    named = [line for line in lines if f'status {status:03}' in line]
    assert len(named) == 1
    assert f'status {status:03}' in results[0].failure().detail
