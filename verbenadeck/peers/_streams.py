"""Transport between nodes over TCP streams and UDP datagrams."""

import asyncio
from collections.abc import Iterable
from typing import Any

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.peers._codec import MessageCodec
from verbenadeck.peers._connection import Connection
from verbenadeck.peers._datagrams import DatagramEndpoint
from verbenadeck.peers._inbound import InboundConnection
from verbenadeck.peers._interface import (
    Handler,
    Message,
    PeerAddress,
    PeerError,
    PeerFailure,
)
from verbenadeck.peers._link import Link
from verbenadeck.peers._options import PeerOptions
from verbenadeck.utils import Clock

_log = logger.bind(part='peers')
_DEFAULT_OPTIONS = PeerOptions()


class StreamTransport:
    """Transport of a node, with one listening TCP socket and one UDP socket.

    Parameters
    ----------
    address : PeerAddress
        Address to listen on; port 0 selects a free port.
    message_types : iterable of type
        All message types that this node sends or receives.
    clock : Clock
        Monotonic clock of this VM.
    options : PeerOptions
        Limits, intervals and timeouts.

    Attributes
    ----------
    address : PeerAddress
        Address that the node listens on, with the selected port after `start`.
    """

    def __init__(
        self,
        address: PeerAddress,
        *,
        message_types: Iterable[type[Message]],
        clock: Clock,
        options: PeerOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self.address = address
        self._codec = MessageCodec(message_types)
        self._clock = clock
        self._options = options
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._links: dict[PeerAddress, Link] = {}
        self._inbound_connections: set[InboundConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._datagrams = DatagramEndpoint(self._on_datagram)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on both sockets.

        Raises
        ------
        OSError
            If the port is in use.
        """
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = PeerAddress(self.address.host, port)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._datagrams, local_addr=self.address
        )
        self._start_task(self._check_links())
        _log.info('listening for peers on {}:{}', *self.address)

    async def stop(self) -> None:
        """Wait for running handlers to reply, then close all connections."""
        if self._server is not None:
            self._server.close()
        inbound_connections = tuple(self._inbound_connections)
        await asyncio.gather(
            *(inbound.drain() for inbound in inbound_connections)
        )
        await asyncio.gather(*(link.close() for link in self._links.values()))
        for task in tuple(self._tasks):
            task.cancel()
        self._datagrams.close()

    def register_handler(self, kind: type[Any], handler: Handler[Any]) -> None:
        """Register the handler of one message type."""
        self._handlers[kind] = handler

    async def call(
        self, peer: PeerAddress, message: Message, *, deadline_s: float
    ) -> Result[Message, PeerError]:
        """Send a message over the stream and wait for the reply."""
        link = self._links.get(peer)
        if link is None:
            link = self._open_link(peer)
        body = self._codec.encode(message)
        if len(body) > self._options.max_message_bytes:
            return Failure(PeerError(PeerFailure.NOT_SENT, 'too long'))
        replied = await link.call(body, deadline_s=deadline_s)
        if not is_successful(replied):
            return Failure(replied.failure())
        decoded = self._codec.decode(replied.unwrap())
        if not is_successful(decoded):
            error = PeerError(PeerFailure.NO_REPLY, decoded.failure())
            return Failure(error)
        return Success(decoded.unwrap())

    def send_datagram(self, peer: PeerAddress, message: Message) -> None:
        """Send a short message as a datagram, without delivery guarantee."""
        if not self._datagrams.send(peer, self._codec.encode(message)):
            _log.warning(
                'datagram {} not sent: too long or socket closed; dropping it',
                type(message).__name__,
            )

    def _open_link(self, peer: PeerAddress) -> Link:
        link = Link(
            peer,
            own_address=lambda: self.address,
            clock=self._clock,
            options=self._options,
        )
        self._links[peer] = link
        return link

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(
            reader, writer, options=self._options, now_s=self._clock.now_s
        )
        inbound = InboundConnection(
            connection,
            decode=self._codec.decode,
            encode=self._codec.encode,
            dispatch=self._dispatch,
            options=self._options,
        )
        self._inbound_connections.add(inbound)
        try:
            await inbound.serve()
            await inbound.drain()
        finally:
            self._inbound_connections.discard(inbound)

    async def _dispatch(
        self, peer: PeerAddress, message: Message
    ) -> Message | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            _log.warning(
                'no handler for message type {}; dropping the message',
                type(message).__name__,
            )
            return None
        return await handler(peer, message)

    def _on_datagram(self, peer: PeerAddress, body: bytes) -> None:
        decoded = self._codec.decode(body)
        if is_successful(decoded):
            self._start_task(self._answer_datagram(peer, decoded.unwrap()))
        else:
            _log.warning(
                'dropping invalid datagram of {}: {}', peer, decoded.failure()
            )

    async def _answer_datagram(
        self, peer: PeerAddress, message: Message
    ) -> None:
        try:
            reply = await self._dispatch(peer, message)
        except Exception as error:
            # No caller waits for the result of a datagram.
            _log.opt(exception=error).error(
                'handler of datagram {} raised; dropping it',
                type(message).__name__,
            )
            return
        if reply is not None:
            self.send_datagram(peer, reply)

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(self._options.active_ping_s)
            for peer, link in tuple(self._links.items()):
                link.check()
                if link.is_unused:
                    self._links.pop(peer)

    def _start_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
