"""HTTP connections to one upstream process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Self

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from verbenadeck.adapters._answer_budget import AnswerBudget, HeldAnswer
from verbenadeck.adapters._answer_status import InvalidAnswerError
from verbenadeck.adapters._bounded_connector import (
    MAX_ANSWER_BYTES,
    AnswerTooLargeError,
    BoundedConnector,
    BoundedProtocol,
)
from verbenadeck.adapters._upstream import Announcement
from verbenadeck.logs import make_decision_logger

_log_decision = make_decision_logger('upstream')

_READ_BUFFER_BYTES = 65_536
"""Half of the size in bytes of the bodies' bytes that a connection may keep
beside the budget before it stops to read."""

_MAX_LOGGED_LENGTH = 200
"""Length in characters to which the description of an invalid answer is cut,
since it may repeat the bytes received."""

_SKIPPED_CLIENT_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class WatchedResponse(aiohttp.ClientResponse):
    """HTTP response of bounded size that records how its connection closed."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self._connection_closed: asyncio.Future[None] | None = None
        self._budget = AnswerBudget()

    @property
    def is_closed_cleanly(self) -> bool:
        """Whether the connection was closed without an error."""
        connection_closed = self._connection_closed
        if (
            connection_closed is None
            or not connection_closed.done()
            or connection_closed.cancelled()
        ):
            return False
        return connection_closed.exception() is None

    async def start(self, connection: Connection) -> Self:
        """Begin to watch the connection, then read the head of the answer.

        Parameters
        ----------
        connection : Connection
            Connection on which the request was sent.

        Raises
        ------
        InvalidAnswerError
            If the answer has no valid final status. aiohttp then closes the
            connection.
        """
        if connection.protocol is not None:
            self._connection_closed = connection.protocol.closed
        if self._connection_closed is not None:
            self._connection_closed.add_done_callback(_mark_error_retrieved)
        try:
            await super().start(connection)
        except aiohttp.ClientResponseError as error:
            raise self._log_invalid(' '.join(error.message.split())) from error
        except InvalidAnswerError as error:
            raise self._log_invalid(str(error)) from error
        if isinstance(connection.protocol, BoundedProtocol):
            self._budget = connection.protocol.budget
        return self

    async def read(self) -> bytes:
        """Read the whole body and close the connection if it is too large.

        Raises
        ------
        AnswerTooLargeError
            If the body is longer than `MAX_ANSWER_BYTES`, or the largest one
            when all answers that are being read take too much memory.
        """
        with self._budget.hold(self._abandon) as held:
            await self._read_into(held)
            # The upstream may answer before it has received the whole request.
            await self.wait_for_close()
            if held.is_abandoned:
                raise _make_abandoned_error()
            return bytes(held.body)

    def _log_invalid(self, detail: str) -> InvalidAnswerError:
        cut_detail = detail[:_MAX_LOGGED_LENGTH]
        _log_decision(
            'invalid answer from {}:{}: {}',
            self.url.host,
            self.url.port,
            cut_detail,
        )
        return InvalidAnswerError(cut_detail)

    async def _read_into(self, held: HeldAnswer) -> None:
        try:
            while block := await self.content.readany():
                held.add(block)
                if len(held.body) > MAX_ANSWER_BYTES:
                    raise AnswerTooLargeError(
                        f'the body is larger than {MAX_ANSWER_BYTES} bytes'
                    )
        finally:
            if not self.content.is_eof():
                self.close()

    def _abandon(self) -> None:
        self.content.set_exception(_make_abandoned_error())
        self.close()


def _make_abandoned_error() -> AnswerTooLargeError:
    return AnswerTooLargeError('all answers together are too large')


def _mark_error_retrieved(connection_closed: 'asyncio.Future[None]') -> None:
    """Mark the error as retrieved; readers of the answer get it as well."""
    if not connection_closed.cancelled():
        connection_closed.exception()


class ExchangeBrokenError(aiohttp.ClientError):
    """Failure of a connection on which the request may have been sent."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from sending a request again on another connection.

    When a connection fails, aiohttp resends requests with methods such as PUT
    and DELETE by itself. They could then run twice without the proxy knowing.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ExchangeBrokenError(str(error)) from error


class UpstreamSession:
    """Session to one upstream process; closes when it is retired and idle.

    Parameters
    ----------
    announcement : Announcement
        Announcement of the upstream process.
    budget : AnswerBudget or None
        Memory for the bodies of answers, shared with other sessions; None
        for one of its own.
    """

    def __init__(
        self,
        announcement: Announcement,
        *,
        budget: AnswerBudget | None = None,
    ) -> None:
        self.announcement = announcement
        self._budget = budget or AnswerBudget()
        self._sessions: dict[bool, aiohttp.ClientSession] = {}
        self._in_flight = 0
        self._is_retired = False
        self._close_task: asyncio.Task[None] | None = None

    @asynccontextmanager
    async def request(
        self,
        method: str,
        url: URL,
        *,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout: aiohttp.ClientTimeout,
        is_pooled: bool = True,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request at most once and yield the response.

        Parameters
        ----------
        method : str
            HTTP method.
        url : URL
            Encoded URL.
        headers : tuple of (str, str)
            Headers as sent.
        body : bytes
            Body, may be empty.
        timeout : aiohttp.ClientTimeout
            Time limits of the exchange.
        is_pooled : bool
            Whether the connection may have carried other requests. A new
            one can't be closed as idle while the request is sent, and no
            surplus answer to an earlier request arrives on it.
        """
        self._in_flight += 1
        try:
            async with self._get_session(is_pooled=is_pooled).request(
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
        """Return whether an announcement comes from the same upstream process.

        Parameters
        ----------
        announcement : Announcement
            Announcement to compare with that of this session.
        """
        own = self.announcement
        return (own.instance, own.host, own.port) == (
            announcement.instance,
            announcement.host,
            announcement.port,
        )

    def retire(self) -> None:
        """Close when no request is in flight; a later process replaced it."""
        self._is_retired = True
        self._close_when_idle()

    async def close(self) -> None:
        """Close all connections now, also those with requests in flight."""
        await _close_all(self._take_sessions())
        if self._close_task is not None:
            await self._close_task

    def _close_when_idle(self) -> None:
        if self._is_retired and self._in_flight == 0 and self._sessions:
            self._close_task = asyncio.ensure_future(
                _close_all(self._take_sessions())
            )

    def _take_sessions(self) -> tuple[aiohttp.ClientSession, ...]:
        sessions = tuple(self._sessions.values())
        self._sessions = {}
        return sessions

    def _get_session(self, *, is_pooled: bool) -> aiohttp.ClientSession:
        session = self._sessions.get(is_pooled)
        if session is None:
            session = aiohttp.ClientSession(
                connector=BoundedConnector(
                    limit=self.announcement.connections,
                    budget=self._budget,
                    is_pooled=is_pooled,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                read_bufsize=_READ_BUFFER_BYTES,
                skip_auto_headers=_SKIPPED_CLIENT_HEADERS,
                middlewares=(_send_once,),
                response_class=WatchedResponse,
            )
            self._sessions[is_pooled] = session
        return session


async def _close_all(sessions: tuple[aiohttp.ClientSession, ...]) -> None:
    for session in sessions:
        await session.close()
