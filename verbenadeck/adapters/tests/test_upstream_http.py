"""Exchanges with upstreams over HTTP, and announcements of upstreams."""

import asyncio
import random
import socket
import tracemalloc
from types import MappingProxyType

import msgspec
import pytest
from returns.result import Result

from verbenadeck.adapters import (
    MAX_ANSWER_BYTES,
    Announcement,
    UpstreamError,
    UpstreamFailure,
    UpstreamHttpAdapter,
)
from verbenadeck.adapters._answer_budget import MAX_HELD_ANSWERS_BYTES
from verbenadeck.adapters.tests.builders import (
    ABANDONED_AFTER_S,
    ENDLESS_ANSWERS,
    ENDLESS_BYTES,
    HOST,
    MAX_DETAIL_LENGTH,
    EndlessServer,
    build_adapter,
    build_announcement,
    build_upstream_request,
    endless_server,
    raw_server,
)
from verbenadeck.model import Answer
from verbenadeck.utils import Clock

_TRUNCATED_ANSWERS = MappingProxyType(
    {
        'nothing': b'',
        'head': b'HTTP/1.1 200 OK\r\nContent-Le',
        'body': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
        'chunked': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'
        ),
        'unframed': b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf',
    }
)

_KEPT_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nKEEP'
_COPY_ARRIVES_S = 0.05
_UNFINISHED_BYTES = 6_000_000
_UNFINISHED_ANSWERS = 8
_EXCESS_ANSWERS = 3
"""Number of these answers that do not fit into the memory that all share."""

_MAX_HEADS_MEMORY_BYTES = 4_000_000


async def _send_to(
    reply: bytes, *, method: str = 'POST'
) -> tuple[Result[Answer, UpstreamError], int]:
    clock = Clock()
    async with raw_server(lambda _count: reply) as server:
        adapter = build_adapter(clock, server.port)
        result = await adapter.send(
            build_upstream_request(clock, method=method)
        )
        await adapter.close()
        return result, len(server.heads)


@pytest.mark.parametrize('truncation', sorted(_TRUNCATED_ANSWERS))
@pytest.mark.parametrize('method', ('GET', 'POST', 'PUT', 'DELETE'))
def test_truncated_answer_is_broken_and_request_not_resent(
    truncation: str, method: str
) -> None:
    result, heads = asyncio.run(
        _send_to(_TRUNCATED_ANSWERS[truncation], method=method)
    )
    assert result.failure().failure is UpstreamFailure.BROKEN
    assert heads == 1


# Guards against a node that buffers an answer beyond its memory limit, or
# keeps its slot up to the deadline.
@pytest.mark.parametrize('form', sorted(ENDLESS_ANSWERS))
def test_endless_answer_is_abandoned_before_deadline(form: str) -> None:
    async def send() -> EndlessServer:
        clock = Clock()
        async with endless_server(*ENDLESS_ANSWERS[form]) as server:
            adapter = build_adapter(clock, server.port)
            result = await asyncio.wait_for(
                adapter.send(build_upstream_request(clock)), ABANDONED_AFTER_S
            )
            assert result.failure().failure is UpstreamFailure.BROKEN
            # Guards against logs and messages to peers that repeat the bytes.
            assert len(result.failure().detail) <= MAX_DETAIL_LENGTH
            await asyncio.wait_for(server.closed.wait(), 5)
            await adapter.close()
            return server

    assert asyncio.run(send()).sent_bytes < ENDLESS_BYTES


def test_answers_being_read_share_their_memory() -> None:
    """The largest ones are abandoned, and small ones are still read."""
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {MAX_ANSWER_BYTES}\r\n\r\n'
    unfinished = b''.join((head.encode(), bytes(_UNFINISHED_BYTES), b'KEEP'))

    def answer(count: int) -> bytes:
        return _KEPT_ANSWER if count > _UNFINISHED_ANSWERS else unfinished

    async def scenario() -> None:
        clock = Clock()
        async with raw_server(answer) as server:
            adapter = build_adapter(clock, server.port)
            tasks = [
                asyncio.ensure_future(
                    adapter.send(build_upstream_request(clock))
                )
                for _ in range(_UNFINISHED_ANSWERS)
            ]
            async with asyncio.timeout(ABANDONED_AFTER_S):
                while sum(each.done() for each in tasks) < _EXCESS_ANSWERS:
                    await asyncio.sleep(0.01)
            small = await adapter.send(build_upstream_request(clock))
            assert small.unwrap().body == b'KEEP'
            unfinished_count = sum(not each.done() for each in tasks)
            assert unfinished_count * _UNFINISHED_BYTES <= (
                MAX_HELD_ANSWERS_BYTES
            )
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await adapter.close()

    asyncio.run(scenario())


def test_interim_heads_take_little_memory() -> None:
    async def measure_peak() -> int:
        clock = Clock()
        async with endless_server(*ENDLESS_ANSWERS['interim heads']) as server:
            adapter = build_adapter(clock, server.port)
            tracemalloc.start()
            result = await adapter.send(build_upstream_request(clock))
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert result.failure().failure is UpstreamFailure.BROKEN
            await adapter.close()
            return peak_bytes

    assert asyncio.run(measure_peak()) < _MAX_HEADS_MEMORY_BYTES


def test_answer_in_small_chunks_is_returned_whole() -> None:
    # Guards against bytes lost while a connection pauses.
    body = random.Random(1).randbytes(2_000_000)
    chunks = (body[start : start + 100] for start in range(0, len(body), 100))
    reply = b''.join(
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            *(b'64\r\n%b\r\n' % chunk for chunk in chunks),
            b'0\r\n\r\n',
        )
    )
    result, _ = asyncio.run(_send_to(reply))
    assert result.unwrap().body == body


def test_answer_cut_at_any_byte_is_never_complete() -> None:
    # Guards against an answer that ends in its head and passes as an empty one.
    async def scenario() -> None:
        for stop, _ in enumerate(_KEPT_ANSWER):
            result, _ = await _send_to(_KEPT_ANSWER[:stop])
            assert result.failure().failure is UpstreamFailure.BROKEN

    asyncio.run(scenario())


def test_answer_of_maximum_size_is_returned_whole() -> None:
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {MAX_ANSWER_BYTES}\r\n\r\n'
    reply = head.encode() + bytes(MAX_ANSWER_BYTES)
    result, _ = asyncio.run(_send_to(reply))
    assert len(result.unwrap().body) == MAX_ANSWER_BYTES


def test_complete_answer_is_returned_without_hop_by_hop_headers() -> None:
    reply = (
        b'HTTP/1.1 418 Teapot\r\nContent-Length: 4\r\nX-Kept: 1\r\n'
        b'Connection: X-Hop\r\nX-Hop: 1\r\nUpstream-Bearable: 3\r\n\r\nfull'
    )
    result, _ = asyncio.run(_send_to(reply))
    assert result.unwrap() == Answer(418, (('X-Kept', '1'),), b'full')


def test_redirect_is_returned_and_not_followed() -> None:
    reply = (
        b'HTTP/1.1 302 Found\r\nLocation: http://127.0.0.9/\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    result, heads = asyncio.run(_send_to(reply))
    assert result.unwrap().status == 302
    assert heads == 1


def test_request_is_not_resent_when_reused_connection_fails() -> None:
    """aiohttp would resend PUT by itself, and the request could run twice."""

    async def scenario() -> None:
        clock = Clock()
        script = {1: _KEPT_ANSWER, 2: b''}
        async with raw_server(
            lambda count: script.get(count, _KEPT_ANSWER)
        ) as server:
            adapter = build_adapter(clock, server.port)
            upstream_request = build_upstream_request(
                clock, method='PUT', is_repeatable=True
            )
            assert (
                await adapter.send(upstream_request)
            ).unwrap().body == b'KEEP'
            result = await adapter.send(upstream_request)
            await adapter.close()
            assert result.failure().failure is UpstreamFailure.BROKEN
            assert len(server.heads) == 2
            assert server.connection_count == 1

    asyncio.run(scenario())


def test_non_repeatable_request_gets_a_new_connection() -> None:
    async def scenario() -> None:
        clock = Clock()
        async with raw_server(lambda _count: _KEPT_ANSWER) as server:
            adapter = build_adapter(clock, server.port)
            for _ in range(3):
                await adapter.send(
                    build_upstream_request(clock, is_repeatable=True)
                )
            assert server.connection_count == 1
            for _ in range(3):
                await adapter.send(
                    build_upstream_request(clock, is_repeatable=False)
                )
            assert server.connection_count == 4
            await adapter.close()

    asyncio.run(scenario())


def test_second_copy_of_an_answer_reaches_no_other_caller() -> None:
    async def scenario() -> None:
        clock = Clock()
        script = {1: _KEPT_ANSWER, 2: b'HTTP/1.1 200 OK\r\n\r\ncut'}
        async with raw_server(lambda count: script[count]) as server:
            adapter = build_adapter(clock, server.port)
            upstream_request = build_upstream_request(clock, is_repeatable=True)
            await adapter.send(upstream_request)
            server.writers[0].write(_KEPT_ANSWER)
            await asyncio.sleep(_COPY_ARRIVES_S)
            result = await adapter.send(
                build_upstream_request(
                    clock, is_repeatable=True, request_id='id-2'
                )
            )
            await adapter.close()
            assert server.connection_count == 2
            assert result.failure().failure is UpstreamFailure.BROKEN

    asyncio.run(scenario())


def test_answer_that_names_another_request_is_broken() -> None:
    answer = (
        b'HTTP/1.1 200 OK\r\nUpstream-Request-Id: id-0\r\n'
        b'Content-Length: 4\r\n\r\nKEEP'
    )
    result, _ = asyncio.run(_send_to(answer))
    assert result.failure().failure is UpstreamFailure.BROKEN


def test_refused_connection_means_request_was_not_sent() -> None:
    async def scenario() -> None:
        clock = Clock()
        with socket.socket() as closed:
            closed.bind((HOST, 0))
            adapter = build_adapter(clock, closed.getsockname()[1])
            result = await adapter.send(build_upstream_request(clock))
        await adapter.close()
        assert result.failure().failure is UpstreamFailure.NOT_SENT

    asyncio.run(scenario())


def test_missing_answer_until_deadline_is_broken() -> None:
    async def wait_for_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.read()
        finally:
            writer.close()

    async def scenario() -> None:
        clock = Clock()
        listener = await asyncio.start_server(wait_for_close, HOST, 0)
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            adapter = build_adapter(clock, port)
            result = await adapter.send(
                build_upstream_request(clock, timeout_s=0.2)
            )
            await adapter.close()
        assert result.failure().failure is UpstreamFailure.BROKEN

    asyncio.run(scenario())


@pytest.mark.parametrize('path', ('@127.0.0.9/', ''))
def test_path_that_could_change_the_address_is_not_sent(path: str) -> None:
    async def scenario() -> None:
        clock = Clock()
        adapter = build_adapter(clock, 9)
        result = await adapter.send(build_upstream_request(clock, path=path))
        assert result.failure().failure is UpstreamFailure.NOT_SENT

    asyncio.run(scenario())


def test_reserved_headers_of_callers_are_removed() -> None:
    async def scenario() -> None:
        clock = Clock()
        reply = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        forged = (('upstream-control', '1'), ('Upstream-Fence', '99'))
        async with raw_server(lambda _count: reply) as server:
            adapter = build_adapter(clock, server.port)
            await adapter.send(build_upstream_request(clock, headers=forged))
            await adapter.close()
            head = server.heads[0].lower()
            assert b'upstream-control' not in head
            assert head.count(b'upstream-fence') == 1
            assert b'upstream-fence: 5\r\n' in head

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('reason', 'failure'),
    (
        ('shed', UpstreamFailure.SHED),
        ('cold', UpstreamFailure.COLD),
        ('fenced', UpstreamFailure.FENCED),
        ('anything', UpstreamFailure.REFUSED),
    ),
)
def test_refusal_reason_determines_failure(
    reason: str, failure: UpstreamFailure
) -> None:
    reply = (
        f'HTTP/1.1 503 No\r\nUpstream-Refused: {reason}\r\nRetry-After: 2\r\n'
        'Upstream-Bearable: 3\r\nContent-Length: 0\r\n\r\n'
    )
    result, _ = asyncio.run(_send_to(reply.encode()))
    error = result.failure()
    assert (error.failure, error.retry_after_s) == (failure, 2)
    assert error.bearable == 3


def test_503_without_refusal_header_is_an_answer() -> None:
    reply = b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n'
    result, _ = asyncio.run(_send_to(reply))
    assert result.unwrap().status == 503


def test_request_is_not_sent_before_an_announcement() -> None:
    async def scenario() -> None:
        clock = Clock()
        adapter = UpstreamHttpAdapter(clock=clock)
        result = await adapter.send(build_upstream_request(clock))
        assert result.failure().failure is UpstreamFailure.NOT_SENT

    asyncio.run(scenario())


def test_listener_is_called_once_for_each_upstream_process() -> None:
    announcements: list[Announcement] = []
    adapter = UpstreamHttpAdapter(clock=Clock())
    adapter.on_announce(announcements.append)
    first = msgspec.json.encode(build_announcement(1000))
    second = msgspec.json.encode(build_announcement(1000, instance='life-2'))
    replies = [adapter.announce(body) for body in (first, first, second)]
    assert [reply.unwrap().is_new for reply in replies] == [True, False, True]
    assert [announcement.instance for announcement in announcements] == [
        'life-1',
        'life-2',
    ]


@pytest.mark.parametrize(
    'changes',
    (
        {'host': 'example.org'},
        {'port': 0},
        {'port': 65536},
        {'port': '80'},
        {'slots': 0},
        {'slots': True},
        {'connections': -1},
        {'bearable': 21},
        {'bearable': -1},
        {'service': ''},
        {'instance': 'x' * 201},
        {'instance': 'a\nb'},
        {'service': None},
    ),
)
def test_announcement_with_invalid_field_is_refused(
    changes: dict[str, object],
) -> None:
    body = msgspec.to_builtins(build_announcement(1000)) | changes
    adapter = UpstreamHttpAdapter(clock=Clock())
    adapter.on_announce(
        lambda _announcement: pytest.fail(
            'a listener was called for a malformed announcement'
        )
    )
    assert adapter.announce(msgspec.json.encode(body)).failure().detail


@pytest.mark.parametrize('body', (b'', b'\xff\xfe', b'{', b'[1]', b'{}'))
def test_undecodable_announcement_is_refused(body: bytes) -> None:
    assert UpstreamHttpAdapter(clock=Clock()).announce(body).failure().detail
