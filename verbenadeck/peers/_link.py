"""Link: the dialling side of the stream to one peer."""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from types import MappingProxyType

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.peers._connection import Connection
from verbenadeck.peers._frames import (
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


def _failed(failure: PeerFailure, detail: str) -> CallResult:
    return Failure(PeerError(failure, detail))


_TIMEOUT = _failed(PeerFailure.NO_REPLY, 'timeout')


def _rejected(reason: bytes) -> CallResult:
    return _failed(PeerFailure.NOT_SENT, reason.decode())


def _failed_there(reason: bytes) -> CallResult:
    return _failed(PeerFailure.NO_REPLY, reason.decode())


_RESULTS: Mapping[FrameKind, Callable[[bytes], CallResult]] = MappingProxyType(
    {
        FrameKind.REPLY: Success,
        FrameKind.REJECT: _rejected,
        FrameKind.FAIL: _failed_there,
    }
)


class _Session:
    """One connection of a link with the calls that wait on it."""

    def __init__(
        self, connection: Connection, assembler: MessageAssembler
    ) -> None:
        self.connection = connection
        self.assembler = assembler
        self.waiting: dict[int, asyncio.Future[CallResult]] = {}
        self.reading: asyncio.Task[None] | None = None
        self.pinged_s = 0.0

    def finish(self, call_id: int, reply: CallResult) -> None:
        """End a call; late and doubled replies find nobody waiting."""
        waiter = self.waiting.pop(call_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)


class Link:
    """Calls to one peer over one connection, redialled when lost.

    Parameters
    ----------
    peer : PeerAddress
        The peer.
    own_address : callable returning PeerAddress
        Address that the peer can call back.
    clock : Clock
        Clock.
    options : PeerOptions
        Bounds and times.
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
        self._dial_again_s = 0.0
        self._used_s = clock.now_s()
        self._call_ids = itertools.count(1)

    @property
    def is_unused(self) -> bool:
        """Whether the link has no connection and had no recent call."""
        is_idle = self._clock.now_s() > self._idle_end_s()
        return self._session is None and is_idle

    async def call(self, body: bytes, *, deadline_s: float) -> CallResult:
        """Send an encoded message and wait for the encoded reply."""
        self._used_s = self._clock.now_s()
        session = await self._connected(deadline_s)
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
        """Ping, and drop a connection that is silent or unused."""
        session = self._session
        if session is None:
            return
        now_s = self._clock.now_s()
        if not session.waiting and now_s > self._idle_end_s():
            self._drop(session, 'unused')
            return
        self._check_silence(session, now_s)

    async def close(self) -> None:
        """Close the connection; waiting calls get no reply."""
        session = self._session
        if session is not None:
            await session.connection.close_gracefully()
            self._drop(session, 'port stopped')

    def _idle_end_s(self) -> float:
        return self._used_s + self._options.idle_close_s

    def _check_silence(self, session: _Session, now_s: float) -> None:
        options = self._options
        is_pinged = session.pinged_s > session.connection.heard_s
        silent_end_s = session.pinged_s + options.silence_timeout_s
        if is_pinged and now_s >= silent_end_s:
            self._drop(session, 'connection is silent')
            return
        pause_s = options.idle_ping_s
        if session.waiting:
            pause_s = options.active_ping_s
        ping_due_s = session.connection.heard_s + pause_s
        if not is_pinged and now_s >= ping_due_s:
            session.pinged_s = now_s
            session.connection.write(Frame(FrameKind.PING))

    async def _exchange(
        self,
        session: _Session,
        call_id: int,
        body: bytes,
        deadline_s: float,
    ) -> CallResult:
        waiter = session.waiting[call_id]
        sent = await session.connection.send(FrameKind.CALL, call_id, body)
        if not sent:
            return _failed(PeerFailure.NOT_SENT, 'connection lost or full')
        timer = asyncio.get_running_loop().call_later(
            self._clock.remaining_s(deadline_s),
            session.finish,
            call_id,
            _TIMEOUT,
        )
        try:
            return await waiter
        finally:
            timer.cancel()

    async def _connected(self, deadline_s: float) -> _Session | None:
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
        if now_s < self._dial_again_s:
            return None
        dial_end_s = now_s + self._options.dial_timeout_s
        timeout_s = min(dial_end_s, deadline_s) - now_s
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*self._peer)
        except (OSError, TimeoutError) as error:
            self._dial_again_s = (
                self._clock.now_s() + self._options.redial_pause_s
            )
            _log.debug('dial to {} failed: {!r}', self._peer, error)
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
            self._take(session, frame)

        reason = await session.connection.read(on_frame)
        self._drop(session, reason)

    def _take(self, session: _Session, frame: Frame) -> None:
        reply = session.assembler.add(frame)
        if reply is None:
            return
        make_result = _RESULTS.get(frame.kind)
        if make_result is not None:
            session.finish(frame.call_id, make_result(reply))

    def _drop(self, session: _Session, reason: str) -> None:
        session.connection.close()
        if self._session is session:
            self._session = None
            _log.debug('link to {} dropped: {}', self._peer, reason)
        for call_id in tuple(session.waiting):
            lost = _failed(PeerFailure.NO_REPLY, reason)
            session.finish(call_id, lost)
