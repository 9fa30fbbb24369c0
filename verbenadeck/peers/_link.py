"""Outbound connection, on which this node calls a peer."""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from types import MappingProxyType

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.peers._connection import Connection
from verbenadeck.peers._frames import (
    PART_BYTES,
    PROTOCOL_VERSION,
    Frame,
    FrameKind,
    Hello,
    MessageAssembler,
)
from verbenadeck.peers._interface import PeerAddress, PeerError, PeerFailure
from verbenadeck.peers._options import PeerOptions
from verbenadeck.utils import Clock, encode_msgpack

_log = logger.bind(part='peers')

CallResult = Result[bytes, PeerError]


def _failed(
    failure: PeerFailure, detail: str, *, has_used_link: bool = False
) -> CallResult:
    return Failure(PeerError(failure, detail, has_used_link))


_TIMED_OUT = _failed(PeerFailure.NO_REPLY, 'timeout')
_UNSENT = _failed(PeerFailure.NOT_SENT, 'connection lost or full')
_STOPPED = _failed(
    PeerFailure.NOT_SENT, 'timeout before the last frame', has_used_link=True
)


def _rejected(reason: bytes) -> CallResult:
    return _failed(PeerFailure.NOT_SENT, reason.decode(), has_used_link=True)


def _handler_failed(reason: bytes) -> CallResult:
    return _failed(PeerFailure.NO_REPLY, reason.decode())


_RESULT_FACTORIES: Mapping[FrameKind, Callable[[bytes], CallResult]] = (
    MappingProxyType(
        {
            FrameKind.REPLY: Success,
            FrameKind.REJECT: _rejected,
            FrameKind.FAIL: _handler_failed,
        }
    )
)


class _Session:
    """Connection of a link and the calls that await replies on it."""

    def __init__(
        self, connection: Connection, assembler: MessageAssembler
    ) -> None:
        self.connection = connection
        self.assembler = assembler
        self.waiting: dict[int, asyncio.Future[CallResult]] = {}
        self.reading: asyncio.Task[None] | None = None
        self.last_ping_s = 0.0

    def resolve_call(self, call_id: int, reply: CallResult) -> None:
        """Set the result of a call; late and duplicate replies are ignored."""
        waiter = self.waiting.pop(call_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)


class Link:
    """Client of one peer, whose connection is dialled again when lost.

    Parameters
    ----------
    peer : PeerAddress
        Address of the peer.
    own_address : callable returning PeerAddress
        Returns the address of this node, which is sent to the peer.
    clock : Clock
        Monotonic clock of this VM.
    options : PeerOptions
        Limits, intervals and timeouts.
    """

    def __init__(
        self,
        peer: PeerAddress,
        *,
        own_address: Callable[[], PeerAddress],
        clock: Clock,
        options: PeerOptions,
    ) -> None:
        self._peer = peer
        self._own_address = own_address
        self._clock = clock
        self._options = options
        self._session: _Session | None = None
        self._dialling = asyncio.Lock()
        self._next_dial_at_s = 0.0
        self._last_call_s = clock.now_s()
        self._call_ids = itertools.count(1)

    @property
    def is_unused(self) -> bool:
        """Whether the link has no connection and no recent call."""
        is_idle = self._clock.now_s() > self._idle_deadline_s()
        return self._session is None and is_idle

    async def call(self, body: bytes, *, deadline_s: float) -> CallResult:
        """Send an encoded message and wait for the encoded reply."""
        self._last_call_s = self._clock.now_s()
        session = await self._get_session(deadline_s)
        if session is None:
            return _failed(PeerFailure.NOT_SENT, 'no connection')
        call_id = next(self._call_ids)
        waiter = asyncio.get_running_loop().create_future()
        session.waiting[call_id] = waiter
        try:
            return await self._exchange(session, call_id, body, deadline_s)
        finally:
            session.waiting.pop(call_id, None)

    def check(self) -> None:
        """Send a ping if due; close a connection that is silent or unused."""
        session = self._session
        if session is None:
            return
        now_s = self._clock.now_s()
        if not session.waiting and now_s > self._idle_deadline_s():
            self._close_session(session, 'unused')
            return
        self._check_silence(session, now_s)

    async def close(self) -> None:
        """Close the connection; pending calls fail without a reply."""
        session = self._session
        if session is not None:
            await session.connection.close_gracefully()
            self._close_session(session, 'port stopped')

    def _idle_deadline_s(self) -> float:
        return self._last_call_s + self._options.idle_close_s

    def _check_silence(self, session: _Session, now_s: float) -> None:
        options = self._options
        is_pinged = session.last_ping_s > session.connection.last_received_s
        silence_deadline_s = session.last_ping_s + options.silence_timeout_s
        if is_pinged and now_s >= silence_deadline_s:
            self._close_session(session, 'connection is silent')
            return
        pause_s = options.idle_ping_s
        if session.waiting:
            pause_s = options.active_ping_s
        ping_due_s = session.connection.last_received_s + pause_s
        if not is_pinged and now_s >= ping_due_s:
            session.last_ping_s = now_s
            session.connection.write(Frame(FrameKind.PING))

    async def _exchange(
        self,
        session: _Session,
        call_id: int,
        body: bytes,
        deadline_s: float,
    ) -> CallResult:
        waiter = session.waiting[call_id]
        failure = await self._send(session, call_id, body, deadline_s)
        if failure is not None:
            return failure
        timer = asyncio.get_running_loop().call_later(
            self._clock.remaining_s(deadline_s),
            session.resolve_call,
            call_id,
            _TIMED_OUT,
        )
        try:
            return await waiter
        finally:
            timer.cancel()

    async def _send(
        self,
        session: _Session,
        call_id: int,
        body: bytes,
        deadline_s: float,
    ) -> CallResult | None:
        """Send a message; return the failure if the peer never gets it."""
        sending = session.connection.send(FrameKind.CALL, call_id, body)
        if len(body) <= PART_BYTES:
            # It is written without a wait, so that it needs no timeout.
            return None if await sending else _UNSENT
        try:
            async with asyncio.timeout(self._clock.remaining_s(deadline_s)):
                return None if await sending else _UNSENT
        except TimeoutError:
            return _STOPPED

    async def _get_session(self, deadline_s: float) -> _Session | None:
        session = self._session
        if session is not None and session.connection.is_open:
            return session
        async with self._dialling:
            session = self._session
            if session is not None and session.connection.is_open:
                return session
            return await self._dial(deadline_s)

    async def _dial(self, deadline_s: float) -> _Session | None:
        now_s = self._clock.now_s()
        if now_s < self._next_dial_at_s:
            return None
        dial_deadline_s = now_s + self._options.dial_timeout_s
        timeout_s = min(dial_deadline_s, deadline_s) - now_s
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*self._peer)
        except (OSError, TimeoutError) as error:
            self._next_dial_at_s = (
                self._clock.now_s() + self._options.redial_pause_s
            )
            _log.debug(
                'connecting to {} failed; failing the call: {!r}',
                self._peer,
                error,
            )
            return None
        return self._open_session(reader, writer)

    def _open_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> _Session:
        connection = Connection(
            reader, writer, options=self._options, now_s=self._clock.now_s
        )
        assembler = MessageAssembler(
            max_message_bytes=self._options.max_message_bytes,
            max_kept_bytes=self._options.max_kept_bytes,
        )
        session = _Session(connection, assembler)
        hello = Hello(PROTOCOL_VERSION, *self._own_address())
        connection.write(Frame(FrameKind.HELLO, 0, True, encode_msgpack(hello)))
        session.reading = asyncio.create_task(self._read(session))
        self._session = session
        return session

    async def _read(self, session: _Session) -> None:
        def on_frame(frame: Frame) -> None:
            self._handle_frame(session, frame)

        reason = await session.connection.read(on_frame)
        self._close_session(session, reason)

    def _handle_frame(self, session: _Session, frame: Frame) -> None:
        reply = session.assembler.add(frame)
        if reply is None:
            return
        make_result = _RESULT_FACTORIES.get(frame.kind)
        if make_result is not None:
            session.resolve_call(frame.call_id, make_result(reply))

    def _close_session(self, session: _Session, reason: str) -> None:
        session.connection.close()
        if self._session is session:
            self._session = None
            _log.debug('closed the connection to {}: {}', self._peer, reason)
        for call_id in tuple(session.waiting):
            lost = _failed(PeerFailure.NO_REPLY, reason)
            session.resolve_call(call_id, lost)
