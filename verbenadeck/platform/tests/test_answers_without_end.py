"""Nodes in processes of their own whose instance sends bytes without end."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

import aiohttp
import pytest

from verbenadeck.adapters.tests.builders import ENDLESS_ANSWERS
from verbenadeck.platform.tests.node_process import (
    CALLER_HOST,
    CONTROL_PORT,
    ENTRY_PORT,
    NodeProcess,
    running_node,
)

_MEMORY_LIMIT_BYTES = 200_000_000
"""Memory of the smallest VM on the platform."""

_SLOTS = 100
_FAULTY_CALLERS = 40
_FAULTY_CALLS = 8
_SOUND_REQUESTS = 30
_PAUSE_S = 0.05
_FAULTY_PAUSE_S = 0.3
"""Longer than a slot is held after a broken answer, so that slots are free."""

_DEADLINE_MS = '10000'
_OK = 200
_SOUND_PATH = '/sound'
_SOUND_BODY = b'sound'


class Evidence(NamedTuple):
    """What a run showed.

    Parameters
    ----------
    node : NodeProcess
        The node, which has not been stopped.
    statuses : tuple of int
        Statuses of the answers to sound requests.
    """

    node: NodeProcess
    statuses: tuple[int, ...]


def _make_answer(request_id: bytes, body: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: %d\r\n\r\n%b'
        % (
            request_id,
            len(body),
            body,
        )
    )


_ENDLESS = MappingProxyType(
    {
        **ENDLESS_ANSWERS,
        'bytes after an answer': (_make_answer(b'id-1', b'ok'), bytes(65_536)),
        'answers in series': (b'', _make_answer(b'id-1', b'') * 1024),
    }
)
_BLOCK = bytes(65_536)


def _make_heartbeat(fields: bytes) -> bytes:
    return (
        b'POST /v1/Instances.Heartbeat/i-2 HTTP/1.1\r\nHost: a\r\n%b' % fields
    )


_ENDLESS_CALLS = MappingProxyType(
    {
        'no call': (b'', _BLOCK),
        'header field': (_make_heartbeat(b'X-Long: '), b'a' * len(_BLOCK)),
        'header fields': (_make_heartbeat(b''), b'X-Many: a\r\n' * 4096),
        'body in chunks': (
            _make_heartbeat(b'Transfer-Encoding: chunked\r\n\r\n'),
            b'10000\r\n%b\r\n' % _BLOCK,
        ),
        'body with length': (
            _make_heartbeat(b'Content-Length: 99999999999999\r\n\r\n'),
            _BLOCK,
        ),
        'calls in series': (
            b'',
            _make_heartbeat(b'Content-Length: 2\r\n\r\n{}') * 512,
        ),
    }
)


async def _send_without_end(
    writer: asyncio.StreamWriter, head: bytes, block: bytes
) -> None:
    # In one write, so that they arrive at the same time.
    writer.write(b''.join((head, block)))
    while True:
        await writer.drain()
        writer.write(block)


class _FaultyInstance:
    """Instance that answers some requests with bytes without end."""

    def __init__(self, head: bytes, block: bytes) -> None:
        self._head = head
        self._block = block

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer(await reader.readuntil(b'\r\n\r\n'), writer)
        writer.close()

    async def _answer(
        self, request_head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        fields = dict(
            line.split(b': ', 1)
            for line in request_head.splitlines()
            if b': ' in line
        )
        request_id = fields[b'Request-Id']
        if request_head.split()[1] == _SOUND_PATH.encode():
            writer.write(_make_answer(request_id, _SOUND_BODY))
            return
        await _send_without_end(
            writer,
            self._head.replace(b'id-1', request_id),
            self._block.replace(b'id-1', request_id),
        )


class _Caller:
    """Callers of a node."""

    def __init__(
        self, session: aiohttp.ClientSession, node: NodeProcess
    ) -> None:
        self._session = session
        self._url = f'http://{node.host}:{ENTRY_PORT}'
        self._numbers = itertools.count()

    async def call(self, path: str) -> int:
        """Return the status of an answer, or 0 if there was none."""
        headers = {
            'Host': CALLER_HOST,
            'Request-Id': f'r{next(self._numbers)}',
            'Deadline-Ms': _DEADLINE_MS,
        }
        try:
            async with self._session.get(
                f'{self._url}{path}', headers=headers
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_until_served(self) -> None:
        """Wait until the node knows the instance."""
        async with asyncio.timeout(30):
            while await self.call(_SOUND_PATH) != _OK:
                await asyncio.sleep(_PAUSE_S)

    async def call_again_and_again(self) -> None:
        """Send requests that the instance answers without end."""
        while True:
            await self.call('/faulty')
            await asyncio.sleep(_FAULTY_PAUSE_S)

    async def call_sound(self) -> tuple[int, ...]:
        """Send sound requests and return the statuses of the answers."""
        statuses: list[int] = []
        for _ in range(_SOUND_REQUESTS):
            statuses.append(await self.call(_SOUND_PATH))
            await asyncio.sleep(_PAUSE_S)
        return tuple(statuses)


@asynccontextmanager
async def _running(
    *work: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(one) for one in work]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_answers(folder: Path, head: bytes, block: bytes) -> Evidence:
    async with (
        running_node(
            folder,
            respond=_FaultyInstance(head, block).respond,
            slots=_SLOTS,
            limit_bytes=_MEMORY_LIMIT_BYTES,
        ) as node,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
    ):
        caller = _Caller(session, node)
        await caller.wait_until_served()
        faulty = (caller.call_again_and_again() for _ in range(_FAULTY_CALLERS))
        async with _running(*faulty):
            statuses = await caller.call_sound()
            return Evidence(node, statuses)


async def _call_without_end(
    node: NodeProcess, port: int, head: bytes, block: bytes
) -> None:
    while True:
        with suppress(ConnectionError):
            _, writer = await asyncio.open_connection(node.host, port)
            try:
                await _send_without_end(writer, head, block)
            finally:
                writer.close()
        await asyncio.sleep(_PAUSE_S)


async def _run_calls(
    folder: Path, port: int, head: bytes, block: bytes
) -> Evidence:
    async with (
        running_node(
            folder,
            respond=_FaultyInstance(b'', b'').respond,
            slots=_SLOTS,
            limit_bytes=_MEMORY_LIMIT_BYTES,
        ) as node,
        aiohttp.ClientSession() as session,
    ):
        caller = _Caller(session, node)
        await caller.wait_until_served()
        faulty = (
            _call_without_end(node, port, head, block)
            for _ in range(_FAULTY_CALLS)
        )
        async with _running(*faulty):
            statuses = await caller.call_sound()
            return Evidence(node, statuses)


def _check(evidence: Evidence) -> None:
    assert evidence.node.peak_bytes < _MEMORY_LIMIT_BYTES
    assert set(evidence.statuses) == {_OK}


# Guards against a node that ends by its memory, and with it the requests of
# all callers on its VM.
@pytest.mark.parametrize('form', sorted(_ENDLESS))
def test_other_requests_are_answered_beside_answers_without_end(
    form: str, tmp_path: Path
) -> None:
    _check(asyncio.run(_run_answers(tmp_path, *_ENDLESS[form])))


@pytest.mark.parametrize('port', [CONTROL_PORT, ENTRY_PORT])
@pytest.mark.parametrize('form', sorted(_ENDLESS_CALLS))
def test_other_requests_are_answered_beside_calls_without_end(
    form: str, port: int, tmp_path: Path
) -> None:
    """The instance sends heartbeats, and requests of its own to the entry."""
    _check(asyncio.run(_run_calls(tmp_path, port, *_ENDLESS_CALLS[form])))
