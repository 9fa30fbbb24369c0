"""Calls and datagrams between transports, and failures of connections."""

import asyncio
import contextlib
import gc
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
    Request,
    Response,
    distant_deadline_s,
    make_transport,
    running_transports,
)
from verbenadeck.utils import Clock, encode_msgpack

_LONG_BODY_BYTES = 1_000_000


@contextlib.asynccontextmanager
async def _raw_server(
    serve: 'asyncio.streams._ClientConnectedCallback',
) -> AsyncIterator[PeerAddress]:
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield PeerAddress(*server.sockets[0].getsockname()[:2])
    server.close()


def test_replies_out_of_order_reach_their_calls() -> None:
    async def scenario() -> None:
        client_node, server_node = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            # Replies are sent in the reverse order of the calls.
            for _ in range(50 - request.number):
                await asyncio.sleep(0)
            return Response(request.number, request.body)

        server_node.register_handler(Request, answer)
        async with running_transports(client_node, server_node):
            replies = await asyncio.gather(
                *(
                    client_node.call(
                        server_node.address,
                        Request(number, str(number).encode()),
                        deadline_s=distant_deadline_s(),
                    )
                    for number in range(50)
                )
            )
        for number, reply in enumerate(replies):
            assert reply.unwrap() == Response(number, str(number).encode())

    asyncio.run(scenario())


def test_long_message_arrives_complete_beside_short_message() -> None:
    async def scenario() -> None:
        client_node, server_node = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            return Response(request.number, request.body)

        server_node.register_handler(Request, answer)
        long_body = bytes(range(250)) * (_LONG_BODY_BYTES // 250)
        async with running_transports(client_node, server_node):
            long, short = await asyncio.gather(
                client_node.call(
                    server_node.address,
                    Request(1, long_body),
                    deadline_s=distant_deadline_s(),
                ),
                client_node.call(
                    server_node.address,
                    Request(2),
                    deadline_s=distant_deadline_s(),
                ),
            )
        assert long.unwrap() == Response(1, long_body)
        assert short.unwrap() == Response(2)

    asyncio.run(scenario())


def test_call_on_refused_connection_fails_as_not_sent() -> None:
    async def scenario() -> None:
        client_node, server_node = make_transport(), make_transport()
        async with running_transports(client_node):
            async with running_transports(server_node):
                stopped_address = server_node.address
            reply = await client_node.call(
                stopped_address, Request(1), deadline_s=distant_deadline_s()
            )
        assert reply.failure().failure is PeerFailure.NOT_SENT

    asyncio.run(scenario())


def test_silent_connection_fails_call_and_is_dialled_again() -> None:
    async def scenario() -> None:
        dials = 0
        released = asyncio.Event()

        async def hold_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal dials
            dials += 1
            await released.wait()
            writer.close()

        options = PeerOptions(active_ping_s=0.02, silence_timeout_s=0.05)
        client_node = make_transport(options=options)
        async with (
            running_transports(client_node),
            _raw_server(hold_connection) as address,
        ):
            first = await client_node.call(
                address, Request(1), deadline_s=distant_deadline_s()
            )
            again = await client_node.call(
                address, Request(1), deadline_s=distant_deadline_s()
            )
            released.set()
        assert first.failure().failure is PeerFailure.NO_REPLY
        assert again.failure().failure is PeerFailure.NO_REPLY
        assert dials == 2

    asyncio.run(scenario())


def _encode_bad_then_good(frame: Frame, bad_count: int) -> bytes:
    if frame.kind is not FrameKind.CALL:
        return b''
    bad = encode_frame(Frame(FrameKind.REPLY, frame.call_id, True, b'x'))
    body = encode_msgpack(Response(frame.call_id))
    good = encode_frame(Frame(FrameKind.REPLY, frame.call_id, True, body))
    return b''.join([bad for _ in range(bad_count)]) + good


@pytest.mark.parametrize('reply_count', [1, 3])
def test_late_and_duplicate_replies_do_not_reach_other_calls(
    reply_count: int,
) -> None:
    async def scenario() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            decoder = FrameDecoder()
            while received := await reader.read(65536):
                for frame in decoder.feed(received):
                    writer.write(_encode_bad_then_good(frame, reply_count))
            writer.close()

        client_node = make_transport()
        async with (
            running_transports(client_node),
            _raw_server(serve) as address,
        ):
            for _ in range(3):
                reply = await client_node.call(
                    address, Request(1), deadline_s=distant_deadline_s()
                )
                # The first reply decides the call, and here it is not a message.
                assert reply.failure().failure is PeerFailure.NO_REPLY

    asyncio.run(scenario())


def test_malformed_bytes_close_only_their_connection() -> None:
    async def scenario() -> None:
        client_node, server_node = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            return Response(request.number)

        server_node.register_handler(Request, answer)
        async with running_transports(client_node, server_node):
            reader, writer = await asyncio.open_connection(*server_node.address)
            writer.write(b'\xc1' * 100)
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b''
            writer.close()
            reply = await client_node.call(
                server_node.address, Request(4), deadline_s=distant_deadline_s()
            )
        assert reply.unwrap() == Response(4)

    asyncio.run(scenario())


def test_call_of_unknown_type_is_rejected() -> None:
    async def scenario() -> None:
        server_node = make_transport()
        async with running_transports(server_node):
            reader, writer = await asyncio.open_connection(*server_node.address)
            hello = encode_msgpack(Hello(PROTOCOL_VERSION, '127.0.0.1', 1))
            writer.write(encode_frame(Frame(FrameKind.HELLO, 0, True, hello)))
            call = Frame(FrameKind.CALL, 1, True, b'\x91\xa3xyz')
            writer.write(encode_frame(call))
            frames = list(FrameDecoder().feed(await reader.read(65536)))
            writer.close()
        assert [frame.kind for frame in frames] == [FrameKind.REJECT]

    asyncio.run(scenario())


def test_stop_waits_for_running_handlers_to_reply() -> None:
    async def scenario() -> None:
        client_node, server_node = make_transport(), make_transport()
        arrived, may_answer = asyncio.Event(), asyncio.Event()

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            arrived.set()
            await may_answer.wait()
            return Response(request.number)

        server_node.register_handler(Request, answer)
        async with running_transports(client_node):
            await server_node.start()
            call_task = asyncio.create_task(
                client_node.call(
                    server_node.address,
                    Request(5),
                    deadline_s=distant_deadline_s(),
                )
            )
            await arrived.wait()
            stopping = asyncio.create_task(server_node.stop())
            await asyncio.sleep(0)
            may_answer.set()
            await stopping
            reply = await call_task
        assert reply.unwrap() == Response(5)

    asyncio.run(scenario())


def test_datagram_is_answered_by_datagram() -> None:
    async def scenario() -> None:
        first_node, second_node = make_transport(), make_transport()
        received_response: asyncio.Future[tuple[PeerAddress, Response]] = (
            asyncio.get_running_loop().create_future()
        )

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            return Response(request.number)

        async def record_response(
            peer: PeerAddress, response: Response
        ) -> None:
            received_response.set_result((peer, response))

        second_node.register_handler(Request, answer)
        first_node.register_handler(Response, record_response)
        async with running_transports(first_node, second_node):
            first_node.send_datagram(second_node.address, Request(6))
            async with asyncio.timeout(30):
                peer, response = await received_response
            assert peer == second_node.address
        assert response == Response(6)

    asyncio.run(scenario())


def test_reply_that_cannot_be_encoded_fails_the_call_at_once() -> None:
    # Guards against a caller that waits for its deadline for a known failure.
    async def scenario() -> None:
        first_node, second_node = make_transport(), make_transport()

        async def answer(_peer: PeerAddress, _request: Request) -> Response:
            return Response(2**70)

        second_node.register_handler(Request, answer)
        async with running_transports(first_node, second_node):
            async with asyncio.timeout(10):
                answer_or_error = await first_node.call(
                    second_node.address,
                    Request(1),
                    deadline_s=distant_deadline_s(),
                )
        assert answer_or_error.failure().failure is PeerFailure.NO_REPLY

    asyncio.run(scenario())


def test_handler_of_datagram_that_raises_leaves_the_next_one_answered() -> None:
    async def scenario() -> None:
        first_node, second_node = make_transport(), make_transport()
        received: asyncio.Queue[Response] = asyncio.Queue()
        unhandled: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: unhandled.append(context)
        )

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            if request.number == 1:
                raise ValueError('unexpected')
            return Response(request.number)

        async def record_response(
            _peer: PeerAddress, response: Response
        ) -> None:
            received.put_nowait(response)

        second_node.register_handler(Request, answer)
        first_node.register_handler(Response, record_response)
        async with running_transports(first_node, second_node):
            for number in (1, 2):
                first_node.send_datagram(second_node.address, Request(number))
            async with asyncio.timeout(30):
                assert await received.get() == Response(2)
        gc.collect()
        assert not unhandled

    asyncio.run(scenario())


def test_incomplete_message_over_limit_raises_error() -> None:
    assembler = MessageAssembler(max_message_bytes=100, max_kept_bytes=150)
    assembler.add(Frame(FrameKind.CALL, 1, False, bytes(90)))
    with pytest.raises(FrameError, match='100 bytes'):
        assembler.add(Frame(FrameKind.CALL, 1, False, bytes(20)))


def test_incomplete_messages_over_total_limit_raise_error() -> None:
    assembler = MessageAssembler(max_message_bytes=100, max_kept_bytes=150)
    assembler.add(Frame(FrameKind.CALL, 1, False, bytes(90)))
    with pytest.raises(FrameError, match='150 bytes'):
        assembler.add(Frame(FrameKind.CALL, 2, False, bytes(90)))


def test_message_of_boundary_size_survives_split_and_assembly() -> None:
    for size in (0, 1, 65_535, 65_536, 65_537, 131_072):
        assembler = MessageAssembler(
            max_message_bytes=200_000, max_kept_bytes=200_000
        )
        body = bytes(size)
        frames = split_message(FrameKind.CALL, 1, body)
        assembled = [assembler.add(frame) for frame in frames]
        assert assembled[-1] == body
        assert assembled[:-1] == [None for _part in assembled[:-1]]


def test_call_without_reply_ends_at_deadline() -> None:
    async def scenario() -> None:
        client_node, server_node = make_transport(), make_transport()
        may_answer = asyncio.Event()

        async def answer(_peer: PeerAddress, request: Request) -> Response:
            if request.number:
                await may_answer.wait()
            return Response(request.number)

        server_node.register_handler(Request, answer)
        async with running_transports(client_node, server_node):
            # The first call establishes the connection.
            first = await client_node.call(
                server_node.address, Request(0), deadline_s=distant_deadline_s()
            )
            late = await client_node.call(
                server_node.address,
                Request(1),
                deadline_s=Clock().now_s() + 0.01,
            )
            may_answer.set()
        assert first.unwrap() == Response(0)
        assert late.failure().failure is PeerFailure.NO_REPLY

    asyncio.run(scenario())
