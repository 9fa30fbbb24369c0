"""What operators write into the store, as the product's own types."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    LogError,
    LogFailure,
    LogPage,
    NewestRecords,
)
from verbenadeck.journal import RecordsHandler
from verbenadeck.model import Offset, ServiceName, Zone
from verbenadeck.platform._frames import failed, join_key, key_and_content
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import read_time_s
from verbenadeck.routes import (
    CallerLimits,
    OperatorState,
    Route,
    RouteStore,
    ServiceConfig,
    WeightedService,
)
from verbenadeck.utils import Clock

TOPIC = 'keyed.op'
"""Topic that operators write to."""

_NEWEST_S = 2.0
_CONFIG_KEY = 'config'
_ZONE_PREFIX = 'evacuate/'
_HEXADECIMAL = 16
_REPEATABLE_TYPE = 'safe'
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)

_log = logger.bind(part='operators')


class ReadError(msgspec.Struct, frozen=True):
    """A record of operators can't be read."""

    detail: str


class OperatorTopic:
    """Operators' topic of the store, as a stream of keyed records.

    Parameters
    ----------
    store : StoreClient
        The store.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, store: StoreClient, *, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def append(
        self, record: bytes, *, deadline_s: float, name: str = ''
    ) -> Result[Offset, LogError]:
        """Refuse: only operators write here."""
        return failed(LogFailure.NOT_APPENDED, 'only operators write here')

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Return the next records, waiting for the first one."""
        answer = await self._store.read(
            TOPIC, start_offset, deadline_s=deadline_s
        )
        return answer.map(
            lambda page: LogPage(
                page.first_offset, page.start_offset, page.records[:limit]
            )
        )

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return the newest record of each key."""
        answer = await self._store.newest(
            TOPIC, deadline_s=self._clock.now_s() + _NEWEST_S
        )
        return answer.map(
            lambda state: NewestRecords(
                tuple(
                    (each.offset, join_key(each.key, each.content))
                    for each in state.records
                ),
                state.end_offset,
            )
        )

    async def close(self) -> None:
        """Do nothing: the store's client has an owner of its own."""


def make_records_handler(route_store: RouteStore) -> RecordsHandler:
    """Return a function that takes operators' records into the route book.

    Parameters
    ----------
    route_store : RouteStore
        Gets each new state.
    """
    known: dict[str, bytes] = {}

    def take(records: tuple[bytes, ...], is_snapshot: bool) -> None:
        if is_snapshot:
            known.clear()
        for record in records:
            key, content = key_and_content(record)
            if content:
                known[key] = content
            else:
                known.pop(key, None)
        _publish(known, route_store)

    return take


def _publish(known: Mapping[str, bytes], route_store: RouteStore) -> None:
    content = known.get(_CONFIG_KEY)
    if content is None:
        return
    zones = (
        Zone(key.removeprefix(_ZONE_PREFIX))
        for key in known
        if key.startswith(_ZONE_PREFIX)
    )
    match read_state(content, frozenset(zones)):
        case Success(state):
            route_store.update(state)
        case Failure(error):
            _log.error('configuration ignored: {}', error.detail)


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
                    service_config.name: service_config
                    for service_config in map(
                        _service_config, _rows(raw['services'])
                    )
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
        weighted_services=tuple(
            WeightedService(ServiceName(part['service']), float(part['weight']))
            for part in split
        ),
        is_repeatable=row['routeType'] == _REPEATABLE_TYPE,
        timeout_s=read_time_s(row['timeout']),
        objective_s=read_time_s(row.get('targetLatency', row['timeout'])),
        priority=int(row.get('priority', 0)),
        max_sends=int(row.get('maxAttempts', 1)),
    )


def _service_config(row: dict[str, Any]) -> ServiceConfig:
    return ServiceConfig(
        name=ServiceName(row['name']),
        is_keyed=bool(row.get('sharded')),
        health_path=row.get('healthPath', '/'),
        max_connections=int(row.get('maxConnections', 1)),
        cold_requests_per_s=float(row.get('coldPerS', 0)),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(raw.get('maxHeaderBytes', usual.max_header_bytes)),
        max_body_bytes=int(raw.get('maxBodyBytes', usual.max_body_bytes)),
        header_timeout_s=_time_s(raw, 'headerTimeout', usual.header_timeout_s),
        idle_timeout_s=_time_s(raw, 'idleTimeout', usual.idle_timeout_s),
    )


def _time_s(raw: dict[str, Any], name: str, usual_s: float) -> float:
    return read_time_s(raw[name]) if name in raw else usual_s
