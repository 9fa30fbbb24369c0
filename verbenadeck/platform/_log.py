"""Log adapter that keeps the fleet's log in a keyed topic of the store.

The store deletes old records, but keeps the newest record of each key for
good. Each writer uses a fixed set of keys in turn, so its newest records are
kept along with the newest checkpoint. A reader that starts, or that is behind
the retention time, gets both with one call.
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
from verbenadeck.model import Era, NodeId, Offset
from verbenadeck.platform._frames import StorePage, make_failure, split_record
from verbenadeck.platform._keyed_state import KeyedRecord, KeyedState
from verbenadeck.platform._store import Producer, StoreClient
from verbenadeck.utils import Clock

TOPIC = 'keyed.verbenadeck'
"""Name of the topic with the fleet's log."""

RECORDS_KEPT_PER_WRITER = 64
"""Number of newest records of one writer that the store keeps; more than are
written between two checkpoints."""

_NEWEST_TIMEOUT_S = 2.0
_KEY_SETS = ('a', 'b')
"""Names of a writer's two sets of keys. A process uses the set that the last
process did not use: the store may carry out an append seconds after the
process that sent it has ended, and that must not replace a newer record."""


class StoreLog:
    """Log adapter to the topic of the fleet's log.

    Parameters
    ----------
    store : StoreClient
        Client of the store; its owner closes it.
    node_id : NodeId
        Name of this node, part of the keys that it writes.
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
        """Append a record and return its offset.

        Fails as not appended while the records of earlier processes are
        unknown, since the new record could replace one that is still needed.

        Parameters
        ----------
        record : bytes
            The record.
        deadline_s : float
            Deadline of the call on the clock of this VM, in seconds.
        name : str
            Name under which the newest record is kept until this writer
            appends another one under it; empty for none.
        generation : int
            Generation of a named record. The store refuses one that arrives
            after a later generation of this writer, so that it can't replace
            the newer record.
        """
        if self._keys is None:
            await self.newest()
        if self._keys is None:
            return make_failure(
                LogFailure.NOT_APPENDED,
                'earlier records of this node have not been read yet',
            )
        # Each writer has its own key for a named record, so that an older
        # record that arrives late does not replace another writer's newer one.
        key = f'{name}/{self._node_id}' if name else next(self._keys)
        producer = Producer(key, generation) if name else None
        return await self._store.append(
            TOPIC, key, record, deadline_s=deadline_s, producer=producer
        )

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Return the next records.

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
        return answer.map(lambda page: _make_log_page(page, limit))

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return the newest checkpoint and each writer's newest records."""
        answer = await self._store.fetch_newest(
            TOPIC, deadline_s=self._clock.now_s() + _NEWEST_TIMEOUT_S
        )
        return answer.map(self._read_newest_records)

    def _read_newest_records(self, state: KeyedState) -> NewestRecords:
        if self._keys is None:
            self._keys = _make_key_sequence(self._node_id, state.records)
        return NewestRecords(
            tuple((kept.offset, kept.content) for kept in state.records),
            state.end_offset,
            state.era,
        )

    async def close(self) -> None:
        """Do nothing: the owner of the store's client closes it."""


def _make_log_page(page: StorePage, limit: int) -> LogPage:
    records = tuple(split_record(record)[1] for record in page.records[:limit])
    return LogPage(
        page.first_offset,
        page.start_offset,
        records,
        reaches_end=page.start_offset + len(records) >= page.end_offset,
        era=page.era,
    )


def _make_key_sequence(
    node_id: NodeId, records: Iterable[KeyedRecord]
) -> Iterator[str]:
    """Return the endless sequence of keys for the records of a writer.

    It starts with the key of the writer's oldest record in the set of keys
    that its last process did not use.

    Parameters
    ----------
    node_id : NodeId
        Name of the writer.
    records : iterable of KeyedRecord
        Records that the store keeps, by rising offset.
    """
    last_key_set = _KEY_SETS[-1]
    newest = dict.fromkeys(_KEY_SETS, -1)
    for kept in records:
        writer, _, suffix = kept.key.rpartition('/')
        key_set, number = suffix[:1], suffix[1:]
        if writer == node_id and key_set in newest and number.isdigit():
            newest[key_set] = int(number)
            last_key_set = key_set
    key_set = next(other for other in _KEY_SETS if other != last_key_set)
    return (
        f'{node_id}/{key_set}{number % RECORDS_KEPT_PER_WRITER}'
        for number in itertools.count(newest[key_set] + 1)
    )
