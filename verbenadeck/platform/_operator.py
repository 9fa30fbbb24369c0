"""What operators write into the store, as the product's own types."""

import asyncio
from collections.abc import Iterator
from typing import Any

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogFailure
from verbenadeck.model import Offset, ServiceName, Zone
from verbenadeck.platform._frames import key_and_content
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import read_time_s
from verbenadeck.routes import (
    CallerLimits,
    OperatorState,
    Route,
    RouteBook,
    RoutePart,
    ServiceTerms,
)
from verbenadeck.utils import Clock

TOPIC = 'keyed.op'
"""Topic that operators write to."""

WAIT_S = 1.2
"""Wait of one read for news, in seconds. An answer may be lost while its
connection stays open, so this and the margin of an answer stay within the 2 s
in which a configuration is to be in force."""

_NEWEST_S = 2.0
_RETRY_S = 0.3
_CONFIG_KEY = 'config'
_ZONE_PREFIX = 'evacuate/'
_HEXADECIMAL = 16
_REPEATABLE_TYPE = 'safe'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)

_log = logger.bind(part='operators')


class ReadError(msgspec.Struct, frozen=True):
    """A record of operators can't be read."""

    detail: str


class OperatorFeed:
    """Follows the operators' topic into the route book.

    Parameters
    ----------
    store : StoreClient
        The store.
    book : RouteBook
        Gets each new state.
    clock : Clock
        Clock of this VM.
    """

    def __init__(
        self, store: StoreClient, *, book: RouteBook, clock: Clock
    ) -> None:
        self._store = store
        self._book = book
        self._clock = clock
        self._records: dict[str, bytes] = {}
        self._next = Offset(0)
        self._is_connected = True
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to follow the topic."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        is_loaded = False
        while True:
            if not is_loaded:
                is_loaded = await self._load()
            if is_loaded:
                is_loaded = await self._read()

    async def _load(self) -> bool:
        answer = await self._store.newest(
            TOPIC, deadline_s=self._clock.now_s() + _NEWEST_S
        )
        match answer:
            case Success(state):
                self._records = {
                    each.key: each.content for each in state.records
                }
                self._next = state.end_offset
                self._note_connected()
                self._publish()
                return True
            case Failure(error):
                await self._note_lost(error.detail)
        return False

    async def _read(self) -> bool:
        """Read on; return whether the state is still complete."""
        answer = await self._store.read(
            TOPIC, self._next, deadline_s=self._clock.now_s() + WAIT_S
        )
        match answer:
            case Success(page):
                self._note_connected()
                for record in page.records:
                    key, content = key_and_content(record)
                    self._note(key, content)
                self._next = Offset(page.start_offset + len(page.records))
                if page.records:
                    self._publish()
                return True
            case Failure(error):
                if error.failure is LogFailure.EXPIRED:
                    return False
                await self._note_lost(error.detail)
        return True

    def _note(self, key: str, content: bytes) -> None:
        if content:
            self._records[key] = content
        else:
            self._records.pop(key, None)

    def _publish(self) -> None:
        content = self._records.get(_CONFIG_KEY)
        if content is None:
            return
        zones = (
            Zone(key.removeprefix(_ZONE_PREFIX))
            for key in self._records
            if key.startswith(_ZONE_PREFIX)
        )
        match read_state(content, frozenset(zones)):
            case Success(state):
                self._book.take(state)
            case Failure(error):
                _log.error('configuration ignored: {}', error.detail)

    def _note_connected(self) -> None:
        if not self._is_connected:
            self._is_connected = True
            _log.info('store answers again')

    async def _note_lost(self, detail: str) -> None:
        if self._is_connected:
            self._is_connected = False
            _log.warning('store lost: {}', detail)
        await asyncio.sleep(_RETRY_S)


def read_state(
    content: bytes, zones_out: frozenset[Zone]
) -> Result[OperatorState, ReadError]:
    """Return the state in a configuration record."""
    try:
        raw = msgspec.json.decode(content)
        return Success(
            OperatorState(
                version=int(raw['version'], _HEXADECIMAL),
                routes=tuple(map(_route, _rows(raw['routes']))),
                services={
                    terms.name: terms
                    for terms in map(_terms, _rows(raw['services']))
                },
                limits=_limits(raw.get('limits') or {}),
                zones_out=zones_out,
            )
        )
    except msgspec.MsgspecError as error:
        return Failure(ReadError(f'not readable: {error}'))
    except _MALFORMED as error:
        return Failure(ReadError(f'bad field {error!r}'))


def _rows(table: Any) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table by column, without omitted cells."""
    for row in table['rows']:
        yield {
            name: cell
            for name, cell in zip(table['columns'], row, strict=False)
            if cell is not None
        }


def _route(row: dict[str, Any]) -> Route:
    split = row.get('trafficSplit') or (
        {'service': row['service'], 'weight': 1},
    )
    return Route(
        name=row['name'],
        host=row['host'].lower(),
        path_prefix=row['pathPrefix'],
        parts=tuple(
            RoutePart(ServiceName(part['service']), float(part['weight']))
            for part in split
        ),
        is_repeatable=row['routeType'] == _REPEATABLE_TYPE,
        timeout_s=read_time_s(row['timeout']),
        objective_s=read_time_s(row.get('targetLatency', row['timeout'])),
        rank=int(row.get('priority', 0)),
        max_sends=int(row.get('maxAttempts', 1)),
    )


def _terms(row: dict[str, Any]) -> ServiceTerms:
    return ServiceTerms(
        name=ServiceName(row['name']),
        is_keyed=bool(row.get('sharded')),
        health_path=row.get('healthPath', '/'),
        max_connections=int(row.get('maxConnections', 1)),
        cold_requests_per_s=float(row.get('coldPerS', 0)),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(raw.get('maxHeaderBytes', usual.header_bytes)),
        body_bytes=int(raw.get('maxBodyBytes', usual.body_bytes)),
        header_timeout_s=_time_s(raw, 'headerTimeout', usual.header_timeout_s),
        idle_timeout_s=_time_s(raw, 'idleTimeout', usual.idle_timeout_s),
    )


def _time_s(raw: dict[str, Any], name: str, usual_s: float) -> float:
    return read_time_s(raw[name]) if name in raw else usual_s
