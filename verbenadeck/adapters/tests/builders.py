"""Builders of test data and a scripted server for the tests of adapters."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from types import MappingProxyType

import msgspec

from verbenadeck.adapters import (
    MAX_ANSWER_BYTES,
    UpstreamHttpAdapter,
    UpstreamRequest,
)
from verbenadeck.adapters.wire import AnnounceBody
from verbenadeck.model import Fence, Request, RequestId, ServiceName
from verbenadeck.utils import Clock

HOST = '127.0.0.1'
DEADLINE_S = 30.0
ABANDONED_AFTER_S = 5.0
ENDLESS_BYTES = 4 * MAX_ANSWER_BYTES
MAX_DETAIL_LENGTH = 300


def build_announcement(port: int, *, instance: str = 'life-1') -> AnnounceBody:
    """Return a valid announcement of a warm upstream on this machine."""
    return AnnounceBody(
        service='catalogue',
        instance=instance,
        host=HOST,
        port=port,
        slots=20,
        connections=110,
        bearable=20,
    )


def build_upstream_request(
    clock: Clock,
    *,
    method: str = 'POST',
    path: str = '/oven-17',
    request_id: str = 'id-1',
    timeout_s: float = DEADLINE_S,
    shard: int = 7,
    fence: int = 5,
    headers: tuple[tuple[str, str], ...] = (),
    is_repeatable: bool = False,
) -> UpstreamRequest:
    """Return a request with a deadline `timeout_s` seconds from now."""
    request = Request(
        request_id=RequestId(request_id),
        service=ServiceName('catalogue'),
        key='oven-17',
        method=method,
        path=path,
        headers=headers,
        body=b'hold',
        is_repeatable=is_repeatable,
        deadline_s=clock.now_s() + timeout_s,
    )
    return UpstreamRequest(request, Fence(fence), shard)


def build_adapter(
    clock: Clock, port: int, *, instance: str = 'life-1'
) -> UpstreamHttpAdapter:
    """Return an adapter to which an upstream has announced itself."""
    adapter = UpstreamHttpAdapter(clock=clock)
    body = build_announcement(port, instance=instance)
    adapter.announce(msgspec.json.encode(body)).unwrap()
    return adapter


class RawServer:
    """TCP server that answers the head of each request with scripted bytes.

    Parameters
    ----------
    script : callable
        Returns the bytes to send, given the number of heads received. The
        connection stays open after bytes that end with ``KEEP``.

    Attributes
    ----------
    heads : list of bytes
        Heads of the requests, in order of arrival.
    writers : list of asyncio.StreamWriter
        Accepted connections.
    port : int
        TCP port on which it listens.
    """

    def __init__(self, script: Callable[[int], bytes]) -> None:
        self.heads: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0
        self._script = script

    @property
    def connection_count(self) -> int:
        """Number of connections accepted."""
        return len(self.writers)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection until the script closes it."""
        self.writers.append(writer)
        try:
            while True:
                self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                reply = self._script(len(self.heads))
                writer.write(reply)
                if not reply.endswith(b'KEEP'):
                    break
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


@asynccontextmanager
async def raw_server(
    script: Callable[[int], bytes],
) -> AsyncIterator[RawServer]:
    """Yield a scripted server that listens until the block ends."""
    server = RawServer(script)
    listener = await asyncio.start_server(server.serve, HOST, 0)
    server.port = listener.sockets[0].getsockname()[1]
    async with listener:
        yield server


class EndlessServer:
    """TCP server whose answer repeats a block until the client closes.

    It stops at `ENDLESS_BYTES`, to bound the memory of a failing test.

    Parameters
    ----------
    head : bytes
        First bytes of the answer.
    block : bytes
        Bytes that follow, again and again.

    Attributes
    ----------
    sent_bytes : int
        Bytes sent after the head.
    closed : asyncio.Event
        Set when the client has closed the connection.
    port : int
        TCP port on which it listens.
    """

    def __init__(self, head: bytes, block: bytes) -> None:
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self.port = 0
        self._head = head
        self._block = block

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request until its connection fails."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._head)
        with suppress(ConnectionError):
            while self.sent_bytes < ENDLESS_BYTES:
                writer.write(self._block)
                await writer.drain()
                self.sent_bytes += len(self._block)
            await reader.read()
        self.closed.set()
        writer.close()


@asynccontextmanager
async def endless_server(
    head: bytes, block: bytes
) -> AsyncIterator[EndlessServer]:
    """Yield a server with endless answers that listens until the block ends."""
    server = EndlessServer(head, block)
    listener = await asyncio.start_server(server.serve, HOST, 0)
    server.port = listener.sockets[0].getsockname()[1]
    async with listener:
        yield server


_BLOCK_BYTES = 65_536
_BLOCK = bytes(_BLOCK_BYTES)
_FIELDS = b'X-Many: a\r\n' * 4096


def _make_head(fields: str) -> bytes:
    return f'HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n{fields}'.encode()


ENDLESS_ANSWERS = MappingProxyType(
    {
        'no answer': (b'', _BLOCK),
        'header field': (_make_head('X-Long: '), b'a' * _BLOCK_BYTES),
        'header fields': (_make_head(''), _FIELDS),
        'body without length': (_make_head('\r\n'), _BLOCK),
        'body with length': (
            _make_head('Content-Length: 99999999999999\r\n\r\n'),
            _BLOCK,
        ),
        'body in chunks': (
            _make_head('Transfer-Encoding: chunked\r\n\r\n'),
            b''.join((b'10000\r\n', _BLOCK, b'\r\n')),
        ),
        'body in tiny chunks': (
            _make_head('Transfer-Encoding: chunked\r\n\r\n'),
            b'1\r\na\r\n' * 8192,
        ),
        'trailers': (
            _make_head('Transfer-Encoding: chunked\r\n\r\n0\r\n'),
            _FIELDS,
        ),
        'interim heads': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2048),
        'chunk extension': (
            _make_head('Transfer-Encoding: chunked\r\n\r\n1;a='),
            b'a' * _BLOCK_BYTES,
        ),
    }
)
"""First bytes and repeated bytes of answers without end, by their form."""
