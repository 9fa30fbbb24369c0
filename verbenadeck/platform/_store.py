"""Client of the platform's store: topics of records, some kept by key."""

import asyncio
import socket

import aiohttp
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure
from verbenadeck.model import Offset
from verbenadeck.platform._frames import (
    StorePage,
    failed,
    pack_record,
    read_appended,
    read_page,
)
from verbenadeck.platform._keyed_state import (
    KeyedState,
    NewestPage,
    keyed_state,
    read_newest,
)
from verbenadeck.platform._units import Address
from verbenadeck.utils import Clock

CONNECT_TIMEOUT_S = 1.0
"""Time for a new connection, in seconds: some hundred round trips."""

ANSWER_MARGIN_S = 0.6
"""Time in seconds beyond the wait of a read after which it counts as lost;
a slow store takes 0.3 s."""

_KEEPALIVE_S = 1
_KEEPALIVE_PROBES = 2
_UNACKED_MS = 2000
_CONNECTIONS = 16
_MS_PER_S = 1000
_FAILED = (aiohttp.ClientError, TimeoutError, OSError)


class StoreClient:
    """Calls of the store.

    Parameters
    ----------
    address : Address
        Address of the store.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, address: Address, *, clock: Clock) -> None:
        self._base = f'http://{address.host}:{address.port}/v1'
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def append(
        self, topic: str, key: str, content: bytes, *, deadline_s: float
    ) -> Result[Offset, LogError]:
        """Append one record to a keyed topic."""
        try:
            async with self._open().post(
                f'{self._base}/log-append',
                params={'topic': topic, 'part': '0'},
                data=pack_record(key, content),
                timeout=self._timeout(deadline_s),
            ) as response:
                return read_appended(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return failed(LogFailure.NOT_APPENDED, 'no connection')
        except _FAILED as error:
            return failed(LogFailure.UNKNOWN, f'no answer: {error!r}')

    async def read(
        self, topic: str, start_offset: Offset, *, deadline_s: float
    ) -> Result[StorePage, LogError]:
        """Return the next records, waiting for the first one."""
        wait_s = self._clock.remaining_s(deadline_s)
        try:
            async with self._open().get(
                f'{self._base}/log-read',
                params={
                    'topic': topic,
                    'part': '0',
                    'from': str(start_offset),
                    'waitMs': str(int(wait_s * _MS_PER_S)),
                },
                timeout=self._timeout(deadline_s + ANSWER_MARGIN_S),
            ) as response:
                body = await response.read()
                return read_page(response.status, body, start_offset)
        except _FAILED as error:
            return failed(LogFailure.UNAVAILABLE, f'no answer: {error!r}')

    async def newest(
        self, topic: str, *, deadline_s: float
    ) -> Result[KeyedState, LogError]:
        """Return the newest record of every key of a topic.

        Pages are no snapshot: what was replaced in between stands with a
        later offset, beyond the end of the first page, and is left out.
        """
        pages: list[NewestPage] = []
        after = ''
        while not pages or pages[-1].has_more:
            answer = await self._newest_page(topic, after, deadline_s)
            if not is_successful(answer):
                return Failure(answer.failure())
            pages.append(answer.unwrap())
            after = pages[-1].last_key
        return Success(keyed_state(pages))

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _newest_page(
        self, topic: str, after: str, deadline_s: float
    ) -> Result[NewestPage, LogError]:
        params = {'topic': topic, 'part': '0'}
        if after:
            params['after'] = after
        try:
            async with self._open().get(
                f'{self._base}/log-newest',
                params=params,
                timeout=self._timeout(deadline_s),
            ) as response:
                return read_newest(response.status, await response.read())
        except _FAILED as error:
            return failed(LogFailure.UNAVAILABLE, f'no answer: {error!r}')

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=_CONNECTIONS, socket_factory=_make_socket
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                loop=asyncio.get_running_loop(),
            )
        return self._session

    def _timeout(self, deadline_s: float) -> aiohttp.ClientTimeout:
        remaining_s = max(0.001, self._clock.remaining_s(deadline_s))
        connect_s = min(CONNECT_TIMEOUT_S, remaining_s)
        return aiohttp.ClientTimeout(total=remaining_s, connect=connect_s)


def _make_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that notices a silent connection within seconds."""
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    for name, number in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKED_MS),
    ):
        made.setsockopt(socket.IPPROTO_TCP, name, number)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    return made
