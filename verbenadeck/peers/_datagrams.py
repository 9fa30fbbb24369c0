"""Datagrams between nodes: heartbeats and other small notices."""

import asyncio
from collections.abc import Callable
from typing import cast

from verbenadeck.peers._interface import PeerAddress

MAX_DATAGRAM_BYTES = 1200


class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP socket of a node.

    Parameters
    ----------
    on_datagram : callable
        Called with the sender's address and the bytes.
    """

    def __init__(
        self, on_datagram: Callable[[PeerAddress, bytes], None]
    ) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # Transports of event loops are not instances of the abstract class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on."""
        self._on_datagram(PeerAddress(addr[0], addr[1]), data)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port is closed; heartbeats time out."""

    def send(self, peer: PeerAddress, body: bytes) -> bool:
        """Send a datagram; return False when it is too long or closed."""
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
