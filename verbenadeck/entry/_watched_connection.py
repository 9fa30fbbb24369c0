"""HTTP server connection whose unread answers are counted."""

import asyncio
import socket
import struct
from typing import cast

from aiohttp import web

from verbenadeck.entry._connection_group import ConnectionGroup

_READ_BUFFER_BYTES = 65_536
"""Half of the bytes of a body that wait for their reader; a sixteenth of it is
the number of chunks."""

_SEND_BUFFER_BYTES = 131_072
"""Size in bytes of the kernel's buffer for answers. It grows to megabytes by
itself, which are memory of the machine for each client that reads slowly."""

_WRITE_BUFFER_BYTES = 16_384
"""Unread bytes above which an answer is counted while it is being written; each
connection may hold as many beside."""

_RESET = struct.pack('ii', 1, 0)


class WatchedConnection(web.RequestHandler):
    """Connection that is closed when its client does not read the answers.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server that answers the requests.
    loop : asyncio.AbstractEventLoop
        Event loop of the node.
    group : ConnectionGroup
        Limits, and what all connections of the server share.
    lingering_time_s : float
        Time in seconds for which the rest of the body of a refused request is
        read and dropped, since a close with unread bytes would reset the
        connection before the client has read its answer.
    auto_decompress : bool
        Whether bodies are decompressed.
    """

    __slots__ = ('_group', '_is_aborted', '_is_writing_whole', '_wire')

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        group: ConnectionGroup,
        lingering_time_s: float,
        auto_decompress: bool = True,
    ) -> None:
        limits = group.limits
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_limit_bytes,
            max_field_size=limits.header_limit_bytes,
            lingering_time=lingering_time_s,
            access_log=None,  # type: ignore[arg-type]
            read_bufsize=_READ_BUFFER_BYTES,
            auto_decompress=auto_decompress,
        )
        self._group = group
        self._is_aborted = False
        self._is_writing_whole = False
        # aiohttp forgets its transport before the last bytes are written.
        self._wire: asyncio.Transport | None = None

    def __str__(self) -> str:
        return f'connection from {self.peername}'

    @property
    def unread_bytes(self) -> int:
        """Size of the answers that the client has not read, in bytes."""
        return 0 if self._wire is None else self._wire.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection at once, without what is unread."""
        wire = self._wire
        if wire is None:
            return
        self._is_aborted = True
        # The kernel would keep the bytes in its buffer until they are read.
        wire.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET
        )
        wire.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the group.

        Parameters
        ----------
        transport : asyncio.BaseTransport
            Transport of the connection.
        """
        wire = cast(asyncio.Transport, transport)
        self._wire = wire
        wire.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        wire.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        self._group.join(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Leave the group.

        Parameters
        ----------
        exc : BaseException or None
            Cause, None if the connection was closed in order.
        """
        self._group.leave(self)
        super().connection_lost(exc)
        self._wire = None

    def pause_writing(self) -> None:
        """Count the bytes that the client has not read."""
        super().pause_writing()
        self._group.note_unread(self)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, and wait until most of it has been read.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            Request that is answered.
        resp : aiohttp.web.StreamResponse
            The answer.
        start_time : float or None
            Not used.
        """
        self._is_writing_whole = True
        try:
            finished = await super().finish_response(request, resp, start_time)
        finally:
            self._is_writing_whole = False
        if self.unread_bytes:
            self._group.note_unread(self)
        if self._paused:
            if isinstance(resp, web.Response):
                # The transport has a copy of what is not read yet.
                resp.body = None
            try:
                await self._drain_helper()
            except ConnectionError:
                return resp, True
        if not self._messages:
            self._group.mark_idle(self)
        return finished

    async def _drain_helper(self) -> None:
        # Waiting within aiohttp would keep a second copy of the answer.
        if not self._is_writing_whole:
            await super()._drain_helper()
