"""Log adapter over HTTP, in the 'standin' format."""

import asyncio

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import wire
from verbenadeck.adapters._log import (
    LogError,
    LogFailure,
    LogPage,
    NewestRecords,
)
from verbenadeck.model import Era, Offset
from verbenadeck.utils import Clock

_CONNECT_TIMEOUT_S = 1.0
_READ_REPLY_MARGIN_S = 0.5
_MAX_CONNECTIONS = 16
_OK = 200
_GONE = 410
_CLIENT_ERRORS = range(400, 500)


class LogHttpAdapter:
    """Log adapter to one stream of a log over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the log, such as ``http://127.0.0.1:7000``.
    stream : str
        Name of the stream.
    clock : Clock
        Clock of the VM, for deadlines.
    """

    def __init__(self, *, url: str, stream: str, clock: Clock) -> None:
        path = wire.STREAMS_PATH.format(stream=stream)
        self._url = url.rstrip('/') + path
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
        generation: int = 0,
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset.

        Parameters
        ----------
        record : bytes
            The record.
        deadline_s : float
            Deadline of the call on the clock of the VM, in seconds.
        name : str
            Ignored: this log keeps no newest record of a name.
        generation : int
            Ignored with the name.
        """
        timeout = self._make_timeout(deadline_s)
        try:
            async with self._get_session().post(
                self._url, data=record, timeout=timeout
            ) as response:
                return _read_appended(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return _make_failure(
                LogFailure.NOT_APPENDED, 'no connection to the log'
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _make_failure(
                LogFailure.UNKNOWN, f'no answer from the log: {error!r}'
            )

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Return the next records; wait for the first one until the deadline.

        Parameters
        ----------
        start_offset : Offset
            Offset of the first record to return.
        limit : int
            Largest number of records to return.
        deadline_s : float
            Deadline of the call on the clock of the VM, in seconds; the log
            answers shortly before it, so that the answer arrives in time.
        """
        remaining_s = self._clock.remaining_s(deadline_s)
        wait_s = max(0.0, remaining_s - _READ_REPLY_MARGIN_S)
        query = {
            'from': str(start_offset),
            'limit': str(limit),
            'wait_s': f'{wait_s:.3f}',
        }
        timeout = self._make_timeout(deadline_s)
        try:
            async with self._get_session().get(
                self._url, params=query, timeout=timeout
            ) as response:
                return _read_page(response.status, await response.read(), limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            error_name = type(error).__name__
            return _make_failure(
                LogFailure.UNAVAILABLE, f'no answer from the log: {error_name}'
            )

    @property
    def era(self) -> Era:
        """Return 0, as this log never loses records."""
        return Era(0)

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return None: this log keeps no record for good."""
        return Success(None)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=_MAX_CONNECTIONS)
            self._session = aiohttp.ClientSession(
                connector=connector, loop=asyncio.get_running_loop()
            )
        return self._session

    def _make_timeout(self, deadline_s: float) -> aiohttp.ClientTimeout:
        remaining_s = max(0.001, self._clock.remaining_s(deadline_s))
        connect_s = min(_CONNECT_TIMEOUT_S, remaining_s / 2)
        return aiohttp.ClientTimeout(total=remaining_s, connect=connect_s)


def _make_failure(
    failure: LogFailure, detail: str, first_offset: int = 0
) -> Failure[LogError]:
    return Failure(LogError(failure, detail, Offset(first_offset)))


def _read_appended(status: int, body: bytes) -> Result[Offset, LogError]:
    if status != _OK:
        refusal = _read_refusal(body)
        is_refused = status in _CLIENT_ERRORS or refusal.is_appended is False
        failure = LogFailure.NOT_APPENDED if is_refused else LogFailure.UNKNOWN
        return _make_failure(failure, refusal.reason)
    try:
        answer = msgspec.json.decode(body, type=wire.Appended)
    except msgspec.MsgspecError:
        return _make_failure(
            LogFailure.UNKNOWN, 'malformed answer of the log to an append'
        )
    return Success(Offset(answer.offset))


def _read_page(
    status: int, body: bytes, limit: int
) -> Result[LogPage, LogError]:
    if status != _OK:
        refusal = _read_refusal(body)
        is_gone = status == _GONE
        failure = LogFailure.EXPIRED if is_gone else LogFailure.UNAVAILABLE
        return _make_failure(failure, refusal.reason, refusal.first_offset)
    try:
        page = msgspec.msgpack.decode(body, type=wire.RecordsPage)
    except msgspec.MsgspecError:
        return _make_failure(
            LogFailure.UNAVAILABLE, 'malformed page of records from the log'
        )
    first = Offset(page.first_offset)
    reaches_end = len(page.records) < limit
    return Success(
        LogPage(first, Offset(page.start_offset), page.records, reaches_end)
    )


def _read_refusal(body: bytes) -> wire.LogRefusal:
    try:
        return msgspec.json.decode(body, type=wire.LogRefusal)
    except msgspec.MsgspecError:
        return wire.LogRefusal('malformed refusal of the log')
