"""In-memory network between nodes on one virtual loop, with faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from verbenadeck.peers import (
    Handler,
    Message,
    PeerAddress,
    PeerError,
    PeerFailure,
)
from verbenadeck.utils import Clock

_ONE_WAY_DELAY_S = 0.005


class FakeNetwork:
    """In-memory network between `FakeTransport` objects, with faults.

    Parameters
    ----------
    seed : int
        Seed of the random source that decides which datagrams are lost.

    Attributes
    ----------
    delay_s : callable
        Returns the one-way delay in seconds for a pair of addresses.
    blocked_links : set of (PeerAddress, PeerAddress)
        Directed pairs over which nothing is delivered.
    loss : float
        Fraction of datagrams that are lost, from 0 to 1.
    transports : dict of PeerAddress to FakeTransport
        Transport that receives the messages sent to each address.
    """

    def __init__(self, *, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.blocked_links: set[tuple[PeerAddress, PeerAddress]] = set()
        self.loss = 0.0
        self.delay_s: Callable[[PeerAddress, PeerAddress], float] = (
            lambda _source, _target: _ONE_WAY_DELAY_S
        )
        self.transports: dict[PeerAddress, FakeTransport] = {}

    def transport(self, address: PeerAddress, clock: Clock) -> 'FakeTransport':
        """Create the transport of an address, replacing an earlier one."""
        transport = FakeTransport(self, address, clock)
        self.transports[address] = transport
        return transport

    def isolate(self, address: PeerAddress) -> None:
        """Block the links between an address and all others, both ways."""
        for other in self.transports:
            self.blocked_links.update(((address, other), (other, address)))

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    async def wait_for_delivery(
        self, source: PeerAddress, target: PeerAddress
    ) -> bool:
        """Wait for the one-way delay and return whether a message arrives."""
        await asyncio.sleep(self.delay_s(source, target))
        is_up = target in self.transports and self.transports[target].is_up
        return is_up and (source, target) not in self.blocked_links


class FakeTransport:
    """Transport between nodes over a `FakeNetwork`.

    Parameters
    ----------
    network : FakeNetwork
        Network that carries the messages.
    address : PeerAddress
        Address of this end.
    clock : Clock
        Clock against which call deadlines are measured.

    Attributes
    ----------
    is_up : bool
        Whether messages to this transport are delivered.
    """

    def __init__(
        self, network: FakeNetwork, address: PeerAddress, clock: Clock
    ) -> None:
        self.address = address
        self.is_up = True
        self._network = network
        self._clock = clock
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register_handler(self, kind: type[Any], handler: Handler[Any]) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handler

    async def call(
        self, peer: PeerAddress, message: Message, *, deadline_s: float
    ) -> Result[Message, PeerError]:
        """Send a message and wait for the reply until the deadline."""
        try:
            async with asyncio.timeout(self._clock.remaining_s(deadline_s)):
                return await self._exchange(peer, message)
        except TimeoutError:
            return Failure(PeerError(PeerFailure.NO_REPLY, 'timeout'))

    def send_datagram(self, peer: PeerAddress, message: Message) -> None:
        """Send a datagram without waiting for its delivery."""
        task = asyncio.ensure_future(self._deliver(peer, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def receive(
        self, source: PeerAddress, message: Message
    ) -> Message | None:
        """Run the handler of a message and return its reply."""
        handler = self._handlers.get(type(message))
        return None if handler is None else await handler(source, message)

    async def _exchange(
        self, peer: PeerAddress, message: Message
    ) -> Result[Message, PeerError]:
        if not await self._network.wait_for_delivery(self.address, peer):
            await asyncio.Event().wait()
        reply = await self._network.transports[peer].receive(
            self.address, message
        )
        arrived = await self._network.wait_for_delivery(peer, self.address)
        if reply is None or not arrived:
            await asyncio.Event().wait()
            raise AssertionError('unreachable')
        return Success(reply)

    async def _deliver(self, peer: PeerAddress, message: Message) -> None:
        network = self._network
        if network.random.random() < network.loss:
            return
        if not await network.wait_for_delivery(self.address, peer):
            return
        reply = await network.transports[peer].receive(self.address, message)
        if reply is not None and self.is_up:
            network.transports[peer].send_datagram(self.address, reply)
