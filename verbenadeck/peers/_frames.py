"""Frames of the stream between two nodes.

A stream is a sequence of msgpack arrays, each preceded by its length as four
bytes in big-endian order. A message longer than `PART_BYTES` is split into
several frames, so that frames of other calls can be sent between them.
"""

import enum
from collections.abc import Iterator

import msgspec

PROTOCOL_VERSION = 1
"""Version of the protocol; peers reject connections of another version."""

PART_BYTES = 65_536
"""Maximum size in bytes of the part of a message in one frame."""

READ_BYTES = 262_144
"""Maximum number of bytes per read from a connection."""

_FRAME_OVERHEAD_BYTES = 64
_LENGTH_BYTES = 4


class FrameKind(enum.IntEnum):
    """Type of a frame."""

    HELLO = 1
    CALL = 2
    REPLY = 3
    REJECT = 4
    FAIL = 5
    PING = 6
    PONG = 7


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Frame of a stream.

    Parameters
    ----------
    kind : FrameKind
        Type of the frame.
    call_id : int
        Identifier of the call, which is never reused on a connection.
    is_last : bool
        Whether this frame is the last one of its message.
    part : bytes
        Part of the encoded message, or the reason of a failed call.
    """

    kind: FrameKind
    call_id: int = 0
    is_last: bool = True
    part: bytes = b''


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message on a connection, which identifies the dialling node.

    Parameters
    ----------
    version : int
        Version of the protocol of the dialling node.
    host : str
        IP address of the dialling node.
    port : int
        Peer port of the dialling node.
    """

    version: int
    host: str
    port: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class FrameError(Exception):
    """A peer sent an invalid frame or one that exceeds a limit."""


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length.

    Examples
    --------
    >>> decoder = FrameDecoder(max_frame_bytes=1024)
    >>> frame = Frame(FrameKind.CALL, 7, True, b'body')
    >>> list(decoder.feed(encode_frame(frame))) == [frame]
    True
    """
    body = _encoder.encode(frame)
    return len(body).to_bytes(_LENGTH_BYTES) + body


def _decode_body(body: bytes) -> Frame:
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise FrameError(str(error)) from error


def split_message(
    kind: FrameKind, call_id: int, message: bytes
) -> Iterator[Frame]:
    """Yield the frames of a message, with at most `PART_BYTES` of it each."""
    stop = max(len(message), 1)
    for start in range(0, stop, PART_BYTES):
        end = start + PART_BYTES
        yield Frame(kind, call_id, end >= stop, message[start:end])


class FrameDecoder:
    """Incremental decoder of the frames of a connection.

    Parameters
    ----------
    max_frame_bytes : int
        Maximum size in bytes of a frame; a larger one raises `FrameError`.
    """

    def __init__(
        self, *, max_frame_bytes: int = PART_BYTES + _FRAME_OVERHEAD_BYTES
    ) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._incomplete_frame = b''

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that they complete.

        Raises
        ------
        FrameError
            If the bytes are not a valid frame or the frame is too large.
        """
        buffer = self._incomplete_frame + received
        start = 0
        while len(buffer) >= start + _LENGTH_BYTES:
            body_start = start + _LENGTH_BYTES
            stop = body_start + self._read_length(buffer, start)
            if len(buffer) < stop:
                break
            yield _decode_body(buffer[body_start:stop])
            start = stop
        self._incomplete_frame = buffer[start:]

    def _read_length(self, buffer: bytes, start: int) -> int:
        stop = start + _LENGTH_BYTES
        length = int.from_bytes(buffer[start:stop])
        if length > self._max_frame_bytes:
            raise FrameError(f'frame over {self._max_frame_bytes} bytes')
        return length


class MessageAssembler:
    """Assembler of messages from frames, with a limit on buffered bytes.

    Parameters
    ----------
    max_message_bytes : int
        Maximum size in bytes of a message.
    max_kept_bytes : int
        Maximum total size in bytes of incomplete messages on one connection.
    """

    def __init__(self, *, max_message_bytes: int, max_kept_bytes: int) -> None:
        self._max_message_bytes = max_message_bytes
        self._max_kept_bytes = max_kept_bytes
        self._incomplete_bytes = 0
        self._parts: dict[int, bytearray] = {}

    def add(self, frame: Frame) -> bytes | None:
        """Add a frame; return the message that it completes, if any.

        Raises
        ------
        FrameError
            If a message or all incomplete ones together exceed their limit.
        """
        if frame.is_last and frame.call_id not in self._parts:
            return frame.part
        message_parts = self._parts.setdefault(frame.call_id, bytearray())
        message_parts += frame.part
        self._incomplete_bytes += len(frame.part)
        self._check_size(len(message_parts))
        if not frame.is_last:
            return None
        self._incomplete_bytes -= len(message_parts)
        return bytes(self._parts.pop(frame.call_id))

    def _check_size(self, message_bytes: int) -> None:
        if message_bytes > self._max_message_bytes:
            raise FrameError(f'message over {self._max_message_bytes} bytes')
        if self._incomplete_bytes > self._max_kept_bytes:
            raise FrameError(f'over {self._max_kept_bytes} bytes incomplete')
