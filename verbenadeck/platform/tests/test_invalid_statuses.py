"""Answers of instances, in the platform's format, without a final status."""

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from verbenadeck.adapters import (
    Announcement,
    UpstreamFailure,
    UpstreamSession,
)
from verbenadeck.adapters.tests.builders import (
    ABANDONED_AFTER_S,
    DEADLINE_S,
    HOST,
    raw_server,
)
from verbenadeck.adapters.tests.invalid_answers import (
    INVALID_STATUSES,
    make_answer,
    make_invalid_answers,
)
from verbenadeck.model import Request, RequestId, ServiceName
from verbenadeck.platform._exchange import (
    SendResult,
    exchange,
    make_request_headers,
)
from verbenadeck.platform.tests.node_process import (
    CALLER_HOST,
    ENTRY_PORT,
    running_node,
)

_ID_FIELDS = 'Request-Id: id-1\r\n'
_REFUSED_FIELDS = f'{_ID_FIELDS}Not-Executed: 1\r\n'
_ANSWERS = make_invalid_answers(_ID_FIELDS)
_REFUSALS = make_invalid_answers(_REFUSED_FIELDS)
_MEMORY_LIMIT_BYTES = 200_000_000
_SLOTS = 20
_OK = 200
_BAD_GATEWAY = '502'
_START_S = 30.0
_PAUSE_S = 0.05


def _make_request() -> Request:
    return Request(
        RequestId('id-1'),
        ServiceName('desk'),
        None,
        'GET',
        '/a',
        (('Host', 'a.example'),),
        b'',
        True,
        DEADLINE_S,
    )


async def _send_two(first_answer: bytes) -> tuple[tuple[SendResult, ...], int]:
    """Return the results of two requests and the number of connections."""
    script = {1: first_answer}
    request = _make_request()
    headers = make_request_headers(request, 'i-1', DEADLINE_S)
    async with raw_server(
        lambda count: script.get(count, make_answer(200, _ID_FIELDS))
    ) as server:
        session = UpstreamSession(
            Announcement(
                ServiceName('desk'), 'i-1@5', HOST, server.port, 4, 8, 4
            )
        )
        results = [
            await asyncio.wait_for(
                exchange(session, request, headers, DEADLINE_S),
                ABANDONED_AFTER_S,
            )
            for _ in range(2)
        ]
        await session.close()
        return tuple(results), server.connection_count


# Guards against the answer of a failing instance that callers take for one of
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
def test_not_executed_without_final_status_does_not_mean_not_run(
    form: str,
) -> None:
    results, _ = asyncio.run(_send_two(_REFUSALS[form]))
    assert results[0].failure().failure is UpstreamFailure.BROKEN


async def _answer_as_path_says(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request with the status and the field that its path names."""
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            fields = dict(
                line.split(': ', 1)
                for line in head.splitlines()
                if ': ' in line
            )
            _, status, name = head.split()[1].split('/')
            id_field = f'Request-Id: {fields["Request-Id"]}\r\n'
            writer.write(make_answer(int(status), f'{id_field}{name}: 1\r\n'))
    writer.close()


async def _call(host: str, status: int, name: str) -> str:
    """Return the status that a caller gets, as its node writes it."""
    reader, writer = await asyncio.open_connection(host, ENTRY_PORT)
    writer.write(
        f'GET /{status:03}/{name} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n'
        f'Request-Id: r-{status}\r\nDeadline-Ms: 5000\r\n\r\n'.encode()
    )
    status_line = await reader.readline()
    writer.close()
    return status_line.split()[1].decode()


async def _call_node(folder: Path, name: str) -> dict[int, str]:
    """Return the status that a caller gets for each one of the instance."""
    async with running_node(
        folder,
        respond=_answer_as_path_says,
        slots=_SLOTS,
        limit_bytes=_MEMORY_LIMIT_BYTES,
    ) as node:
        async with asyncio.timeout(_START_S):
            while await _call(node.host, _OK, 'X-Sound') != str(_OK):
                await asyncio.sleep(_PAUSE_S)
        return {
            status: await _call(node.host, status, name)
            for status in INVALID_STATUSES
        }


# Guards against a caller that gets an invalid status, or a status that
# guarantees that its request has not run.
@pytest.mark.parametrize('name', ['X-Other', 'Not-Executed'])
def test_caller_gets_bad_gateway_for_each_invalid_status(
    name: str, tmp_path: Path
) -> None:
    statuses = asyncio.run(_call_node(tmp_path, name))
    assert statuses == dict.fromkeys(INVALID_STATUSES, _BAD_GATEWAY)
