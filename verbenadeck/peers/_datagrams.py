"""UDP datagrams between nodes, for heartbeats and other short messages."""

import asyncio
from collections.abc import Callable
from typing import cast

from verbenadeck.peers._interface import PeerAddress

MAX_DATAGRAM_BYTES = 1200
"""Maximum size in bytes of a datagram."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP endpoint of a node.

    Parameters
    ----------
    on_datagram : callable
        Called with the address of the sender and the received bytes.
    """

    def __init__(
        self, on_datagram: Callable[[PeerAddress, bytes], None]
    ) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        # Transports of event loops need not be instances of this class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a received datagram to the callback."""
        self._on_datagram(PeerAddress(addr[0], addr[1]), data)

    def error_received(self, exc: Exception) -> None:
        """Ignore that the port of a peer is closed; its heartbeats time out."""

    def send(self, peer: PeerAddress, body: bytes) -> bool:
        """Send a datagram; return False if it is too long or the socket closed."""
        transport = self._transport
        if transport is None or len(body) > MAX_DATAGRAM_BYTES:
            return False
        transport.sendto(body, peer)
        return True

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
