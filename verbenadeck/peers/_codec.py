"""Encoding of messages, whose type is identified by a tag."""

from collections.abc import Iterable
from typing import Union

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.peers._interface import Message


class MessageCodec:
    """Codec of the message types that a node sends or receives.

    Parameters
    ----------
    message_types : iterable of type
        Subclasses of `Message` with unique tags.

    Examples
    --------
    >>> class Ping(Message, frozen=True, array_like=True, tag='ping'):
    ...     number: int
    >>> class Pong(Message, frozen=True, array_like=True, tag='pong'):
    ...     number: int
    >>> codec = MessageCodec([Ping, Pong])
    >>> codec.decode(codec.encode(Ping(7))).unwrap()
    Ping(number=7)
    """

    def __init__(self, message_types: Iterable[type[Message]]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Message] = (
            msgspec.msgpack.Decoder(Union[tuple(message_types)])  # noqa: UP007
        )

    def encode(self, message: Message) -> bytes:
        """Encode a message."""
        return self._encoder.encode(message)

    def decode(self, received: bytes) -> Result[Message, str]:
        """Decode a message; the failure describes why the bytes are invalid."""
        try:
            return Success(self._decoder.decode(received))
        except (msgspec.DecodeError, ValueError) as error:
            return Failure(str(error))
