"""Load: callers that read no answers, or send what a request may not have."""

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest
from returns.result import Success

from verbenadeck.entry import EntryServer
from verbenadeck.entry.tests.builders import make_entry, serving
from verbenadeck.model import Answer, AnswerResult, Request

_HOST = '127.0.0.1'
_TIMEOUT_S = 5.0
_POLL_S = 0.01
_REQUEST = b'GET /holds/1 HTTP/1.1\r\nHost: a\r\n\r\n'
_CHUNKED = (
    b'POST /holds/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_HEADER_LIMIT_BYTES = 8_192
_ANSWER_BODY = bytes(4_000_000)


class _Router:
    """Router that answers all requests, once it may.

    Attributes
    ----------
    bodies : list of bytes
        Bodies of the requests.
    may_answer : asyncio.Event
        Set when it may answer.
    """

    def __init__(self, answer_body: bytes = b'done') -> None:
        self.bodies: list[bytes] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._answer_body = answer_body

    async def route(self, request: Request) -> AnswerResult:
        self.bodies.append(request.body)
        await self.may_answer.wait()
        return Success(Answer(200, (), self._answer_body))


class _Caller:
    """Connection of a caller.

    Attributes
    ----------
    reader : asyncio.StreamReader
        Reads answers.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self._writer = writer

    async def send(self, *pieces: bytes) -> None:
        """Send bytes."""
        for piece in pieces:
            self._writer.write(piece)
            await self._writer.drain()

    async def read_status(self) -> int:
        """Return the status of the next answer, and skip the answer."""
        async with asyncio.timeout(_TIMEOUT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            length = head.lower().partition(b'content-length: ')[2]
            await self.reader.readexactly(int(length.split(b'\r\n')[0]))
            return int(head.split()[1])

    async def is_closed(self) -> bool:
        """Return whether the entry closes without an answer."""
        async with asyncio.timeout(_TIMEOUT_S):
            with suppress(ConnectionError):
                return not await self.reader.read(1)
        return True


class _Run:
    """Entry with counters, and its callers."""

    def __init__(self, entry: EntryServer, counters: Counter[str]) -> None:
        self.counters = counters
        self._entry = entry

    async def connect(self, *, receive_buffer_bytes: int = 0) -> _Caller:
        """Return a new connection.

        Parameters
        ----------
        receive_buffer_bytes : int
            Size of the kernel's buffer; 0 for the usual one.
        """
        connection = socket.socket()
        connection.setblocking(False)
        if receive_buffer_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        await asyncio.get_running_loop().sock_connect(
            connection, (_HOST, self._entry.port)
        )
        return _Caller(
            *await asyncio.open_connection(sock=connection, limit=1024)
        )

    async def wait_for(self, counter: str) -> None:
        """Wait until an event has been counted."""
        async with asyncio.timeout(_TIMEOUT_S):
            while not self.counters[counter]:
                await asyncio.sleep(_POLL_S)


@asynccontextmanager
async def _running(router: _Router, **limits: float) -> AsyncIterator[_Run]:
    counters: Counter[str] = Counter()
    entry = make_entry(router, count=lambda name: counters.update((name,)))
    entry.apply_options(msgspec.structs.replace(entry.options, **limits))
    async with serving(entry):
        yield _Run(entry, counters)
        router.may_answer.set()


# Guards against connections and memory that are kept by a caller that does not
# read.
def test_caller_that_reads_nothing_is_closed() -> None:
    async def scenario() -> None:
        router = _Router(_ANSWER_BODY)
        async with _running(router, answer_progress_timeout_s=0.2) as run:
            caller = await run.connect(receive_buffer_bytes=4096)
            await caller.send(_REQUEST)
            await run.wait_for('clients_closed_slow_answers')

    asyncio.run(scenario())


def test_long_answer_is_read_whole_by_a_slow_caller() -> None:
    async def scenario() -> None:
        router = _Router(_ANSWER_BODY)
        async with _running(router, answer_progress_timeout_s=1) as run:
            caller = await run.connect(receive_buffer_bytes=65_536)
            await caller.send(_REQUEST)
            await caller.reader.readuntil(b'\r\n\r\n')
            for _ in range(40):
                await caller.reader.readexactly(len(_ANSWER_BODY) // 40)
                await asyncio.sleep(0.05)
            assert not run.counters

    asyncio.run(scenario())


def test_callers_together_may_not_hold_more_than_their_limit() -> None:
    async def scenario() -> None:
        router = _Router(_ANSWER_BODY)
        async with _running(
            router, unread_answers_limit_bytes=6_000_000
        ) as run:
            slow = await run.connect(receive_buffer_bytes=4096)
            await slow.send(_REQUEST)
            await slow.reader.readexactly(1)
            other = await run.connect()
            await other.send(_REQUEST)
            assert await other.read_status() == 200
            await run.wait_for('clients_closed_unread_answers')

    asyncio.run(scenario())


def test_head_over_the_limit_is_refused_unrouted() -> None:
    async def scenario() -> None:
        router = _Router()
        async with _running(router) as run:
            caller = await run.connect()
            field = b'X-Long: %b\r\n' % (b'a' * 4000)
            await caller.send(_REQUEST[:-2], *(field,) * 5)
            assert await caller.read_status() == 431
            assert await caller.is_closed()
        assert not router.bodies
        assert run.counters == {'clients_refused_large_heads': 1}

    asyncio.run(scenario())


def test_head_at_the_limit_is_served() -> None:
    async def scenario() -> None:
        async with _running(_Router()) as run:
            caller = await run.connect()
            field = b'X-Long: %b\r\n' % (b'a' * 4000)
            head = b'%b%b%b' % (
                _REQUEST[:-2],
                field,
                b'X-Long: %b\r\n\r\n' % (b'a' * 4000),
            )
            assert len(head) < _HEADER_LIMIT_BYTES
            for start in range(0, len(head), 500):
                await caller.send(head[start : start + 500])
            assert await caller.read_status() == 200

    asyncio.run(scenario())


# Guards against the time of an idle connection that cuts off a head.
def test_head_that_begins_late_has_its_own_time() -> None:
    async def scenario() -> None:
        async with _running(
            _Router(), idle_timeout_s=0.5, header_timeout_s=3
        ) as run:
            caller = await run.connect()
            await caller.send(_REQUEST)
            assert await caller.read_status() == 200
            await asyncio.sleep(0.3)
            await caller.send(_REQUEST[:10])
            await asyncio.sleep(0.5)
            await caller.send(_REQUEST[10:])
            assert await caller.read_status() == 200
            assert await caller.is_closed()

    asyncio.run(scenario())


# Guards against a head after a body that has the longer time of the body.
def test_head_after_a_body_has_its_own_time() -> None:
    async def scenario() -> None:
        async with _running(
            _Router(), idle_timeout_s=30, header_timeout_s=0.2
        ) as run:
            caller = await run.connect()
            await caller.send(_CHUNKED, b'1\r\na\r\n')
            await asyncio.sleep(0.1)
            await caller.send(b'0\r\n\r\n')
            assert await caller.read_status() == 200
            await caller.send(_REQUEST[:10])
            assert await caller.is_closed()
            assert run.counters == {'clients_closed_late_heads': 1}

    asyncio.run(scenario())


# Guards against a body that is announced and holds its memory for ever.
def test_body_that_stops_is_refused_unrouted() -> None:
    async def scenario() -> None:
        router = _Router()
        async with _running(router, idle_timeout_s=0.2) as run:
            caller = await run.connect()
            await caller.send(_CHUNKED, b'4\r\nwh')
            assert await caller.read_status() == 400
            assert await caller.is_closed()
        assert not router.bodies
        assert run.counters == {'clients_closed_late_bodies': 1}

    asyncio.run(scenario())


def test_body_with_too_much_around_it_is_refused_unrouted() -> None:
    async def scenario() -> None:
        router = _Router()
        async with _running(router, framing_limit_bytes=1000) as run:
            caller = await run.connect()
            await caller.send(_CHUNKED, b'1;', b'a' * 20_000)
            assert await caller.read_status() == 400
            assert await caller.is_closed()
        assert not router.bodies
        assert run.counters == {'clients_refused_large_framing': 1}

    asyncio.run(scenario())


# Guards against uploads that are closed for the limit of all partial heads, when
# many bodies arrive faster than the node reads them.
def test_body_that_is_being_read_is_no_partial_head(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'verbenadeck.entry._watched_connection._READ_BUFFER_BYTES', 1024
    )

    async def scenario() -> None:
        router = _Router()
        async with _running(
            router, partial_heads_limit_bytes=10_000, body_limit_bytes=60_000
        ) as run:
            caller = await run.connect()
            body = bytes(60_000)
            await caller.send(
                b'POST /holds/1 HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )
            assert await caller.read_status() == 200
            assert not run.counters
        assert router.bodies == [body]

    asyncio.run(scenario())


# Guards against pipelined bodies that take memory without a bound.
def test_body_behind_a_running_request_counts_as_partial() -> None:
    async def scenario() -> None:
        router = _Router()
        router.may_answer.clear()
        async with _running(
            router, partial_heads_limit_bytes=10_000, body_limit_bytes=60_000
        ) as run:
            caller = await run.connect()
            await caller.send(_REQUEST)
            while not router.bodies:
                await asyncio.sleep(_POLL_S)
            await caller.send(
                b'POST /holds/1 HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: 60000\r\n\r\n%b' % bytes(59_000)
            )
            await run.wait_for('clients_closed_partial_heads')

    asyncio.run(scenario())


def test_body_in_chunks_of_one_byte_is_served() -> None:
    async def scenario() -> None:
        router = _Router()
        async with _running(router, framing_limit_bytes=100) as run:
            caller = await run.connect()
            await caller.send(_CHUNKED, b'1\r\na\r\n' * 900, b'0\r\n\r\n')
            assert await caller.read_status() == 200
        assert router.bodies == [b'a' * 900]

    asyncio.run(scenario())


# Guards against requests that are lost or reordered by pauses of the reading.
def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        router = _Router()
        async with _running(router) as run:
            caller = await run.connect()
            bodies = [b'%d' % number * 300 for number in range(1, 60)]
            await caller.send(
                b''.join(
                    b'POST /holds/1 HTTP/1.1\r\nHost: a\r\n'
                    b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
                    for body in bodies
                )
            )
            for _ in bodies:
                assert await caller.read_status() == 200
        assert router.bodies == bodies

    asyncio.run(scenario())


# Guards against a whole request that is dropped, since the start of the one
# behind it waits for longer than a head may take.
def test_head_behind_waiting_requests_is_not_late() -> None:
    async def scenario() -> None:
        router = _Router()
        router.may_answer.clear()
        async with _running(router, header_timeout_s=0.2) as run:
            caller = await run.connect()
            await caller.send(_REQUEST)
            while not router.bodies:
                await asyncio.sleep(_POLL_S)
            await caller.send(_REQUEST + _REQUEST[:10])
            await asyncio.sleep(0.5)
            router.may_answer.set()
            await caller.send(_REQUEST[10:])
            for _ in range(3):
                assert await caller.read_status() == 200
            assert not run.counters

    asyncio.run(scenario())


# Guards against a kept connection that is closed by the header time-out, since
# the rest of a body with empty lines was taken for the start of a head.
def test_body_before_a_request_is_no_part_of_a_head() -> None:
    async def scenario() -> None:
        async with _running(_Router(), header_timeout_s=0.2) as run:
            caller = await run.connect()
            body = b'a\r\n\r\nb'
            await caller.send(
                b'POST /holds/1 HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: %d\r\n\r\n%b%b' % (len(body), body, _REQUEST)
            )
            for _ in range(2):
                assert await caller.read_status() == 200
            await asyncio.sleep(0.5)
            await caller.send(_REQUEST)
            assert await caller.read_status() == 200

    asyncio.run(scenario())


# Guards against empty lines after a request that have no time of their own.
def test_empty_lines_after_a_request_are_closed_late() -> None:
    async def scenario() -> None:
        async with _running(_Router(), header_timeout_s=0.2) as run:
            caller = await run.connect()
            await caller.send(b'%b\r\n\r\n' % _REQUEST)
            assert await caller.read_status() == 200
            assert await caller.is_closed()
            assert run.counters == {'clients_closed_late_heads': 1}

    asyncio.run(scenario())


# Guards against reading without end from a caller whose request runs: what is
# behind a head over the limit is dropped, but must not be read meanwhile.
def test_no_more_is_read_behind_a_refused_head_while_a_request_runs() -> None:
    async def scenario() -> None:
        router = _Router()
        router.may_answer.clear()
        async with _running(router) as run:
            caller = await run.connect()
            await caller.send(_REQUEST)
            while not router.bodies:
                await asyncio.sleep(_POLL_S)
            empty_lines = b'\r\n' * 16_384
            sending = asyncio.create_task(caller.send(*(empty_lines,) * 1024))
            await asyncio.sleep(1)
            assert not sending.done()
            router.may_answer.set()
            assert await caller.read_status() == 200
            sending.cancel()

    asyncio.run(scenario())


# Guards against reading without end from a caller whose request runs.
def test_no_more_is_read_while_a_request_waits() -> None:
    async def scenario() -> None:
        router = _Router()
        router.may_answer.clear()
        async with _running(router) as run:
            caller = await run.connect()
            sending = asyncio.create_task(caller.send(*(_REQUEST * 500,) * 900))
            await asyncio.sleep(0.5)
            assert not sending.done()
            assert len(router.bodies) == 1
            sending.cancel()

    asyncio.run(scenario())


def test_silent_connections_give_way_to_a_new_one() -> None:
    async def scenario() -> None:
        async with _running(_Router(), max_connections=2) as run:
            silent = [await run.connect() for _ in range(6)]
            caller = await run.connect()
            await caller.send(_REQUEST)
            assert await caller.read_status() == 200
            assert await silent[0].is_closed()
            assert run.counters == {'clients_closed_connections': 5}

    asyncio.run(scenario())


def test_connection_beyond_running_requests_is_closed() -> None:
    async def scenario() -> None:
        router = _Router()
        router.may_answer.clear()
        async with _running(router, max_connections=1) as run:
            running = await run.connect()
            await running.send(_REQUEST)
            while not router.bodies:
                await asyncio.sleep(_POLL_S)
            assert await (await run.connect()).is_closed()
            router.may_answer.set()
            assert await running.read_status() == 200

    asyncio.run(scenario())


# Guards against callers that keep all others out by bodies without end.
def test_connection_with_part_of_a_body_gives_way() -> None:
    async def scenario() -> None:
        async with _running(_Router(), max_connections=1) as run:
            uploading = await run.connect()
            await uploading.send(_CHUNKED, b'4\r\nwh')
            caller = await run.connect()
            await caller.send(_REQUEST)
            assert await caller.read_status() == 200
            assert await uploading.is_closed()

    asyncio.run(scenario())


# Guards against callers that keep all others out by answers they do not read.
def test_connection_with_an_unread_answer_gives_way() -> None:
    async def scenario() -> None:
        router = _Router(_ANSWER_BODY)
        async with _running(router, max_connections=1) as run:
            slow = await run.connect(receive_buffer_bytes=4096)
            await slow.send(_REQUEST)
            await slow.reader.readexactly(1)
            caller = await run.connect()
            await caller.send(_REQUEST)
            assert await caller.read_status() == 200
            assert run.counters == {'clients_closed_connections': 1}

    asyncio.run(scenario())
