"""Nodes in processes of their own whose clients respect no limits."""

import asyncio
import fcntl
import itertools
import socket
import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import aiohttp
import pytest
from loguru import logger

from verbenadeck.platform.tests.node_process import (
    CALLER_HOST,
    CONTROL_PORT,
    ENTRY_PORT,
    NodeProcess,
    running_node,
)

# The time-out of a test does not include the wait for the others.
pytestmark = pytest.mark.timeout(func_only=True)

_MEMORY_LIMIT_BYTES = 200_000_000
"""Memory of the smallest VM on the platform."""

_MAX_DESCRIPTORS = 512
"""Limit of the node's descriptors, an eighth of the platform's 4,100."""

_FILE_DESCRIPTORS = 200
"""Descriptors that are for files on the platform."""

_LIMITS = MappingProxyType(
    {
        'maxBodyBytes': 100_000,
        # Longer than a test, so that no time-out replaces another bound.
        'headerTimeout': '100000ms',
        'idleTimeout': '100000ms',
    }
)
_SLOTS = 100
_SHORT_HEADER_TIMEOUT = MappingProxyType({**_LIMITS, 'headerTimeout': '500ms'})
_QUIET_CHECKS = 10
_CHECK_S = 0.1
_HANG_S = 20.0
_RECEIVE_BUFFER_BYTES = 4096
_BYTES_PER_MB = 1e6
_DEADLINE_MS = '10000'
_OK = 200
_BODY = b'answer'
_LONG_BODY = bytes(4_000_000)
_LONG_PATH = '/long'
_ANSWER_ENDS = MappingProxyType({_LONG_PATH.encode(): _LONG_BODY})


class _Crowd(NamedTuple):
    """Clients that send the same bytes and read nothing.

    Parameters
    ----------
    head : bytes
        First bytes.
    block : bytes
        Bytes that follow.
    blocks : int
        Number of times that they follow.
    clients : int
        Number of clients, with a connection each.
    is_byte_by_byte : bool
        Whether each byte is sent by itself.
    is_one_by_one : bool
        Whether each client waits for the first byte of an answer before the
        next one connects.
    """

    head: bytes
    block: bytes = b''
    blocks: int = 1
    clients: int = 60
    is_byte_by_byte: bool = False
    is_one_by_one: bool = False


class _Evidence(NamedTuple):
    """What a run showed.

    Parameters
    ----------
    node : NodeProcess
        The node, which has not been stopped.
    status : int
        Status of the answer to an ordinary request, or 0 without one.
    endless_connections : int
        Connections that took all bytes of their clients.
    is_running : bool
        Whether the node still ran afterwards.
    """

    node: NodeProcess
    status: int
    endless_connections: int
    is_running: bool


def _make_head(method: str, path: str, *fields: str) -> bytes:
    return '\r\n'.join(
        (
            f'{method} {path} HTTP/1.1',
            f'Host: {CALLER_HOST}',
            f'Deadline-Ms: {_DEADLINE_MS}',
            *fields,
            '',
        )
    ).encode()


_HALF_HEAD = _make_head('GET', '/sound')
_REQUEST = b'%b\r\n' % _HALF_HEAD
_LONG_REQUEST = b'%b\r\n' % _make_head('GET', _LONG_PATH)
_SECOND_HALF_HEAD = b'%b%b' % (_REQUEST, _HALF_HEAD)
_CHUNKED = b'%b\r\n' % _make_head(
    'POST', '/sound', 'Transfer-Encoding: chunked'
)
_LONG_FIELD = b'X-Long: %b\r\n' % (b'a' * 16_000)
_CONTROL_FIELD = b'X-Long: %b\r\n' % (b'a' * 8_000)
_MEGABYTE = 1_048_576

_HUGE_HEADS = MappingProxyType(
    {
        'head over the limit': _Crowd(_HALF_HEAD, _LONG_FIELD, 120),
        'second head over the limit': _Crowd(
            _SECOND_HALF_HEAD, _LONG_FIELD, 120
        ),
        'trailers without end': _Crowd(b'%b0\r\n' % _CHUNKED, _LONG_FIELD, 120),
        'heads over the limit behind a long answer': _Crowd(
            _LONG_REQUEST,
            b'%b%b\r\n' % (_HALF_HEAD, _LONG_FIELD * 100),
            40,
            clients=6,
        ),
        'heads of pipelined requests': _Crowd(
            _LONG_REQUEST,
            b'%b%b\r\n' % (_HALF_HEAD, b'X-Many: aaaaaaaa\r\n' * 100),
            2_000,
        ),
    }
)
_LONG_ANSWERS = MappingProxyType(
    {
        'long answer': _Crowd(_LONG_REQUEST, is_one_by_one=True),
        'long answers to pipelined requests': _Crowd(
            _LONG_REQUEST, _LONG_REQUEST, 100, is_one_by_one=True
        ),
    }
)
_SMALL_PIECES = MappingProxyType(
    {
        'head in single bytes': _Crowd(
            b'%bX-Long: %b' % (_HALF_HEAD, b'a' * 500),
            clients=20,
            is_byte_by_byte=True,
        ),
        'body in single bytes': _Crowd(
            b'%b\r\n%b'
            % (
                _make_head('POST', '/sound', 'Content-Length: 500'),
                bytes(400),
            ),
            clients=20,
            is_byte_by_byte=True,
        ),
        'body in chunks of two bytes': _Crowd(
            _CHUNKED, b'2\r\nab\r\n' * 1000, 40, clients=40
        ),
        'body in small chunks behind a long answer': _Crowd(
            _LONG_REQUEST,
            b'%b%b' % (_CHUNKED, b'2\r\nab\r\n' * 40_000),
            clients=40,
            is_one_by_one=True,
        ),
    }
)
_ENDLESS = MappingProxyType(
    {
        'empty lines': _Crowd(b'', b'\r\n' * 524_288, 32, clients=2),
        'empty lines after a request': _Crowd(
            _REQUEST, b'\r\n' * 524_288, 32, clients=2
        ),
        'head lines': _Crowd(_HALF_HEAD, b'X-Many: a\r\n' * 1000, 3000, 2),
        'chunk extension': _Crowd(
            b'%b1;' % _CHUNKED, b'a' * _MEGABYTE, 32, clients=2
        ),
        'trailers': _Crowd(
            b'%b0\r\n' % _CHUNKED, b'X-Many: a\r\n' * 1000, 3000, 2
        ),
    }
)
_CONTROL_HEADS = _Crowd(
    b'GET /v1/ready HTTP/1.1\r\nHost: a\r\n',
    _CONTROL_FIELD,
    120,
    clients=120,
)
_CONTROL_ENDLESS = MappingProxyType(
    {
        'empty lines': _Crowd(b'', b'\r\n' * 524_288, 32, clients=2),
        'chunk extension': _Crowd(
            b'POST /v1/Instances.Heartbeat/i-2 HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n1;',
            b'a' * _MEGABYTE,
            32,
            clients=2,
        ),
    }
)
_HALF_HEADS = MappingProxyType(
    {
        'first head': (ENTRY_PORT, _HALF_HEAD),
        'second head': (ENTRY_PORT, _SECOND_HALF_HEAD),
        'empty lines': (ENTRY_PORT, b'\r\n\r\n'),
        'empty lines after a request': (ENTRY_PORT, b'%b\r\n\r\n' % _REQUEST),
        'head at the control address': (
            CONTROL_PORT,
            b'GET /v1/ready HTTP/1.1\r\nHost: a\r\n',
        ),
    }
)
_SILENT = _Crowd(b'', blocks=0, clients=600)


async def _respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the node's requests as an instance."""
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            await _answer(reader, writer)
    writer.close()


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    fields = dict(
        line.split(b': ', 1) for line in head.splitlines() if b': ' in line
    )
    await reader.readexactly(int(fields.get(b'Content-Length', b'0')))
    body = _ANSWER_ENDS.get(head.split()[1], _BODY)
    writer.write(
        b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: %d\r\n\r\n'
        % (fields[b'Request-Id'], len(body))
    )
    writer.write(body)
    await writer.drain()


class _Clients:
    """Running clients of a crowd.

    Parameters
    ----------
    crowd : _Crowd
        What they send.
    host : str
        IP address of the node.
    port : int
        TCP port that they connect to.
    """

    def __init__(self, crowd: _Crowd, host: str, port: int) -> None:
        self.endless_connections = 0
        self._crowd = crowd
        self._address = (host, port)
        self._steps = 0
        self._turn = asyncio.Lock()
        self._sockets: list[socket.socket] = []

    @asynccontextmanager
    async def run(self, node: NodeProcess) -> AsyncIterator[None]:
        """Let them send until nothing changes any more, and stay connected.

        Parameters
        ----------
        node : NodeProcess
            The node.
        """
        tasks = [
            asyncio.create_task(self._send())
            for _ in range(self._crowd.clients)
        ]
        try:
            await self._wait_until_quiet(node)
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for connection in self._sockets:
                connection.close()

    async def _wait_until_quiet(self, node: NodeProcess) -> None:
        quiet_checks = 0
        while quiet_checks < _QUIET_CHECKS and node.exit_code is None:
            steps = self._steps
            await asyncio.sleep(_CHECK_S)
            quiet_checks = quiet_checks + 1 if self._steps == steps else 0

    async def _send(self) -> None:
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        with suppress(ConnectionError):
            await asyncio.get_running_loop().sock_connect(
                connection, self._address
            )
            self._steps += 1
            await self._send_pieces(connection)
            self.endless_connections += 1

    async def _send_pieces(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        pieces = self._iter_pieces()
        if self._crowd.is_one_by_one:
            async with self._turn:
                await loop.sock_sendall(connection, next(pieces))
                await loop.sock_recv(connection, 1)
        for piece in pieces:
            self._steps += 1
            await loop.sock_sendall(connection, piece)

    def _iter_pieces(self) -> Iterator[bytes]:
        crowd = self._crowd
        if crowd.is_byte_by_byte:
            for octet in crowd.head:
                yield bytes((octet,))
            return
        yield crowd.head
        yield from itertools.repeat(crowd.block, crowd.blocks)


async def _call(node: NodeProcess) -> int:
    """Send an ordinary request; return the status, or 0 without an answer."""
    try:
        async with (
            asyncio.timeout(_HANG_S),
            aiohttp.ClientSession() as session,
            session.get(
                f'http://{node.host}:{ENTRY_PORT}/sound',
                headers={'Host': CALLER_HOST, 'Deadline-Ms': _DEADLINE_MS},
            ) as response,
        ):
            await response.read()
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def _wait_until_served(node: NodeProcess) -> None:
    async with asyncio.timeout(_HANG_S):
        while await _call(node) != _OK:
            await asyncio.sleep(_CHECK_S)


async def _send_half(node: NodeProcess, port: int, head: bytes) -> bool:
    """Send the start of a request; return whether the node closes."""
    reader, writer = await asyncio.open_connection(node.host, port)
    writer.write(head)
    with suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(_HANG_S):
            await reader.read()
    is_closed = reader.at_eof() or reader.exception() is not None
    writer.close()
    return is_closed


async def _run_half_heads(folder: Path) -> dict[str, bool]:
    async with running_node(
        folder,
        respond=_respond,
        slots=_SLOTS,
        limit_bytes=_MEMORY_LIMIT_BYTES,
        limits=_SHORT_HEADER_TIMEOUT,
    ) as node:
        await _wait_until_served(node)
        are_closed = await asyncio.gather(
            *(_send_half(node, *half) for half in _HALF_HEADS.values())
        )
        return dict(zip(_HALF_HEADS, are_closed, strict=True))


async def _run(
    folder: Path,
    crowd: _Crowd,
    *,
    port: int = ENTRY_PORT,
    slots: int = _SLOTS,
    max_descriptors: int | None = None,
) -> _Evidence:
    async with running_node(
        folder,
        respond=_respond,
        slots=slots,
        limit_bytes=_MEMORY_LIMIT_BYTES,
        limits=_LIMITS,
        max_descriptors=max_descriptors,
    ) as node:
        await _wait_until_served(node)
        clients = _Clients(crowd, node.host, port)
        async with clients.run(node):
            status = await _call(node)
            evidence = _Evidence(
                node,
                status,
                clients.endless_connections,
                node.exit_code is None,
            )
            logger.info(
                '{:.0f} MB, {} descriptors, status {}, {} of {} sent all',
                node.peak_bytes / _BYTES_PER_MB,
                node.peak_descriptors,
                status,
                clients.endless_connections,
                crowd.clients,
            )
            return evidence


def _check(evidence: _Evidence) -> None:
    assert evidence.is_running
    assert evidence.node.peak_bytes < _MEMORY_LIMIT_BYTES
    assert evidence.status == _OK


@pytest.fixture(autouse=True)
def _run_one_at_a_time() -> Iterator[None]:
    # Several nodes at a time would compete for the machine's memory.
    path = Path(tempfile.gettempdir()) / 'verbenadeck-clients-test.lock'
    with path.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


# Guards against a node that ends by the memory of heads.
@pytest.mark.parametrize('form', sorted(_HUGE_HEADS))
def test_heads_over_the_limit_take_bounded_memory(
    form: str, tmp_path: Path
) -> None:
    _check(asyncio.run(_run(tmp_path, _HUGE_HEADS[form])))


# Guards against a node that ends by the memory of answers nobody takes.
@pytest.mark.parametrize('form', sorted(_LONG_ANSWERS))
def test_answers_that_are_not_read_take_bounded_memory(
    form: str, tmp_path: Path
) -> None:
    _check(asyncio.run(_run(tmp_path, _LONG_ANSWERS[form])))


# Guards against callers that occupy an upstream by reading slowly.
def test_slots_are_free_while_answers_are_not_read(tmp_path: Path) -> None:
    crowd = _Crowd(_LONG_REQUEST, clients=8)
    _check(asyncio.run(_run(tmp_path, crowd, slots=2)))


# Guards against a node that ends by the objects it makes of single bytes.
@pytest.mark.parametrize('form', sorted(_SMALL_PIECES))
def test_small_pieces_take_bounded_memory(form: str, tmp_path: Path) -> None:
    _check(asyncio.run(_run(tmp_path, _SMALL_PIECES[form])))


# Guards against connections that occupy the node as long as they like.
@pytest.mark.parametrize('form', sorted(_ENDLESS))
def test_connection_that_sends_without_end_is_closed(
    form: str, tmp_path: Path
) -> None:
    evidence = asyncio.run(_run(tmp_path, _ENDLESS[form]))
    _check(evidence)
    assert evidence.endless_connections == 0


# Guards against connections that are kept by a few bytes.
def test_heads_that_do_not_end_are_closed(tmp_path: Path) -> None:
    are_closed = asyncio.run(_run_half_heads(tmp_path))
    assert are_closed == dict.fromkeys(_HALF_HEADS, True)


# Guards against a node that has no descriptor left for files and upstreams.
@pytest.mark.parametrize('port', [CONTROL_PORT, ENTRY_PORT])
def test_silent_connections_leave_descriptors_free(
    port: int, tmp_path: Path
) -> None:
    evidence = asyncio.run(
        _run(tmp_path, _SILENT, port=port, max_descriptors=_MAX_DESCRIPTORS)
    )
    _check(evidence)
    free_descriptors = _MAX_DESCRIPTORS - evidence.node.peak_descriptors
    assert free_descriptors >= _FILE_DESCRIPTORS


# Guards against the end of a node by heads at the address for heartbeats.
def test_heads_over_the_limit_at_the_control_address_take_bounded_memory(
    tmp_path: Path,
) -> None:
    _check(asyncio.run(_run(tmp_path, _CONTROL_HEADS, port=CONTROL_PORT)))


@pytest.mark.parametrize('form', sorted(_CONTROL_ENDLESS))
def test_connection_that_sends_without_end_to_control_is_closed(
    form: str, tmp_path: Path
) -> None:
    evidence = asyncio.run(
        _run(tmp_path, _CONTROL_ENDLESS[form], port=CONTROL_PORT)
    )
    _check(evidence)
    assert evidence.endless_connections == 0
