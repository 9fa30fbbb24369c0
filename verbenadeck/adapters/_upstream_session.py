"""Connections to one life of an upstream."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Self

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from verbenadeck.adapters._upstream import Announcement

_SET_BY_CLIENT = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class WatchedResponse(aiohttp.ClientResponse):
    """Response that knows how its connection ended."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self._ending: asyncio.Future[None] | None = None

    @property
    def is_closed_cleanly(self) -> bool:
        """Whether the connection ended, and without an error."""
        ending = self._ending
        if ending is None or not ending.done() or ending.cancelled():
            return False
        return ending.exception() is None

    async def start(self, connection: Connection) -> Self:
        """Watch the connection before anything of the answer is read."""
        if connection.protocol is not None:
            self._ending = connection.protocol.closed
        if self._ending is not None:
            self._ending.add_done_callback(_retrieve)
        await super().start(connection)
        return self


def _retrieve(ending: 'asyncio.Future[None]') -> None:
    """Mark the error as seen; those who wait for the answer get it too."""
    if not ending.cancelled():
        ending.exception()


class ExchangeBrokenError(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending again on a connection that broke.

    It would do so by itself for PUT and DELETE, so that a request could run
    twice without the door's knowing.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ExchangeBrokenError(str(error)) from error


class UpstreamSession:
    """Session to one announced life; closes when retired and idle.

    Parameters
    ----------
    announcement : Announcement
        What this life said of itself.
    """

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self._session: aiohttp.ClientSession | None = None
        self._in_flight = 0
        self._is_retired = False
        self._closing: asyncio.Task[None] | None = None

    @asynccontextmanager
    async def request(
        self,
        method: str,
        url: URL,
        *,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout: aiohttp.ClientTimeout,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send one request, and never a second time by itself."""
        self._in_flight += 1
        try:
            async with self._open().request(
                method,
                url,
                headers=headers,
                data=body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                yield response
        finally:
            self._in_flight -= 1
            self._close_when_idle()

    def is_same(self, announcement: Announcement) -> bool:
        """Return whether an announcement comes from this life."""
        own = self.announcement
        return (own.instance, own.host, own.port) == (
            announcement.instance,
            announcement.host,
            announcement.port,
        )

    def retire(self) -> None:
        """Close once nothing is in flight; another life has taken over."""
        self._is_retired = True
        self._close_when_idle()

    async def close(self) -> None:
        """Close connections at once."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()
        if self._closing is not None:
            await self._closing

    def _close_when_idle(self) -> None:
        if not self._is_retired or self._in_flight > 0:
            return
        session = self._session
        self._session = None
        if session is not None:
            self._closing = asyncio.ensure_future(session.close())

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            limit = self.announcement.connections
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=limit),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=_SET_BY_CLIENT,
                middlewares=(_send_once,),
                response_class=WatchedResponse,
            )
        return self._session
