"""Exchanges with instances whose answers may be truncated or misdirected."""

import asyncio
import socket
import struct
from collections.abc import Callable

import msgspec
import pytest
from returns.result import Failure, Success

from verbenadeck.adapters import (
    Announcement,
    UpstreamFailure,
    UpstreamRequest,
    UpstreamSession,
)
from verbenadeck.adapters.tests.builders import (
    ABANDONED_AFTER_S,
    DEADLINE_S,
    ENDLESS_ANSWERS,
    ENDLESS_BYTES,
    MAX_DETAIL_LENGTH,
    endless_server,
)
from verbenadeck.model import NO_FENCE, Request, RequestId, ServiceName
from verbenadeck.platform._exchange import (
    SendResult,
    exchange,
    make_request_headers,
)
from verbenadeck.platform._heartbeats import read_heartbeat
from verbenadeck.platform._units import Address
from verbenadeck.platform.tests.builders import (
    EXPECTED_UPSTREAM,
    make_deadline_s,
    make_heartbeat_body,
    make_upstream,
)
from verbenadeck.platform.tests.stepped_loop import SteppedLoop, run_stepped
from verbenadeck.utils import reply_margin_s

_LINGER_WITH_RESET = struct.pack('ii', 1, 0)
_LARGE_UPLOAD_BYTES = 20_000_000
_SMALL_BUFFER_BYTES = 4_096
_TIMEOUT_S = 0.6
_ServerAction = Callable[[asyncio.StreamWriter], None]


def _make_answer(
    request_id: str, fields: str, body: str, *, status: int = 200
) -> bytes:
    head = f'HTTP/1.1 {status} OK\r\nRequest-Id: {request_id}\r\n'
    return f'{head}{fields}\r\n{body}'.encode()


def _make_request(request_id: str = 'r1') -> Request:
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


def _make_session(port: int) -> UpstreamSession:
    return UpstreamSession(
        Announcement(ServiceName('desk'), 'i-1@5', '127.0.0.1', port, 4, 8, 4)
    )


async def _send_request(respond: _ServerAction) -> SendResult:
    writers: list[asyncio.StreamWriter] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        respond(writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    session = _make_session(server.sockets[0].getsockname()[1])
    try:
        request = _make_request()
        headers = make_request_headers(request, 'i-1', 2.0)
        return await exchange(session, request, headers, 2.0)
    finally:
        await session.close()
        for writer in writers:
            writer.close()
        server.close()


def _close_connection(writer: asyncio.StreamWriter) -> None:
    writer.close()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    connection_socket = writer.get_extra_info('socket')
    connection_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITH_RESET
    )
    writer.transport.abort()


def _answer_without_length(end: _ServerAction) -> _ServerAction:
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(_make_answer('r1', '', 'bytes'))
        asyncio.get_running_loop().call_later(0.05, end, writer)

    return respond


def test_answer_without_length_is_complete_when_connection_is_closed() -> None:
    match asyncio.run(_send_request(_answer_without_length(_close_connection))):
        case Success(answer):
            assert answer.body == b'bytes'
        case Failure(error):
            pytest.fail(error.detail)


def test_answer_without_length_is_broken_when_connection_is_reset() -> None:
    failure = asyncio.run(
        _send_request(_answer_without_length(_reset_connection))
    ).failure()
    assert failure.failure is UpstreamFailure.BROKEN


def test_answer_shorter_than_its_length_is_broken() -> None:
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(_make_answer('r1', 'Content-Length: 9\r\n', 'bytes'))
        writer.close()

    failure = asyncio.run(_send_request(respond)).failure()
    assert failure.failure is UpstreamFailure.BROKEN


async def _answer_at(
    loop: SteppedLoop, find_time_s: Callable[[float], float]
) -> tuple[SendResult, float]:
    """Send a request that is answered at a time that its deadline decides.

    Returns
    -------
    tuple of (SendResult, float)
        Result, and the deadline that the instance got, in seconds.
    """
    deadlines_s: list[float] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.split(b': ', 1) for line in head.splitlines() if b': ' in line
        )
        deadlines_s.append(int(fields[b'Deadline-Ms']) / 1000)
        await loop.advance_to(find_time_s(deadlines_s[0]))
        writer.write(
            _make_answer('r1', 'Content-Length: 0\r\n', '', status=504)
        )
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    session = _make_session(server.sockets[0].getsockname()[1])
    request = _make_request()
    headers = make_request_headers(request, 'i-1', _TIMEOUT_S)
    result = await exchange(session, request, headers, _TIMEOUT_S)
    await session.close()
    server.close()
    return result, deadlines_s[0]


# Guards against slots that stay taken after an instance has stopped its run.
def test_answer_of_instance_that_stops_at_its_deadline_is_taken() -> None:
    """The instance also has the whole margin to send its answer."""
    margin_s = reply_margin_s(_TIMEOUT_S)

    def find_time_s(deadline_s: float) -> float:
        return deadline_s + margin_s * 0.9

    loop = SteppedLoop()
    result, deadline_s = run_stepped(_answer_at(loop, find_time_s), loop)
    assert result.unwrap().status == 504
    assert deadline_s == pytest.approx(_TIMEOUT_S - margin_s, abs=0.001)
    assert deadline_s <= _TIMEOUT_S - margin_s


def test_answer_after_the_deadline_of_the_exchange_is_not_taken() -> None:
    # Shows that the time-out follows the time that these tests set.
    loop = SteppedLoop()
    result, _ = run_stepped(_answer_at(loop, lambda _: _TIMEOUT_S), loop)
    assert result.failure().failure is UpstreamFailure.BROKEN


# Guards against an answer that waits for the end of the upload, or for a timer
# that was set meanwhile: no time passes here.
@pytest.mark.parametrize('is_repeatable', [True, False])
def test_answer_before_the_end_of_an_upload_is_delivered_at_once(
    is_repeatable: bool,
) -> None:
    """The instance reads nothing more until its answer has been delivered."""

    async def send() -> SendResult:
        delivered = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_make_answer('r1', 'Content-Length: 2\r\n', 'ok'))
            await delivered.wait()
            writer.close()

        server = await asyncio.start_server(
            serve, '127.0.0.1', 0, limit=_SMALL_BUFFER_BYTES
        )
        session = _make_session(server.sockets[0].getsockname()[1])
        request = msgspec.structs.replace(
            _make_request(),
            method='POST',
            body=bytes(_LARGE_UPLOAD_BYTES),
            is_repeatable=is_repeatable,
        )
        headers = make_request_headers(request, 'i-1', 2.0)
        result = await exchange(session, request, headers, 2.0)
        delivered.set()
        await session.close()
        server.close()
        return result

    assert run_stepped(send(), SteppedLoop()).unwrap().body == b'ok'


# Guards against a node that buffers an answer beyond its memory limit, or
# keeps its slot up to the deadline.
@pytest.mark.parametrize('form', sorted(ENDLESS_ANSWERS))
def test_endless_answer_is_abandoned_before_deadline(form: str) -> None:
    async def send() -> int:
        request = _make_request('id-1')
        headers = make_request_headers(request, 'i-1', DEADLINE_S)
        async with endless_server(*ENDLESS_ANSWERS[form]) as server:
            session = _make_session(server.port)
            result = await asyncio.wait_for(
                exchange(session, request, headers, DEADLINE_S),
                ABANDONED_AFTER_S,
            )
            assert result.failure().failure is UpstreamFailure.BROKEN
            assert len(result.failure().detail) <= MAX_DETAIL_LENGTH
            await asyncio.wait_for(server.closed.wait(), 5)
            await session.close()
            return server.sent_bytes

    assert asyncio.run(send()) < ENDLESS_BYTES


def test_answer_with_another_request_id_is_broken() -> None:
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(_make_answer('r0', 'Content-Length: 2\r\n', 'ab'))

    failure = asyncio.run(_send_request(respond)).failure()
    assert failure.failure is UpstreamFailure.BROKEN


@pytest.mark.parametrize('named', ['Request-Id: r0\r\n', ''])
def test_refusal_of_another_request_says_nothing_about_this_one(
    named: str,
) -> None:
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(
            f'HTTP/1.1 503 No\r\n{named}Not-Executed: 1\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )

    failure = asyncio.run(_send_request(respond)).failure()
    assert failure.failure is UpstreamFailure.BROKEN


@pytest.mark.parametrize(
    ('status', 'header', 'failure'),
    [
        (503, 'Not-Executed: 1', UpstreamFailure.SHED),
        (429, 'Not-Executed: 1', UpstreamFailure.SHED),
        (421, 'Instance-Id: i-2', UpstreamFailure.FENCED),
    ],
)
def test_refusal_of_instance_means_request_did_not_run(
    status: int, header: str, failure: UpstreamFailure
) -> None:
    def respond(writer: asyncio.StreamWriter) -> None:
        fields = f'{header}\r\nContent-Length: 0\r\n'
        writer.write(_make_answer('r1', fields, '', status=status))

    assert asyncio.run(_send_request(respond)).failure().failure is failure


def test_503_without_not_executed_header_is_an_answer() -> None:
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(
            b'HTTP/1.1 503 No\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n'
        )

    assert asyncio.run(_send_request(respond)).unwrap().status == 503


def _answer_in_parts(sent: bytes, end: _ServerAction) -> _ServerAction:
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(sent)
        asyncio.get_running_loop().call_later(0.01, end, writer)

    return respond


_FRAMED_ANSWERS = (
    _make_answer('r1', 'Content-Length: 5\r\n', 'bytes'),
    _make_answer(
        'r1', 'Transfer-Encoding: chunked\r\n', '5\r\nbytes\r\n0\r\n\r\n'
    ),
    b'HTTP/1.1 100 Continue\r\n\r\n%s'
    % _make_answer('r1', 'Content-Length: 5\r\n', 'bytes'),
)


@pytest.mark.parametrize('answer', _FRAMED_ANSWERS)
@pytest.mark.parametrize('end', [_close_connection, _reset_connection])
def test_answer_cut_at_any_byte_is_never_complete(
    answer: bytes, end: _ServerAction
) -> None:
    # Guards against an answer that ends in its head and passes as an empty one.
    async def scenario() -> None:
        for stop, _ in enumerate(answer):
            result = await _send_request(_answer_in_parts(answer[:stop], end))
            assert result.failure().failure is UpstreamFailure.BROKEN

    asyncio.run(scenario())


@pytest.mark.parametrize('end', [_close_connection, _reset_connection])
def test_answer_without_length_cut_in_its_head_is_never_complete(
    end: _ServerAction,
) -> None:
    answer = _make_answer('r1', 'Server-Load: 1,0,4,100\r\n', '')

    async def scenario() -> None:
        for stop, _ in enumerate(answer):
            respond = _answer_in_parts(answer[:stop], end)
            result = await _send_request(respond)
            assert result.failure().failure is UpstreamFailure.BROKEN

    asyncio.run(scenario())


def test_instance_stops_before_the_process_of_its_node_ends() -> None:
    # Guards against requests of other nodes that are cut by SIGKILL.
    heads: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(_make_answer('r1', 'Content-Length: 0\r\n', ''))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        upstream = make_upstream(latest_deadline_s=lambda: make_deadline_s(1))
        address = f'127.0.0.1:{port}'
        body = msgspec.json.encode(make_heartbeat_body(address=address))
        expected = msgspec.structs.replace(
            EXPECTED_UPSTREAM, address=Address('127.0.0.1', port)
        )
        upstream.handle_heartbeat(
            read_heartbeat('i-1', body, expected).unwrap()
        )
        request = msgspec.structs.replace(
            _make_request(), deadline_s=make_deadline_s(10)
        )
        await upstream.send(UpstreamRequest(request, NO_FENCE, -1))
        await upstream.close()
        server.close()

    asyncio.run(scenario())
    sent = dict(line.split(b': ', 1) for line in heads[0].split(b'\r\n')[1:-2])
    assert 500 < int(sent[b'Deadline-Ms']) <= 1000
