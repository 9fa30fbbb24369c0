"""Builders of peer ports for tests."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from verbenadeck.peers import (
    Message,
    PeerAddress,
    PeerOptions,
    StreamPort,
)
from verbenadeck.utils import Clock


class Ask(Message, frozen=True, array_like=True, tag='ask'):
    number: int
    body: bytes = b''


class Tell(Message, frozen=True, array_like=True, tag='tell'):
    number: int
    body: bytes = b''


def make_port(*, options: PeerOptions | None = None) -> StreamPort:
    return StreamPort(
        PeerAddress('127.0.0.1', 0),
        kinds=(Ask, Tell),
        clock=Clock(),
        options=options or PeerOptions(),
    )


@asynccontextmanager
async def started(*ports: StreamPort) -> AsyncIterator[None]:
    for port in ports:
        await port.start()
    try:
        yield
    finally:
        for port in reversed(ports):
            await port.stop()


def soon_s() -> float:
    """Return a deadline that a passing test never reaches."""
    return Clock().now_s() + 30
