"""Answers of instances that break the rules of HTTP."""

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest
from returns.result import Failure, Success

from verbenadeck.adapters import (
    Announcement,
    UpstreamFailure,
    UpstreamSession,
)
from verbenadeck.model import Request, RequestId, ServiceName
from verbenadeck.platform._exchange import Sent, exchange, order_headers

_RESET = struct.pack('ii', 1, 0)
_Act = Callable[[asyncio.StreamWriter], None]


def _answer(
    request_id: str, fields: str, body: str, *, status: int = 200
) -> bytes:
    start = f'HTTP/1.1 {status} OK\r\nRequest-Id: {request_id}\r\n'
    return f'{start}{fields}\r\n{body}'.encode()


def _request(request_id: str = 'r1') -> Request:
    return Request(
        RequestId(request_id),
        ServiceName('desk'),
        None,
        'GET',
        '/a?b=1',
        (('Host', 'a.example'),),
        b'',
        True,
        10.0,
    )


def _session(port: int) -> UpstreamSession:
    return UpstreamSession(
        Announcement(ServiceName('desk'), 'i-1@5', '127.0.0.1', port, 4, 8, 4)
    )


async def _send(act: _Act) -> Sent:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        act(writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    session = _session(server.sockets[0].getsockname()[1])
    try:
        request = _request()
        headers = order_headers(request, 'i-1', 2.0)
        return await exchange(session, request, headers, 2.0)
    finally:
        await session.close()
        server.close()


def _end(writer: asyncio.StreamWriter) -> None:
    writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    made = writer.get_extra_info('socket')
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _unframed(end: _Act) -> _Act:
    def act(writer: asyncio.StreamWriter) -> None:
        writer.write(_answer('r1', '', 'bytes'))
        asyncio.get_running_loop().call_later(0.05, end, writer)

    return act


def test_an_answer_without_length_ends_with_its_connection() -> None:
    match asyncio.run(_send(_unframed(_end))):
        case Success(answer):
            assert answer.body == b'bytes'
        case Failure(error):
            pytest.fail(error.detail)


def test_an_answer_without_length_that_is_reset_is_not_complete() -> None:
    failure = asyncio.run(_send(_unframed(_reset))).failure()
    assert failure.failure is UpstreamFailure.BROKEN


def test_a_length_that_is_not_reached_is_not_complete() -> None:
    def act(writer: asyncio.StreamWriter) -> None:
        writer.write(_answer('r1', 'Content-Length: 9\r\n', 'bytes'))
        writer.close()

    failure = asyncio.run(_send(act)).failure()
    assert failure.failure is UpstreamFailure.BROKEN


def test_an_answer_to_another_request_is_none() -> None:
    def act(writer: asyncio.StreamWriter) -> None:
        writer.write(_answer('r0', 'Content-Length: 2\r\n', 'ab'))

    failure = asyncio.run(_send(act)).failure()
    assert failure.failure is UpstreamFailure.BROKEN


@pytest.mark.parametrize(
    ('status', 'header', 'failure'),
    [
        (503, 'Not-Executed: 1', UpstreamFailure.SHED),
        (429, 'Not-Executed: 1', UpstreamFailure.SHED),
        (421, 'Instance-Id: i-2', UpstreamFailure.FENCED),
    ],
)
def test_a_refusal_of_the_instance_means_not_run(
    status: int, header: str, failure: UpstreamFailure
) -> None:
    def act(writer: asyncio.StreamWriter) -> None:
        fields = f'{header}\r\nContent-Length: 0\r\n'
        writer.write(_answer('r1', fields, '', status=status))

    assert asyncio.run(_send(act)).failure().failure is failure


def test_a_503_without_that_word_is_an_answer() -> None:
    def act(writer: asyncio.StreamWriter) -> None:
        writer.write(
            b'HTTP/1.1 503 No\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n'
        )

    assert asyncio.run(_send(act)).unwrap().status == 503
