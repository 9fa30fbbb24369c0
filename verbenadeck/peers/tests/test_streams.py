import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from verbenadeck.peers import PeerAddress, PeerFailure, PeerOptions
from verbenadeck.peers._frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameDecoder,
    FrameError,
    FrameKind,
    Hello,
    MessageAssembler,
    encode_frame,
    split_message,
)
from verbenadeck.peers.tests.builders import (
    Ask,
    Tell,
    make_transport,
    soon_s,
    started,
)
from verbenadeck.utils import Clock, encode_msgpack

_LONG_BYTES = 1_000_000


@contextlib.asynccontextmanager
async def _raw_server(
    serve: 'asyncio.streams._ClientConnectedCallback',
) -> AsyncIterator[PeerAddress]:
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield PeerAddress(*server.sockets[0].getsockname()[:2])
    server.close()


def test_answers_out_of_order_reach_their_own_callers() -> None:
    async def scenario() -> None:
        entry, door = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, ask: Ask) -> Tell:
            # The first asked is the last answered.
            for _ in range(50 - ask.number):
                await asyncio.sleep(0)
            return Tell(ask.number, ask.body)

        door.register_handler(Ask, answer)
        async with started(entry, door):
            replies = await asyncio.gather(
                *(
                    entry.call(
                        door.address,
                        Ask(number, str(number).encode()),
                        deadline_s=soon_s(),
                    )
                    for number in range(50)
                )
            )
        for number, reply in enumerate(replies):
            assert reply.unwrap() == Tell(number, str(number).encode())

    asyncio.run(scenario())


def test_long_messages_are_whole_and_do_not_block_short_ones() -> None:
    async def scenario() -> None:
        entry, door = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, ask: Ask) -> Tell:
            return Tell(ask.number, ask.body)

        door.register_handler(Ask, answer)
        long_body = bytes(range(250)) * (_LONG_BYTES // 250)
        async with started(entry, door):
            long, short = await asyncio.gather(
                entry.call(
                    door.address, Ask(1, long_body), deadline_s=soon_s()
                ),
                entry.call(door.address, Ask(2), deadline_s=soon_s()),
            )
        assert long.unwrap() == Tell(1, long_body)
        assert short.unwrap() == Tell(2)

    asyncio.run(scenario())


def test_refused_connection_is_not_sent() -> None:
    async def scenario() -> None:
        entry, door = make_transport(), make_transport()
        async with started(entry):
            async with started(door):
                gone = door.address
            reply = await entry.call(gone, Ask(1), deadline_s=soon_s())
        assert reply.failure().failure is PeerFailure.NOT_SENT

    asyncio.run(scenario())


def test_silent_connection_ends_the_call_and_is_redialled() -> None:
    async def scenario() -> None:
        dials = 0
        released = asyncio.Event()

        async def swallow(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal dials
            dials += 1
            await released.wait()
            writer.close()

        options = PeerOptions(active_ping_s=0.02, silence_timeout_s=0.05)
        entry = make_transport(options=options)
        async with started(entry), _raw_server(swallow) as address:
            first = await entry.call(address, Ask(1), deadline_s=soon_s())
            again = await entry.call(address, Ask(1), deadline_s=soon_s())
            released.set()
        assert first.failure().failure is PeerFailure.NO_REPLY
        assert again.failure().failure is PeerFailure.NO_REPLY
        assert dials == 2

    asyncio.run(scenario())


def _bad_then_good(frame: Frame, bad_count: int) -> bytes:
    if frame.kind is not FrameKind.CALL:
        return b''
    bad = encode_frame(Frame(FrameKind.REPLY, frame.call_id, True, b'x'))
    body = encode_msgpack(Tell(frame.call_id))
    good = encode_frame(Frame(FrameKind.REPLY, frame.call_id, True, body))
    return b''.join([bad for _ in range(bad_count)]) + good


@pytest.mark.parametrize('reply_count', [1, 3])
def test_late_and_doubled_replies_reach_nobody_else(reply_count: int) -> None:
    async def scenario() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            decoder = FrameDecoder()
            while received := await reader.read(65536):
                for frame in decoder.feed(received):
                    writer.write(_bad_then_good(frame, reply_count))
            writer.close()

        entry = make_transport()
        async with started(entry), _raw_server(serve) as address:
            for _ in range(3):
                reply = await entry.call(address, Ask(1), deadline_s=soon_s())
                # The first reply to a call counts; it is no message here.
                assert reply.failure().failure is PeerFailure.NO_REPLY

    asyncio.run(scenario())


def test_malformed_bytes_close_only_their_connection() -> None:
    async def scenario() -> None:
        entry, door = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, ask: Ask) -> Tell:
            return Tell(ask.number)

        door.register_handler(Ask, answer)
        async with started(entry, door):
            reader, writer = await asyncio.open_connection(*door.address)
            writer.write(b'\xc1' * 100)
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b''
            writer.close()
            reply = await entry.call(door.address, Ask(4), deadline_s=soon_s())
        assert reply.unwrap() == Tell(4)

    asyncio.run(scenario())


def test_a_call_of_unknown_type_is_rejected_as_not_sent() -> None:
    async def scenario() -> None:
        door = make_transport()
        async with started(door):
            reader, writer = await asyncio.open_connection(*door.address)
            hello = encode_msgpack(Hello(PROTOCOL_VERSION, '127.0.0.1', 1))
            writer.write(encode_frame(Frame(FrameKind.HELLO, 0, True, hello)))
            call = Frame(FrameKind.CALL, 1, True, b'\x91\xa3xyz')
            writer.write(encode_frame(call))
            frames = list(FrameDecoder().feed(await reader.read(65536)))
            writer.close()
        assert [frame.kind for frame in frames] == [FrameKind.REJECT]

    asyncio.run(scenario())


def test_stop_lets_running_handlers_reply() -> None:
    async def scenario() -> None:
        entry, door = make_transport(), make_transport()
        arrived, may_answer = asyncio.Event(), asyncio.Event()

        async def answer(_peer: PeerAddress, ask: Ask) -> Tell:
            arrived.set()
            await may_answer.wait()
            return Tell(ask.number)

        door.register_handler(Ask, answer)
        async with started(entry):
            await door.start()
            asked = asyncio.create_task(
                entry.call(door.address, Ask(5), deadline_s=soon_s())
            )
            await arrived.wait()
            stopping = asyncio.create_task(door.stop())
            await asyncio.sleep(0)
            may_answer.set()
            await stopping
            reply = await asked
        assert reply.unwrap() == Tell(5)

    asyncio.run(scenario())


def test_datagrams_are_answered_by_datagrams() -> None:
    async def scenario() -> None:
        one, two = make_transport(), make_transport()
        got: asyncio.Future[tuple[PeerAddress, Tell]] = (
            asyncio.get_running_loop().create_future()
        )

        async def answer(_peer: PeerAddress, ask: Ask) -> Tell:
            return Tell(ask.number)

        async def take(peer: PeerAddress, tell: Tell) -> None:
            got.set_result((peer, tell))

        two.register_handler(Ask, answer)
        one.register_handler(Tell, take)
        async with started(one, two):
            one.send_datagram(two.address, Ask(6))
            async with asyncio.timeout(30):
                peer, tell = await got
            assert peer == two.address
        assert tell == Tell(6)

    asyncio.run(scenario())


def test_an_incomplete_message_over_the_bound_is_an_error() -> None:
    assembler = MessageAssembler(max_message_bytes=100, max_kept_bytes=150)
    assembler.add(Frame(FrameKind.CALL, 1, False, bytes(90)))
    with pytest.raises(FrameError, match='100 bytes'):
        assembler.add(Frame(FrameKind.CALL, 1, False, bytes(20)))


def test_incomplete_messages_together_are_bounded() -> None:
    assembler = MessageAssembler(max_message_bytes=100, max_kept_bytes=150)
    assembler.add(Frame(FrameKind.CALL, 1, False, bytes(90)))
    with pytest.raises(FrameError, match='150 bytes'):
        assembler.add(Frame(FrameKind.CALL, 2, False, bytes(90)))


def test_split_and_assembled_messages_are_equal_at_the_edges() -> None:
    for size in (0, 1, 65_535, 65_536, 65_537, 131_072):
        assembler = MessageAssembler(
            max_message_bytes=200_000, max_kept_bytes=200_000
        )
        body = bytes(size)
        frames = split_message(FrameKind.CALL, 1, body)
        assembled = [assembler.add(frame) for frame in frames]
        assert assembled[-1] == body
        assert assembled[:-1] == [None for _part in assembled[:-1]]


def test_a_call_ends_at_its_deadline() -> None:
    async def scenario() -> None:
        entry, door = make_transport(), make_transport()
        may_answer = asyncio.Event()

        async def answer(_peer: PeerAddress, ask: Ask) -> Tell:
            if ask.number:
                await may_answer.wait()
            return Tell(ask.number)

        door.register_handler(Ask, answer)
        async with started(entry, door):
            # The first call sets up the connection.
            first = await entry.call(door.address, Ask(0), deadline_s=soon_s())
            late = await entry.call(
                door.address, Ask(1), deadline_s=Clock().now_s() + 0.01
            )
            may_answer.set()
        assert first.unwrap() == Tell(0)
        assert late.failure().failure is PeerFailure.NO_REPLY

    asyncio.run(scenario())
