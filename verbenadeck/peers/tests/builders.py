"""Builders of transports for tests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from verbenadeck.peers import (
    Message,
    PeerAddress,
    PeerOptions,
    StreamTransport,
)
from verbenadeck.peers._connection import Connection
from verbenadeck.utils import Clock


class Request(Message, frozen=True, array_like=True, tag='request'):
    """Call that the tests send."""

    number: int
    body: bytes = b''


class Response(Message, frozen=True, array_like=True, tag='response'):
    """Reply that the handlers of the tests return."""

    number: int
    body: bytes = b''


def make_transport(*, options: PeerOptions | None = None) -> StreamTransport:
    """Return a transport on a free local port."""
    return StreamTransport(
        PeerAddress('127.0.0.1', 0),
        message_types=(Request, Response),
        clock=Clock(),
        options=options or PeerOptions(),
    )


@asynccontextmanager
async def running_transports(
    *transports: StreamTransport,
) -> AsyncIterator[None]:
    """Start transports and stop them in reverse order."""
    for transport in transports:
        await transport.start()
    try:
        yield
    finally:
        for transport in reversed(transports):
            await transport.stop()


def distant_deadline_s() -> float:
    """Return a deadline in seconds that a passing test never reaches."""
    return Clock().now_s() + 30


class StalledWriter:
    """Writer of a connection whose peer reads nothing.

    Attributes
    ----------
    written : bytearray
        Bytes that were written.
    transport : StalledWriter
        The writer itself, which has no backlog and can be aborted.
    is_open : asyncio.Event
        Set to let the peer read.
    is_lost : bool
        Whether the connection is lost.
    """

    def __init__(self) -> None:
        self.written = bytearray()
        self.transport = self
        self.is_open = asyncio.Event()
        self.is_lost = False

    def write(self, part: bytes) -> None:
        """Keep the bytes."""
        self.written += part

    def get_write_buffer_size(self) -> int:
        """Return no backlog."""
        return 0

    async def drain(self) -> None:
        """Wait until the peer reads or the connection is lost."""
        await self.is_open.wait()
        if self.is_lost:
            raise ConnectionResetError

    def abort(self) -> None:
        """Do nothing."""


def make_stalled_connection(clock: Clock) -> tuple[Connection, StalledWriter]:
    """Return a connection whose peer reads nothing, and its writer."""
    writer = StalledWriter()
    connection = Connection(
        asyncio.StreamReader(),
        cast(asyncio.StreamWriter, writer),
        options=PeerOptions(),
        now_s=clock.now_s,
    )
    return connection, writer
