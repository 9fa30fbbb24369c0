"""Load: long messages on saturated links that nobody waits for any more."""

import asyncio

import pytest

from verbenadeck.peers import PeerAddress, PeerFailure, PeerOptions
from verbenadeck.peers._codec import MessageCodec
from verbenadeck.peers._frames import (
    PART_BYTES,
    FrameDecoder,
    FrameKind,
    MessageAssembler,
)
from verbenadeck.peers._link import Link, _Session
from verbenadeck.peers.tests.builders import (
    Request,
    StalledWriter,
    distant_deadline_s,
    make_stalled_connection,
    make_transport,
    running_transports,
)
from verbenadeck.testing import run_virtual, virtual_clock
from verbenadeck.utils import Clock

_LIMIT_BYTES = 400_000


def _make_assembler() -> MessageAssembler:
    return MessageAssembler(
        max_message_bytes=_LIMIT_BYTES, max_kept_bytes=_LIMIT_BYTES
    )


# Guards against bodies for callers that have gone, and against parts of them
# that the peer keeps in memory until the connection ends.
def test_cancelled_message_stops_and_is_discarded_by_the_peer() -> None:
    async def scenario() -> None:
        codec = MessageCodec([Request])
        connection, writer = make_stalled_connection(virtual_clock())
        body = codec.encode(Request(1, bytes(300_000)))
        task = asyncio.create_task(connection.send(FrameKind.CALL, 7, body))
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.1)
        assembler = _make_assembler()
        frames = list(FrameDecoder().feed(bytes(writer.written)))
        truncated = [assembler.add(frame) for frame in frames][-1]
        assert truncated == body[:PART_BYTES]
        assert isinstance(codec.decode(truncated).failure(), str)
        assert not assembler._incomplete_bytes

    run_virtual(scenario())


def _make_link(clock: Clock) -> tuple[Link, StalledWriter]:
    connection, writer = make_stalled_connection(clock)
    address = PeerAddress('127.0.0.1', 7000)
    link = Link(
        address,
        own_address=lambda: address,
        clock=clock,
        options=PeerOptions(),
    )
    link._session = _Session(connection, _make_assembler())
    return link, writer


# Guards against calls that wait for a saturated link beyond their deadlines,
# and against an unknown outcome of a call that the peer cannot have handled.
def test_message_that_is_not_sent_by_its_deadline_stops() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        link, writer = _make_link(clock)
        deadline_s = clock.now_s() + 0.5
        reply = await link.call(bytes(300_000), deadline_s=deadline_s)
        assert reply.failure().failure is PeerFailure.NOT_SENT
        assert reply.failure().has_used_link
        assert clock.now_s() == pytest.approx(deadline_s)
        assert len(writer.written) < 2 * PART_BYTES

    run_virtual(scenario())


# Guards against a refusal "not run" of a call that the peer may have handled,
# also while the connection stalls after the last part.
@pytest.mark.parametrize('size_bytes', (100, 2 * PART_BYTES))
def test_message_that_was_sent_by_its_deadline_has_an_unknown_outcome(
    size_bytes: int,
) -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        link, writer = _make_link(clock)
        body = bytes(size_bytes)

        def read_once() -> None:
            writer.is_open.set()
            writer.is_open.clear()

        asyncio.get_running_loop().call_later(0.4, read_once)
        reply = await link.call(body, deadline_s=clock.now_s() + 0.5)
        assert reply.failure().failure is PeerFailure.NO_REPLY
        assembler = _make_assembler()
        frames = FrameDecoder().feed(bytes(writer.written))
        assert [assembler.add(frame) for frame in frames][-1] == body

    run_virtual(scenario())


# Guards against an unknown outcome of a call that the peer cannot have handled.
def test_message_whose_connection_is_lost_midway_is_not_sent() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        link, writer = _make_link(clock)
        writer.is_lost = True
        asyncio.get_running_loop().call_later(0.1, writer.is_open.set)
        reply = await link.call(bytes(300_000), deadline_s=clock.now_s() + 0.5)
        assert reply.failure().failure is PeerFailure.NOT_SENT
        assert len(writer.written) < 2 * PART_BYTES

    run_virtual(scenario())


# Guards against a last part that is written although the call has ended: the
# peer would run a request that was refused as not run.
def test_message_cancelled_when_the_peer_reads_again_stays_incomplete() -> None:
    async def scenario() -> None:
        connection, writer = make_stalled_connection(virtual_clock())
        body = bytes(2 * PART_BYTES)
        task = asyncio.create_task(connection.send(FrameKind.CALL, 7, body))
        await asyncio.sleep(0.1)
        writer.is_open.set()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.1)
        assembler = _make_assembler()
        frames = FrameDecoder().feed(bytes(writer.written))
        assert [assembler.add(frame) for frame in frames][-1] != body

    run_virtual(scenario())


# Guards against a rejected message that does not count as load of the link, as
# opposed to one that finds no connection.
@pytest.mark.parametrize('is_up', (True, False))
def test_rejected_message_has_used_the_link(is_up: bool) -> None:
    async def scenario() -> None:
        client_node = make_transport()
        server_node = make_transport(options=PeerOptions(max_running=0))
        async with running_transports(client_node, server_node):
            if not is_up:
                await server_node.stop()
            reply = await client_node.call(
                server_node.address, Request(1), deadline_s=distant_deadline_s()
            )
        assert reply.failure().failure is PeerFailure.NOT_SENT
        assert reply.failure().has_used_link is is_up

    asyncio.run(scenario())
