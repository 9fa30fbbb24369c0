"""Builders of transports for tests."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from verbenadeck.peers import (
    Message,
    PeerAddress,
    PeerOptions,
    StreamTransport,
)
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
