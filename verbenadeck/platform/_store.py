"""HTTP client of the platform's store, which keeps records in topics."""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure
from verbenadeck.model import Era, Offset
from verbenadeck.platform._eras import StoreEras
from verbenadeck.platform._frames import (
    StorePage,
    make_append_body,
    make_failure,
    read_appended,
    read_page,
)
from verbenadeck.platform._keyed_state import (
    KeyedState,
    NewestPage,
    merge_pages,
    read_newest_page,
)
from verbenadeck.platform._units import Address
from verbenadeck.utils import Clock, ignore_name

CONNECT_TIMEOUT_S = 1.0
"""Time in seconds to open a connection: about a hundred round trips."""

ANSWER_MARGIN_S = 0.6
"""Time in seconds beyond the waiting time of a read after which its answer
counts as lost; a slow store takes 0.3 s."""

_FIRST_SEQUENCE = '0'
"""Number of the only append of an epoch."""

_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_MAX_UNACKED_MS = 2000
_MAX_CONNECTIONS = 16
_MS_PER_S = 1000
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class Producer(NamedTuple):
    """Writer whose appends the store carries out in order of their epochs.

    An append that arrives after one of a later epoch is refused, and a
    repeated one takes effect once.

    Parameters
    ----------
    name : str
        Name of the writer within the topic.
    epoch : int
        Number of the append; never falls.
    """

    name: str
    epoch: int


class StoreClient:
    """HTTP client of the store; connects with the first call.

    Parameters
    ----------
    address : Address
        Address of the store.
    clock : Clock
        Clock of this VM.
    count : callable
        Adds one to the counter with the given name.
    """

    def __init__(
        self,
        address: Address,
        *,
        clock: Clock,
        count: Callable[[str], None] = ignore_name,
    ) -> None:
        self._base_url = f'http://{address.host}:{address.port}/v1'
        self._clock = clock
        self._eras = StoreEras(count)
        self._session: aiohttp.ClientSession | None = None

    @property
    def era(self) -> Era:
        """Highest era of the store in any of its answers."""
        return self._eras.newest

    async def append(
        self,
        topic: str,
        key: str,
        content: bytes,
        *,
        deadline_s: float,
        producer: Producer | None = None,
    ) -> Result[Offset, LogError]:
        """Append a record to a keyed topic and return its offset.

        Parameters
        ----------
        topic : str
            Name of the topic.
        key : str
            Key of the record.
        content : bytes
            Record without its key.
        deadline_s : float
            Deadline of the call on the clock of this VM, in seconds.
        producer : Producer or None
            Writer that must not append after its own later appends; None for
            a record whose order does not matter.
        """
        params = {'topic': topic, 'part': '0'}
        if producer is not None:
            params['producer'] = producer.name
            params['epoch'] = str(producer.epoch)
            params['sequence'] = _FIRST_SEQUENCE
        try:
            async with self._get_session().post(
                f'{self._base_url}/log-append',
                params=params,
                data=make_append_body(key, content),
                timeout=self._make_timeout(deadline_s),
            ) as response:
                body = await response.read()
                # An append of an earlier era may be lost: it is read back.
                self._eras.admit(response.headers)
                return read_appended(response.status, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return make_failure(
                LogFailure.NOT_APPENDED, 'no connection to the store'
            )
        except _CALL_ERRORS as error:
            return make_failure(
                LogFailure.UNKNOWN, f'no answer from the store: {error!r}'
            )

    async def read(
        self, topic: str, start_offset: Offset, *, deadline_s: float
    ) -> Result[StorePage, LogError]:
        """Return the next records; wait for the first one until the deadline.

        Parameters
        ----------
        topic : str
            Name of the topic.
        start_offset : Offset
            Offset of the first record to return.
        deadline_s : float
            Time until which the store waits for a record, on the clock of
            this VM, in seconds.
        """
        wait_s = self._clock.remaining_s(deadline_s)
        try:
            async with self._get_session().get(
                f'{self._base_url}/log-read',
                params={
                    'topic': topic,
                    'part': '0',
                    'from': str(start_offset),
                    'waitMs': str(int(wait_s * _MS_PER_S)),
                },
                timeout=self._make_timeout(deadline_s + ANSWER_MARGIN_S),
            ) as response:
                body = await response.read()
                era = self._eras.admit(response.headers)
                if era is None:
                    return _earlier_era()
                return read_page(response.status, body, start_offset, era)
        except _CALL_ERRORS as error:
            return make_failure(
                LogFailure.UNAVAILABLE, f'no answer from the store: {error!r}'
            )

    async def fetch_newest(
        self, topic: str, *, deadline_s: float
    ) -> Result[KeyedState, LogError]:
        """Return the newest record of every key of a topic.

        The pages are not a snapshot: a record that is replaced between two
        pages comes with an offset beyond the end of the first page and is
        left out.

        Parameters
        ----------
        topic : str
            Name of the topic.
        deadline_s : float
            Deadline of the whole call on the clock of this VM, in seconds.
        """
        pages: list[NewestPage] = []
        after = ''
        eras: set[Era] = set()
        while not pages or pages[-1].has_more:
            answer = await self._fetch_newest_page(topic, after, deadline_s)
            if not is_successful(answer):
                return Failure(answer.failure())
            page, era = answer.unwrap()
            pages.append(page)
            eras.add(era)
            if len(eras) > 1:
                return _earlier_era()
            after = page.last_key
        return Success(merge_pages(pages, eras.pop()))

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch_newest_page(
        self, topic: str, after: str, deadline_s: float
    ) -> Result[tuple[NewestPage, Era], LogError]:
        """Return a page, and the era of the answer that it came with."""
        params = {'topic': topic, 'part': '0'}
        if after:
            params['after'] = after
        try:
            async with self._get_session().get(
                f'{self._base_url}/log-newest',
                params=params,
                timeout=self._make_timeout(deadline_s),
            ) as response:
                body = await response.read()
                era = self._eras.admit(response.headers)
                if era is None:
                    return _earlier_era()
                answer = read_newest_page(response.status, body, after)
                return answer.map(lambda page: (page, era))
        except _CALL_ERRORS as error:
            return make_failure(
                LogFailure.UNAVAILABLE, f'no answer from the store: {error!r}'
            )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=_MAX_CONNECTIONS, socket_factory=_make_socket
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                loop=asyncio.get_running_loop(),
            )
        return self._session

    def _make_timeout(self, deadline_s: float) -> aiohttp.ClientTimeout:
        remaining_s = max(0.001, self._clock.remaining_s(deadline_s))
        connect_s = min(CONNECT_TIMEOUT_S, remaining_s)
        return aiohttp.ClientTimeout(total=remaining_s, connect=connect_s)


def _earlier_era() -> Failure[LogError]:
    return make_failure(
        LogFailure.UNAVAILABLE,
        'the answer is from before the store came back from a backup',
    )


def _make_socket(address_info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that detects a dead connection within seconds."""
    family, kind, protocol, _, _ = address_info
    connection_socket = socket.socket(family, kind, protocol)
    for name, number in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _MAX_UNACKED_MS),
    ):
        connection_socket.setsockopt(socket.IPPROTO_TCP, name, number)
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    return connection_socket
