"""Adapter to a log over HTTP, in the 'standin' format."""

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
from verbenadeck.model import Offset
from verbenadeck.utils import Clock

_CONNECT_TIMEOUT_S = 1.0
_READ_MARGIN_S = 0.5
_CONNECTIONS = 16
_OK = 200
_GONE = 410
_CLIENT_ERRORS = range(400, 500)


class LogHttpAdapter:
    """Appends to and reads from one stream of a log over HTTP.

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
        self, record: bytes, *, deadline_s: float, name: str = ''
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset."""
        timeout = self._timeout(deadline_s)
        try:
            async with self._open().post(
                self._url, data=record, timeout=timeout
            ) as response:
                return _appended(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return _failed(LogFailure.NOT_APPENDED, 'no connection to the log')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _failed(LogFailure.UNKNOWN, f'no answer: {error!r}')

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Return up to `limit` records, waiting for the first one."""
        remaining_s = self._clock.remaining_s(deadline_s)
        wait_s = max(0.0, remaining_s - _READ_MARGIN_S)
        query = {
            'from': str(start_offset),
            'limit': str(limit),
            'wait_s': f'{wait_s:.3f}',
        }
        timeout = self._timeout(deadline_s)
        try:
            async with self._open().get(
                self._url, params=query, timeout=timeout
            ) as response:
                return _page(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = type(error).__name__
            return _failed(LogFailure.UNAVAILABLE, f'no answer, {kind}')

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return None: this log keeps no record for good."""
        return Success(None)

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=_CONNECTIONS)
            self._session = aiohttp.ClientSession(
                connector=connector, loop=asyncio.get_running_loop()
            )
        return self._session

    def _timeout(self, deadline_s: float) -> aiohttp.ClientTimeout:
        remaining_s = max(0.001, self._clock.remaining_s(deadline_s))
        connect_s = min(_CONNECT_TIMEOUT_S, remaining_s / 2)
        return aiohttp.ClientTimeout(total=remaining_s, connect=connect_s)


def _failed(
    failure: LogFailure, detail: str, first_offset: int = 0
) -> Failure[LogError]:
    return Failure(LogError(failure, detail, Offset(first_offset)))


def _appended(status: int, body: bytes) -> Result[Offset, LogError]:
    if status != _OK:
        refusal = _refusal(body)
        is_refused = status in _CLIENT_ERRORS or refusal.is_appended is False
        failure = LogFailure.NOT_APPENDED if is_refused else LogFailure.UNKNOWN
        return _failed(failure, refusal.reason)
    try:
        answer = msgspec.json.decode(body, type=wire.Appended)
    except msgspec.MsgspecError:
        return _failed(LogFailure.UNKNOWN, 'malformed answer to an append')
    return Success(Offset(answer.offset))


def _page(status: int, body: bytes) -> Result[LogPage, LogError]:
    if status != _OK:
        refusal = _refusal(body)
        is_gone = status == _GONE
        failure = LogFailure.EXPIRED if is_gone else LogFailure.UNAVAILABLE
        return _failed(failure, refusal.reason, refusal.first_offset)
    try:
        page = msgspec.msgpack.decode(body, type=wire.RecordsPage)
    except msgspec.MsgspecError:
        return _failed(LogFailure.UNAVAILABLE, 'malformed page of records')
    first = Offset(page.first_offset)
    return Success(LogPage(first, Offset(page.start_offset), page.records))


def _refusal(body: bytes) -> wire.LogRefusal:
    try:
        return msgspec.json.decode(body, type=wire.LogRefusal)
    except msgspec.MsgspecError:
        return wire.LogRefusal('malformed refusal')
