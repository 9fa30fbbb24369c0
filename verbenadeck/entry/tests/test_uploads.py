"""Load: uploads that stop midway, lie about their size, or come all at once."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from returns.result import Success

from verbenadeck.entry import EntryOptions
from verbenadeck.entry.tests.builders import (
    BODY_LIMIT_BYTES,
    make_entry,
    serving,
)
from verbenadeck.model import Answer, AnswerResult, Request

_HALF = b'x' * (BODY_LIMIT_BYTES // 2)
_CUT_CHUNK = b'64\r\nxxxx'
_LARGE_CHUNK = b''.join((b'7d0\r\n', bytes(2000), b'\r\n0\r\n\r\n'))
_ANSWER_S = 2.0
_HOST = '127.0.0.1'


class _SlowRouter:
    """Router that answers all requests once it is released."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.cancelled_count = 0
        self.released = asyncio.Event()

    async def route(self, request: Request) -> AnswerResult:
        self.bodies.append(request.body)
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        return Success(Answer(200, (), b'done'))


class _Caller:
    """Caller that writes its request byte by byte as a test wants."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(
        self, *fields: str, body: bytes = b'', path: str = '/holds/1'
    ) -> None:
        """Send a head with the given fields, and the first part of a body."""
        head = '\r\n'.join((f'POST {path} HTTP/1.1', 'Host: a', *fields))
        self.writer.writelines((head.encode(), b'\r\n\r\n', body))
        await self.writer.drain()

    async def read_status(self) -> int:
        """Return the status of the next answer."""
        line = await asyncio.wait_for(self.reader.readline(), _ANSWER_S)
        return int(line.split()[1])


@asynccontextmanager
async def _upload_to(
    router: _SlowRouter, **limits: float
) -> AsyncIterator[_Caller]:
    entry = make_entry(router)
    options = msgspec.structs.replace(entry.options, **limits)
    entry.apply_options(options)
    async with serving(entry):
        caller = _Caller(*await asyncio.open_connection(_HOST, entry.port))
        yield caller
        router.released.set()
        caller.writer.close()


def test_upload_that_stops_midway_is_not_routed() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router) as caller:
            await caller.send(f'Content-Length: {BODY_LIMIT_BYTES}', body=_HALF)
            await asyncio.sleep(0.05)
            caller.writer.close()
            await asyncio.sleep(0.05)
        assert not router.bodies

    asyncio.run(scenario())


def test_chunked_upload_cut_in_a_chunk_is_not_routed() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router) as caller:
            await caller.send('Transfer-Encoding: chunked', body=_CUT_CHUNK)
            caller.writer.close()
            await asyncio.sleep(0.05)
        assert not router.bodies

    asyncio.run(scenario())


def test_bytes_beyond_the_declared_length_are_no_second_request() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        router.released.set()
        async with _upload_to(router) as caller:
            await caller.send('Content-Length: 4', body=b'whol')
            assert await caller.read_status() == 200
            caller.writer.write(b'e and more')
            await caller.reader.readuntil(b'done')
            assert await caller.read_status() == 400
        assert router.bodies == [b'whol']

    asyncio.run(scenario())


def test_upload_that_comes_with_other_bytes_is_refused_unrouted() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router) as caller:
            await caller.send('Content-Length: 4', body=b'whole and more\r\n')
            assert await caller.read_status() == 400
        assert not router.bodies

    asyncio.run(scenario())


def test_caller_that_asks_first_sends_no_body_for_nothing() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        router.released.set()
        expects = 'Expect: 100-continue'
        async with _upload_to(router) as caller:
            await caller.send(expects, 'Content-Length: 4')
            assert await caller.read_status() == 100
            caller.writer.write(b'data')
            await caller.reader.readline()
            assert await caller.read_status() == 200
        async with _upload_to(router) as caller:
            await caller.send(
                expects, f'Content-Length: {BODY_LIMIT_BYTES + 1}'
            )
            assert await caller.read_status() == 413
        assert router.bodies == [b'data']

    asyncio.run(scenario())


def test_connection_may_be_opened_long_before_its_first_request() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        router.released.set()
        async with _upload_to(router, header_timeout_s=0.05) as caller:
            await asyncio.sleep(0.2)
            await caller.send('Content-Length: 4', body=b'data')
            assert await caller.read_status() == 200

    asyncio.run(scenario())


def test_connection_without_a_request_is_closed() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router, header_timeout_s=0.1) as caller:
            caller.writer.write(b'POST /holds/1 HTTP')
            async with asyncio.timeout(_ANSWER_S):
                assert not await caller.reader.read()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('field', 'body'),
    [
        (f'Content-Length: {BODY_LIMIT_BYTES + 1}', b''),
        (
            'Transfer-Encoding: chunked',
            _LARGE_CHUNK,
        ),
    ],
)
def test_upload_over_the_limit_is_refused_unrouted(
    field: str, body: bytes
) -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router) as caller:
            await caller.send(field, body=body)
            assert await caller.read_status() == 413
        assert not router.bodies

    asyncio.run(scenario())


def test_limit_that_operators_lower_holds_for_open_connections() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router, body_limit_bytes=10) as caller:
            await caller.send('Content-Length: 11')
            assert await caller.read_status() == 413
        assert not router.bodies

    asyncio.run(scenario())


def test_upload_of_a_refused_request_is_not_awaited() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router) as caller:
            await caller.send('Content-Length: 900', path='/')
            assert await caller.read_status() == 400
        assert not router.bodies

    asyncio.run(scenario())


def test_uploads_beyond_the_memory_are_refused_as_not_run() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(
            router, held_bodies_limit_bytes=2 * BODY_LIMIT_BYTES
        ) as first:
            callers = [first]
            port = first.writer.get_extra_info('peername')[1]
            for _ in range(2):
                callers.append(
                    _Caller(*await asyncio.open_connection(_HOST, port))
                )
            whole = b'x' * BODY_LIMIT_BYTES
            for caller in callers:
                await caller.send(
                    f'Content-Length: {BODY_LIMIT_BYTES}', body=whole
                )
                await asyncio.sleep(0.02)
            assert await callers[2].read_status() == 503
            assert router.bodies == [whole, whole]
            router.released.set()
            assert await first.read_status() == 200
            await asyncio.sleep(0.05)
            retry = _Caller(*await asyncio.open_connection(_HOST, port))
            await retry.send('Content-Length: 4', body=b'late')
            assert await retry.read_status() == 200
            for caller in (*callers[1:], retry):
                caller.writer.close()

    asyncio.run(scenario())


def test_default_limits_leave_room_for_other_memory() -> None:
    assert EntryOptions().held_bodies_limit_bytes <= 40_000_000


def test_caller_that_leaves_during_the_run_cancels_its_upload() -> None:
    async def scenario() -> None:
        router = _SlowRouter()
        async with _upload_to(router) as caller:
            await caller.send('Content-Length: 4', body=b'data')
            await asyncio.sleep(0.05)
            caller.writer.close()
            await asyncio.sleep(0.1)
            assert router.cancelled_count == 1

    asyncio.run(scenario())
