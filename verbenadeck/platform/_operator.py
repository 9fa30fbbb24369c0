"""Decoding of the configuration that operators write into the store."""

import string
from collections.abc import Iterator
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
from verbenadeck.model import Era, Offset, ServiceName, Zone
from verbenadeck.platform._fields import (
    read_int,
    read_name,
    read_number,
    read_text,
)
from verbenadeck.platform._frames import make_failure, make_record
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import DECODE_ERRORS, read_time_s
from verbenadeck.routes import (
    CallerLimits,
    OperatorState,
    Route,
    ServiceConfig,
    WeightedService,
)
from verbenadeck.utils import Clock

TOPIC = 'keyed.op'
"""Name of the topic that operators write to."""

_NEWEST_TIMEOUT_S = 2.0
_VERSION_BASE = 16
_MAX_VERSION_DIGITS = 8
_HEX_DIGITS = frozenset(string.hexdigits)
_MAX_PREFIX_LENGTH = 8192
_REPEATABLE_ROUTE_TYPE = 'safe'

_log = logger.bind(part='operators')


class OperatorStateError(msgspec.Struct, frozen=True):
    """Record of operators that could not be decoded, with the cause."""

    detail: str


class OperatorTopic:
    """Read-only log adapter to the topic that operators write to.

    Parameters
    ----------
    store : StoreClient
        Client of the store; its owner closes it.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, store: StoreClient, *, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    @property
    def era(self) -> Era:
        """Highest era of the store in any of its answers."""
        return self._store.era

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
        generation: int = 0,
    ) -> Result[Offset, LogError]:
        """Fail: only operators write to this topic."""
        return make_failure(
            LogFailure.NOT_APPENDED, 'only operators write to this topic'
        )

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Return the next records, each with its key.

        Parameters
        ----------
        start_offset : Offset
            Offset of the first record to return.
        limit : int
            Largest number of records to return.
        deadline_s : float
            Time until which the store waits for a record, on the clock of
            this VM, in seconds.
        """
        answer = await self._store.read(
            TOPIC, start_offset, deadline_s=deadline_s
        )
        return answer.map(
            lambda page: LogPage(
                page.first_offset,
                page.start_offset,
                page.records[:limit],
                era=page.era,
            )
        )

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return the newest record of each key, each with its key."""
        answer = await self._store.fetch_newest(
            TOPIC, deadline_s=self._clock.now_s() + _NEWEST_TIMEOUT_S
        )
        return answer.map(
            lambda state: NewestRecords(
                tuple(
                    (kept.offset, make_record(kept.key, kept.content))
                    for kept in state.records
                ),
                state.end_offset,
                state.era,
            )
        )

    async def close(self) -> None:
        """Do nothing: the owner of the store's client closes it."""


def read_operator_state(
    content: bytes, zones_out: frozenset[Zone]
) -> Result[OperatorState, OperatorStateError]:
    """Return the state in a configuration record, or why it is malformed.

    Parameters
    ----------
    content : bytes
        Record without its key.
    zones_out : frozenset of Zone
        Evacuated zones, which have records of their own.
    """
    try:
        raw = msgspec.json.decode(content)
        return Success(
            OperatorState(
                version=_read_version(raw['version']),
                routes=tuple(map(_make_route, _iter_rows(raw['routes']))),
                services={
                    service_config.name: service_config
                    for service_config in map(
                        _make_service_config, _iter_rows(raw['services'])
                    )
                },
                limits=_make_limits(raw.get('limits') or {}),
                zones_out=zones_out,
            )
        )
    except msgspec.MsgspecError as error:
        return Failure(OperatorStateError(f'invalid JSON: {error}'))
    except DECODE_ERRORS as error:
        return Failure(
            OperatorStateError(f'missing or invalid field: {error!r}')
        )


def _iter_rows(table: Any) -> Iterator[dict[str, Any]]:
    """Yield each row as a mapping from column to cell, without null cells."""
    for row in table['rows']:
        yield {
            name: cell
            for name, cell in zip(table['columns'], row, strict=False)
            if cell is not None
        }


def _read_version(text: object) -> int:
    digits = read_name(text)
    if len(digits) > _MAX_VERSION_DIGITS or not _HEX_DIGITS.issuperset(digits):
        raise ValueError('expected a hexadecimal version')
    return int(digits, _VERSION_BASE)


def _make_route(row: dict[str, Any]) -> Route:
    return Route(
        name=read_name(row['name']),
        host=read_name(row['host']).lower(),
        path_prefix=_read_prefix(row['pathPrefix']),
        weighted_services=_read_split(row),
        is_repeatable=row['routeType'] == _REPEATABLE_ROUTE_TYPE,
        timeout_s=_read_duration_s(row['timeout']),
        objective_s=_read_duration_s(row.get('targetLatency', row['timeout'])),
        priority=read_int(row.get('priority', 0)),
        max_sends=read_int(row.get('maxAttempts', 1), least=1),
    )


def _read_prefix(text: object) -> str:
    prefix = read_text(text, max_length=_MAX_PREFIX_LENGTH)
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise ValueError('path prefix without a slash at its ends')
    return prefix


def _read_split(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    parts = row.get('trafficSplit') or (
        {'service': row['service'], 'weight': 1},
    )
    split = tuple(
        WeightedService(
            ServiceName(read_name(part['service'])), read_number(part['weight'])
        )
        for part in parts
    )
    if not any(part.weight for part in split):
        raise ValueError('traffic split without a weight')
    return split


def _read_duration_s(text: object) -> float:
    duration_s = read_time_s(text)
    if duration_s < 0:
        raise ValueError('negative time')
    return duration_s


def _make_service_config(row: dict[str, Any]) -> ServiceConfig:
    return ServiceConfig(
        name=ServiceName(read_name(row['name'])),
        is_keyed=bool(row.get('sharded')),
        health_path=read_text(
            row.get('healthPath', '/'), max_length=_MAX_PREFIX_LENGTH
        ),
        max_connections=read_int(row.get('maxConnections', 1)),
        cold_requests_per_s=read_number(row.get('coldPerS', 0)),
    )


def _make_limits(raw: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=read_int(
            raw.get('maxHeaderBytes', defaults.max_header_bytes), least=1
        ),
        max_body_bytes=read_int(
            raw.get('maxBodyBytes', defaults.max_body_bytes)
        ),
        header_timeout_s=_read_optional_time_s(
            raw, 'headerTimeout', defaults.header_timeout_s
        ),
        idle_timeout_s=_read_optional_time_s(
            raw, 'idleTimeout', defaults.idle_timeout_s
        ),
    )


def _read_optional_time_s(
    raw: dict[str, Any], name: str, default_s: float
) -> float:
    return _read_duration_s(raw[name]) if name in raw else default_s
