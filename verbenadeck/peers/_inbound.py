"""Inbound connection, on which a peer calls this node."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Result

from verbenadeck.peers._connection import Connection
from verbenadeck.peers._frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameError,
    FrameKind,
    Hello,
    MessageAssembler,
)
from verbenadeck.peers._interface import Message, PeerAddress
from verbenadeck.peers._options import PeerOptions

_log = logger.bind(part='peers')

Dispatch = Callable[[PeerAddress, Message], Awaitable[Message | None]]


class InboundConnection:
    """Server of the calls that one peer makes on a connection.

    Parameters
    ----------
    connection : Connection
        Accepted connection.
    decode : callable
        Decodes a received message.
    encode : callable
        Encodes a reply.
    dispatch : callable
        Runs the handler of a message and returns its reply.
    options : PeerOptions
        Limits and timeouts.
    """

    def __init__(
        self,
        connection: Connection,
        *,
        decode: Callable[[bytes], Result[Message, str]],
        encode: Callable[[Message], bytes],
        dispatch: Dispatch,
        options: PeerOptions,
    ) -> None:
        self._connection = connection
        self._decode = decode
        self._encode = encode
        self._dispatch = dispatch
        self._options = options
        self._peer: PeerAddress | None = None
        self._running_calls: set[asyncio.Task[None]] = set()
        self._assembler = MessageAssembler(
            max_message_bytes=options.max_message_bytes,
            max_kept_bytes=options.max_kept_bytes,
        )

    async def serve(self) -> None:
        """Serve until the connection ends, without ending running handlers."""
        reason = await self._connection.read(self._handle_frame)
        _log.debug('inbound connection of {} ended: {}', self._peer, reason)

    async def drain(self) -> None:
        """Wait for running handlers to reply, then close the connection."""
        while self._running_calls:
            await asyncio.wait(self._running_calls)
        await self._connection.close_gracefully()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind is FrameKind.HELLO:
            self._handle_hello(frame)
        elif self._peer is None or frame.kind is not FrameKind.CALL:
            raise FrameError(f'unexpected frame {frame.kind.name}')
        else:
            self._handle_call(self._peer, frame)

    def _handle_hello(self, frame: Frame) -> None:
        try:
            hello = msgspec.msgpack.decode(frame.part, type=Hello)
        except msgspec.DecodeError as error:
            raise FrameError(str(error)) from error
        if hello.version != PROTOCOL_VERSION:
            raise FrameError(f'protocol version {hello.version}')
        self._peer = PeerAddress(hello.host, hello.port)

    def _handle_call(self, peer: PeerAddress, frame: Frame) -> None:
        body = self._assembler.add(frame)
        if body is None:
            return
        if len(self._running_calls) >= self._options.max_running:
            self._reject(frame.call_id, 'too many calls')
            return
        decoded = self._decode(body)
        if not is_successful(decoded):
            self._reject(frame.call_id, decoded.failure())
            return
        task = asyncio.create_task(
            self._answer(peer, frame.call_id, decoded.unwrap())
        )
        self._running_calls.add(task)
        task.add_done_callback(self._running_calls.discard)

    async def _answer(
        self, peer: PeerAddress, call_id: int, message: Message
    ) -> None:
        try:
            reply = await self._dispatch(peer, message)
            body = b'' if reply is None else self._encode(reply)
        except Exception:
            _log.exception(
                'handler of {} raised an exception; failing the call',
                type(message).__name__,
            )
            self._write_failure(FrameKind.FAIL, call_id, 'handler failed')
            return
        if reply is None:
            self._write_failure(FrameKind.FAIL, call_id, 'no reply')
            return
        await self._connection.send(FrameKind.REPLY, call_id, body)

    def _reject(self, call_id: int, reason: str) -> None:
        _log.warning('rejected a call of {}: {}', self._peer, reason)
        self._write_failure(FrameKind.REJECT, call_id, reason)

    def _write_failure(
        self, kind: FrameKind, call_id: int, reason: str
    ) -> None:
        self._connection.write(Frame(kind, call_id, True, reason.encode()))
