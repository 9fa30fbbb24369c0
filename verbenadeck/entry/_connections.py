"""HTTP connections of callers, with limits that can change at run time."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from verbenadeck.entry._bounded_connection import BoundedConnection
from verbenadeck.entry._options import EntryOptions

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
"""Answers one request of a caller."""

_NO_ACCESS_LOG = None
_LINGERING_TIME_S = 2.0
"""Time in seconds for which the rest of the body of a refused request is read
and dropped, since a close with unread bytes would reset the connection before
the caller has read its answer."""


class CallerConnection(BoundedConnection):
    """Connection of a caller, closed if its first request does not arrive.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server that answers the requests.
    loop : asyncio.AbstractEventLoop
        Event loop of the node.
    options : EntryOptions
        Limits and time-outs when the connection opens.
    """

    __slots__ = (
        '_has_data',
        '_header_timeout_s',
        '_idle_timeout_s',
        'has_request',
    )

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        options: EntryOptions,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=options.idle_timeout_s,
            max_line_size=options.header_limit_bytes,
            max_field_size=options.header_limit_bytes,
            lingering_time=_LINGERING_TIME_S,
            access_log=_NO_ACCESS_LOG,  # type: ignore[arg-type]
            # Bodies go to the upstream as they came.
            auto_decompress=False,
        )
        self.has_request = False
        self._has_data = False
        self._header_timeout_s = options.header_timeout_s
        self._idle_timeout_s = options.idle_timeout_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time-out until the first byte.

        Parameters
        ----------
        transport : asyncio.BaseTransport
            Transport of the connection.
        """
        super().connection_made(transport)
        self._close_if_unused_after(self._idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; the first ones start the time-out of the first head.

        Parameters
        ----------
        data : bytes
            Bytes received.
        """
        if not self._has_data:
            self._has_data = True
            self._close_if_unused_after(self._header_timeout_s)
        super().data_received(data)

    def _close_if_unused_after(self, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._close_if_unused)

    def _close_if_unused(self) -> None:
        if not self.has_request:
            self.force_close()


class CallerConnections:
    """All connections of callers to one entry.

    Parameters
    ----------
    handler : HttpHandler
        Answers the requests.
    options : EntryOptions
        Limits and time-outs of the connections that open next.
    """

    def __init__(self, handler: HttpHandler, *, options: EntryOptions) -> None:
        self.options = options
        self._handler = handler
        self._server: web.Server | None = None
        self._listening: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to listen and return the port.

        Parameters
        ----------
        host : str
            IP address to listen on.
        port : int
            TCP port; 0 selects a free one.

        Raises
        ------
        OSError
            If the port is in use.
        """
        loop = asyncio.get_running_loop()
        server = web.Server(self._handle, handler_cancellation=True)
        self._server = server
        self._listening = await loop.create_server(
            lambda: CallerConnection(server, loop=loop, options=self.options),
            host,
            port,
            backlog=self.options.listen_backlog,
        )
        bound_port: int = self._listening.sockets[0].getsockname()[1]
        return bound_port

    def close_listener(self) -> None:
        """Accept no more connections."""
        if self._listening is not None:
            self._listening.close()

    def close_idle(self) -> None:
        """Close connections without a request, the others after theirs."""
        if self._server is not None:
            self._server.pre_shutdown()

    async def close(self) -> None:
        """Close all connections, after the answers that are being written."""
        if self._server is not None:
            await self._server.shutdown(self.options.close_after_s)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if isinstance(connection, CallerConnection):
            connection.has_request = True
        return await self._handler(request)
