"""Frames of the stream between two nodes.

A stream is a sequence of msgpack arrays, each after its length in four bytes,
big-endian. A message that is longer than
`PART_BYTES` goes in several frames, so that frames of other calls get
between them.
"""

import enum
from collections.abc import Iterator

import msgspec

PROTOCOL_VERSION = 1
PART_BYTES = 65_536
READ_BYTES = 262_144
_ENVELOPE_BYTES = 64
_LENGTH_BYTES = 4


class FrameKind(enum.IntEnum):
    """Meaning of a frame."""

    HELLO = 1
    CALL = 2
    REPLY = 3
    REJECT = 4
    FAIL = 5
    PING = 6
    PONG = 7


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One frame.

    Parameters
    ----------
    kind : FrameKind
        Meaning.
    call_id : int
        Call that the frame belongs to; never reused on a connection.
    is_last : bool
        Whether the message is complete with this frame.
    part : bytes
        Part of the encoded message.
    """

    kind: FrameKind
    call_id: int = 0
    is_last: bool = True
    part: bytes = b''


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message on a connection: who dials.

    Parameters
    ----------
    version : int
        Version of the protocol.
    host : str
        IP address of the dialling node.
    port : int
        Its port for peers.
    """

    version: int
    host: str
    port: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class FrameError(Exception):
    """A peer sent bytes that are no frame."""


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame.

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
    """Yield the frames of a message, of `PART_BYTES` at most each."""
    stop = max(len(message), 1)
    for start in range(0, stop, PART_BYTES):
        end = start + PART_BYTES
        yield Frame(kind, call_id, end >= stop, message[start:end])


class FrameDecoder:
    """Decodes frames from the bytes of a connection.

    Parameters
    ----------
    max_frame_bytes : int
        Longest frame; a longer one is a `FrameError`.
    """

    def __init__(
        self, *, max_frame_bytes: int = PART_BYTES + _ENVELOPE_BYTES
    ) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._rest = b''

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete.

        Raises
        ------
        FrameError
            When the bytes are no frame.
        """
        buffer = self._rest + received
        start = 0
        while len(buffer) >= start + _LENGTH_BYTES:
            body_start = start + _LENGTH_BYTES
            stop = body_start + self._read_length(buffer, start)
            if len(buffer) < stop:
                break
            yield _decode_body(buffer[body_start:stop])
            start = stop
        self._rest = buffer[start:]

    def _read_length(self, buffer: bytes, start: int) -> int:
        stop = start + _LENGTH_BYTES
        length = int.from_bytes(buffer[start:stop])
        if length > self._max_frame_bytes:
            raise FrameError(f'frame over {self._max_frame_bytes} bytes')
        return length


class MessageAssembler:
    """Joins the frames of messages, within a bound on kept bytes.

    Parameters
    ----------
    max_message_bytes : int
        Longest message.
    max_kept_bytes : int
        Most bytes of incomplete messages on one connection.
    """

    def __init__(self, *, max_message_bytes: int, max_kept_bytes: int) -> None:
        self._max_message_bytes = max_message_bytes
        self._max_kept_bytes = max_kept_bytes
        self._kept_bytes = 0
        self._parts: dict[int, bytearray] = {}

    def add(self, frame: Frame) -> bytes | None:
        """Return the message that a frame completes, None before that.

        Raises
        ------
        FrameError
            When a message or all incomplete ones together are too long.
        """
        if frame.is_last and frame.call_id not in self._parts:
            return frame.part
        kept = self._parts.setdefault(frame.call_id, bytearray())
        kept += frame.part
        self._kept_bytes += len(frame.part)
        self._check_size(len(kept))
        if not frame.is_last:
            return None
        self._kept_bytes -= len(kept)
        return bytes(self._parts.pop(frame.call_id))

    def _check_size(self, message_bytes: int) -> None:
        if message_bytes > self._max_message_bytes:
            raise FrameError(f'message over {self._max_message_bytes} bytes')
        if self._kept_bytes > self._max_kept_bytes:
            raise FrameError(f'over {self._max_kept_bytes} bytes incomplete')
