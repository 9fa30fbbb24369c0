"""The fleet's log as a keyed topic of the platform's store.

Each writer reuses a few keys in turn, so that the store keeps its newest
records for good beside the newest checkpoint. A reader that starts, or that
fell behind the retention time, gets both with one call.
"""

import itertools

from returns.result import Result

from verbenadeck.adapters import (
    LogError,
    LogPage,
    NewestRecords,
)
from verbenadeck.model import NodeId, Offset
from verbenadeck.platform._frames import StorePage, key_and_content
from verbenadeck.platform._newest import KeyedState
from verbenadeck.platform._store import StoreClient
from verbenadeck.utils import Clock

TOPIC = 'keyed.verbenadeck'
"""Topic of the fleet's log."""

KEPT_RECORDS = 64
"""Newest records of one writer that are kept; more than come between two
checkpoints."""

_NEWEST_S = 2.0


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
        self._numbers = itertools.count()

    async def append(
        self, record: bytes, *, deadline_s: float, name: str = ''
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset."""
        number = next(self._numbers) % KEPT_RECORDS
        key = name or f'{self._node_id}/{number}'
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
        """Go on after the newest record of earlier processes of this node.

        Their records may still be needed, the newest ones most of all.
        """
        for each in state.records:
            writer, _, number = each.key.rpartition('/')
            if writer == self._node_id and number.isdigit():
                self._numbers = itertools.count(int(number) + 1)
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
