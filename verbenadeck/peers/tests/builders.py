"""Builders of peer ports for tests."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from verbenadeck.peers import (
    Message,
    PeerAddress,
    PeerOptions,
    StreamTransport,
)
from verbenadeck.utils import Clock


class Ask(Message, frozen=True, array_like=True, tag='ask'):
    number: int
    body: bytes = b''


class Tell(Message, frozen=True, array_like=True, tag='tell'):
    number: int
    body: bytes = b''


def make_transport(*, options: PeerOptions | None = None) -> StreamTransport:
    return StreamTransport(
        PeerAddress('127.0.0.1', 0),
        message_types=(Ask, Tell),
        clock=Clock(),
        options=options or PeerOptions(),
    )


@asynccontextmanager
async def started(*transports: StreamTransport) -> AsyncIterator[None]:
    for transport in transports:
        await transport.start()
    try:
        yield
    finally:
        for transport in reversed(transports):
            await transport.stop()


def soon_s() -> float:
    """Return a deadline that a passing test never reaches."""
    return Clock().now_s() + 30
