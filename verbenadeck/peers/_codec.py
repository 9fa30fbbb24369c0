"""Encoding of typed messages by their tags."""

from collections.abc import Iterable
from typing import Union

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.peers._interface import Message


class MessageCodec:
    """Encodes and decodes the message types of a node.

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
        """Return the bytes of a message."""
        return self._encoder.encode(message)

    def decode(self, received: bytes) -> Result[Message, str]:
        """Return the message, or what is wrong with the bytes."""
        try:
            return Success(self._decoder.decode(received))
        except (msgspec.DecodeError, ValueError) as error:
            return Failure(str(error))
