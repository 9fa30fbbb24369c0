"""The fleet's log as a keyed topic of the platform's store.

Each writer reuses a few keys in turn, so that the store keeps its newest
records for good beside the newest checkpoint. A reader that starts, or that
fell behind the retention time, gets both with one call.
"""

import itertools
from collections.abc import Iterable, Iterator

from returns.result import Result

from verbenadeck.adapters import (
    LogError,
    LogFailure,
    LogPage,
    NewestRecords,
)
from verbenadeck.model import NodeId, Offset
from verbenadeck.platform._frames import StorePage, failed, key_and_content
from verbenadeck.platform._keyed_state import KeyedRecord, KeyedState
from verbenadeck.platform._store import StoreClient
from verbenadeck.utils import Clock

TOPIC = 'keyed.verbenadeck'
"""Topic of the fleet's log."""

KEPT_RECORDS = 64
"""Newest records of one writer that are kept; more than come between two
checkpoints."""

_NEWEST_S = 2.0
_RINGS = ('a', 'b')
"""A process writes to the ring that the one before it did not: the store may
carry out an append of an ended process seconds later, and that must not
replace a newer record."""


class StoreLog:
    """Log adapter to one topic of the store.

    Parameters
    ----------
    store : StoreClient
        The store.
    node_id : NodeId
        Name of this node.
    clock : Clock
        Clock of this VM.
    """

    def __init__(
        self, store: StoreClient, *, node_id: NodeId, clock: Clock
    ) -> None:
        self._store = store
        self._node_id = node_id
        self._clock = clock
        self._keys: Iterator[str] | None = None

    async def append(
        self, record: bytes, *, deadline_s: float, name: str = ''
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset.

        Without knowledge of the records of earlier processes nothing is
        appended: it could replace one that is still needed.
        """
        if self._keys is None:
            await self.newest()
        if self._keys is None:
            return failed(
                LogFailure.NOT_APPENDED, 'earlier records are not known yet'
            )
        # Named records have a key for each writer, so that an older one that
        # arrives late does not replace a newer one of somebody else.
        key = f'{name}/{self._node_id}' if name else next(self._keys)
        return await self._store.append(
            TOPIC, key, record, deadline_s=deadline_s
        )

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Return the next records, waiting for the first one."""
        answer = await self._store.read(
            TOPIC, start_offset, deadline_s=deadline_s
        )
        return answer.map(lambda page: _log_page(page, limit))

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return the newest checkpoint and the newest records."""
        answer = await self._store.newest(
            TOPIC, deadline_s=self._clock.now_s() + _NEWEST_S
        )
        return answer.map(self._note_newest)

    def _note_newest(self, state: KeyedState) -> NewestRecords:
        if self._keys is None:
            self._keys = _keys_after(self._node_id, state.records)
        return NewestRecords(
            tuple((each.offset, each.content) for each in state.records),
            state.end_offset,
        )

    async def close(self) -> None:
        """Do nothing: the store's client has an owner of its own."""


def _log_page(page: StorePage, limit: int) -> LogPage:
    return LogPage(
        page.first_offset,
        page.start_offset,
        tuple(key_and_content(one)[1] for one in page.records[:limit]),
    )


def _keys_after(
    node_id: NodeId, records: Iterable[KeyedRecord]
) -> Iterator[str]:
    """Return the keys that replace the oldest records of a writer first.

    Parameters
    ----------
    node_id : NodeId
        The writer.
    records : iterable of KeyedRecord
        What the store keeps, by rising offset.
    """
    last_ring = _RINGS[-1]
    newest = dict.fromkeys(_RINGS, -1)
    for each in records:
        writer, _, place = each.key.rpartition('/')
        ring, number = place[:1], place[1:]
        if writer == node_id and ring in newest and number.isdigit():
            newest[ring] = int(number)
            last_ring = ring
    ring = next(other for other in _RINGS if other != last_ring)
    return (
        f'{node_id}/{ring}{number % KEPT_RECORDS}'
        for number in itertools.count(newest[ring] + 1)
    )
