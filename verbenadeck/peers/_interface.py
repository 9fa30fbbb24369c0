"""Interface through which services talk to other nodes."""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, TypeVar

import msgspec
from returns.result import Result


class PeerAddress(NamedTuple):
    """Address of a node's peer port, TCP for streams and UDP for datagrams."""

    host: str
    port: int


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between nodes.

    Subclasses set a unique `tag` and are listed with the peer port before
    it starts: ``class Ping(Message, frozen=True, array_like=True,
    tag='ping')``.
    """


class PeerFailure(enum.Enum):
    """What is known about a call that has no reply."""

    NOT_SENT = 'not-sent'
    NO_REPLY = 'no-reply'


class PeerError(msgspec.Struct, frozen=True):
    """A call to a peer failed.

    Parameters
    ----------
    failure : PeerFailure
        `NOT_SENT` only when the peer certainly did not get the message.
    detail : str
        One short sentence.
    """

    failure: PeerFailure
    detail: str


_Sent = TypeVar('_Sent', bound=Message)
Handler = Callable[[PeerAddress, _Sent], Awaitable[Message | None]]
"""Answers one message; gets the sender's peer address and the message."""


class PeerTransport(Protocol):
    """Sends typed messages to other nodes and handles theirs."""

    def register_handler(
        self, kind: type[_Sent], handler: Handler[_Sent]
    ) -> None:
        """Register the handler of one message type."""
        ...

    async def call(
        self,
        peer: PeerAddress,
        message: Message,
        *,
        deadline_s: float,
    ) -> Result[Message, PeerError]:
        """Send a message over the stream and wait for the reply."""
        ...

    def send_datagram(self, peer: PeerAddress, message: Message) -> None:
        """Send a small message as a datagram, with no promise of arrival.

        A non-None return of the handler there comes back as a datagram,
        to the handler of its own type here.
        """
        ...
