"""Interface of the transport between nodes."""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, TypeVar

import msgspec
from returns.result import Result


class PeerAddress(NamedTuple):
    """Address of a node for its peers, by TCP for streams, UDP for datagrams.

    Attributes
    ----------
    host : str
        IP address of the node.
    port : int
        Port number, the same for TCP and UDP.
    """

    host: str
    port: int


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages between nodes.

    Subclasses set a unique `tag` and are passed to the transport when it is
    created: ``class Ping(Message, frozen=True, array_like=True,
    tag='ping')``.
    """


class PeerFailure(enum.Enum):
    """Whether a call without a reply can have reached the peer."""

    NOT_SENT = 'not-sent'
    NO_REPLY = 'no-reply'


class PeerError(msgspec.Struct, frozen=True):
    """Failure of a call to a peer.

    Parameters
    ----------
    failure : PeerFailure
        `NOT_SENT` only if the peer certainly did not handle the message.
    detail : str
        Short description of the cause.
    has_used_link : bool
        Whether the message was sent to the peer, or parts of it, when the peer
        did not handle it.
    """

    failure: PeerFailure
    detail: str
    has_used_link: bool = False


_Sent = TypeVar('_Sent', bound=Message)
Handler = Callable[[PeerAddress, _Sent], Awaitable[Message | None]]
"""Called with the peer address of the sender and a message; returns the reply."""


class PeerTransport(Protocol):
    """Transport of typed messages to and from other nodes."""

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
        """Send a short message as a datagram, without delivery guarantee.

        If the handler at the peer returns a reply, it arrives as a datagram
        and is passed to the handler of its own type on this node.
        """
        ...
