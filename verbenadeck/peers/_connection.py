"""TCP connection between two nodes, used by both of its sides."""

import asyncio
from collections.abc import Callable

from verbenadeck.peers._frames import (
    PART_BYTES,
    READ_BYTES,
    Frame,
    FrameDecoder,
    FrameError,
    FrameKind,
    encode_frame,
    split_message,
)
from verbenadeck.peers._options import PeerOptions


class Connection:
    """Connection that reads and writes frames.

    Parameters
    ----------
    reader, writer : asyncio streams
        Streams of the open connection.
    options : PeerOptions
        Limits and timeouts.
    now_s : callable returning float
        Returns the monotonic time in seconds.

    Attributes
    ----------
    last_received_s : float
        Monotonic time in seconds at which bytes were last received.
    is_open : bool
        Whether frames can be written.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        options: PeerOptions,
        now_s: Callable[[], float],
    ) -> None:
        self.last_received_s = now_s()
        self.is_open = True
        self._reader = reader
        self._writer = writer
        self._options = options
        self._now_s = now_s
        self._unsent: list[bytes] = []
        self._call_soon = asyncio.get_running_loop().call_soon

    async def read(self, on_frame: Callable[[Frame], None]) -> str:
        """Read frames until the connection ends; return the reason."""
        decoder = FrameDecoder()
        try:
            while True:
                received = await self._reader.read(READ_BYTES)
                if not received:
                    return 'closed by the peer'
                self.last_received_s = self._now_s()
                for frame in decoder.feed(received):
                    self._handle_frame(frame, on_frame)
        except (OSError, FrameError) as error:
            return str(error) or type(error).__name__
        finally:
            self.close()

    def write(self, frame: Frame) -> None:
        """Write a frame at the end of this iteration of the event loop.

        Frames of one iteration are sent in one system call.
        """
        if not self._unsent:
            self._call_soon(self._flush)
        self._unsent.append(encode_frame(frame))

    async def send(self, kind: FrameKind, call_id: int, body: bytes) -> bool:
        """Write a message; return False if the peer never gets all of it.

        When the calling task is cancelled, the peer never gets all of it.
        """
        if not self.is_open or self._is_backlogged():
            return False
        if len(body) <= PART_BYTES:
            self.write(Frame(kind, call_id, True, body))
            return True
        return await self._send_parts(kind, call_id, body)

    def close(self) -> None:
        """Abort the connection and discard unsent frames."""
        self._unsent.clear()
        if self.is_open:
            self.is_open = False
            self._writer.transport.abort()

    async def close_gracefully(self) -> None:
        """Close the connection once all written frames are sent."""
        if self.is_open:
            self._flush()
            self.is_open = False
            self._writer.close()
            await self._wait_closed()

    async def _send_parts(
        self, kind: FrameKind, call_id: int, body: bytes
    ) -> bool:
        """Send a message in parts; return False if the connection ends.

        Nothing is awaited after the last part, so that a cancelled message is
        always incomplete.
        """
        is_complete = False
        try:
            for frame in split_message(kind, call_id, body):
                if not self.is_open:
                    break
                self.write(frame)
                self._flush()
                if frame.is_last:
                    is_complete = True
                else:
                    await self._drain()
        finally:
            if not is_complete:
                # The peer discards a truncated message, and with it the
                # parts that it would keep until the connection ends.
                self.write(Frame(kind, call_id))
        return is_complete

    async def _wait_closed(self) -> None:
        try:
            await asyncio.wait_for(
                self._writer.wait_closed(), self._options.silence_timeout_s
            )
        except (OSError, TimeoutError):
            self._writer.transport.abort()

    def _flush(self) -> None:
        unsent = b''.join(self._unsent)
        self._unsent.clear()
        if unsent and self.is_open:
            self._writer.write(unsent)

    def _handle_frame(
        self, frame: Frame, on_frame: Callable[[Frame], None]
    ) -> None:
        if frame.kind is FrameKind.PING:
            self.write(Frame(FrameKind.PONG))
        elif frame.kind is not FrameKind.PONG:
            on_frame(frame)

    def _is_backlogged(self) -> bool:
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        return unsent_bytes > self._options.max_kept_bytes

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError:
            self.close()
