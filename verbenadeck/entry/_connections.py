"""HTTP connections of callers, with limits that can change at run time."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

from verbenadeck.entry._bounded_connection import BoundedConnection
from verbenadeck.entry._connection_group import ConnectionGroup
from verbenadeck.entry._limit_reports import Count
from verbenadeck.entry._listening import start_listening
from verbenadeck.entry._options import EntryOptions, make_connection_limits
from verbenadeck.utils import Clock

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
"""Answers one request of a caller."""

_LINGERING_TIME_S = 2.0


class CallerConnections:
    """All connections of callers to one entry.

    Parameters
    ----------
    handler : HttpHandler
        Answers the requests.
    options : EntryOptions
        Limits and time-outs of the connections that open next.
    count : callable
        Adds one to the counter with the given name.
    clock : Clock
        Clock of this VM.
    """

    def __init__(
        self,
        handler: HttpHandler,
        *,
        options: EntryOptions,
        count: Count,
        clock: Clock,
    ) -> None:
        self._options = options
        self._group = ConnectionGroup(
            make_connection_limits(options), count=count, clock=clock
        )
        self._handler = handler
        self._server: web.Server | None = None
        self._listening: asyncio.Server | None = None

    @property
    def options(self) -> EntryOptions:
        """Limits and time-outs of the connections that open next."""
        return self._options

    def apply_options(self, options: EntryOptions) -> None:
        """Replace the limits and time-outs.

        Parameters
        ----------
        options : EntryOptions
            New options.
        """
        self._options = options
        self._group.apply_limits(make_connection_limits(options))

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
        server = web.Server(self._handler, handler_cancellation=True)
        self._server = server

        def make_connection() -> BoundedConnection:
            return BoundedConnection(
                server,
                loop=loop,
                group=self._group,
                lingering_time_s=_LINGERING_TIME_S,
                # Bodies go to the upstream as they came.
                auto_decompress=False,
            )

        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family)
        self._listening = await start_listening(
            make_connection, listener, backlog=self._options.listen_backlog
        )
        bound_port: int = listener.getsockname()[1]
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
            await self._server.shutdown(self._options.close_after_s)
