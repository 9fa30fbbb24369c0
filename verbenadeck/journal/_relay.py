"""Serves records to peers, and appends for them."""

from collections.abc import Callable

from returns.pipeline import is_successful

from verbenadeck.adapters import LogAdapter
from verbenadeck.journal._messages import (
    RelayAppend,
    RelayAppended,
    RelayFetch,
    RelayPage,
)
from verbenadeck.journal._recent import RecentRecords
from verbenadeck.journal._waiters import OffsetWaiters
from verbenadeck.model import Offset
from verbenadeck.peers import Handler, Message, PeerAddress
from verbenadeck.utils import Clock

_MAX_WAIT_S = 5.0
_APPEND_S = 1.0


class Relay:
    """Answers peers that take records from this node.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    recent : RecentRecords
        Newest records.
    waiters : OffsetWaiters
        Wakes answers when a record is applied.
    applied_offset : callable
        Returns the last applied position.
    first_offset : callable
        Returns the oldest position that the log is known to keep.
    age_s : callable
        Returns the seconds since the end of the log was last known here.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        recent: RecentRecords,
        waiters: OffsetWaiters,
        applied_offset: Callable[[], Offset],
        first_offset: Callable[[], Offset],
        age_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._recent = recent
        self._waiters = waiters
        self._applied_offset = applied_offset
        self._first_offset = first_offset
        self._age_s = age_s

    async def fetch(self, _peer: PeerAddress, asked: RelayFetch) -> Message:
        """Answer with records, waiting for the first one."""
        wanted = asked.next_offset
        if wanted > self._applied_offset():
            wait_s = min(max(asked.wait_s, 0), _MAX_WAIT_S)
            deadline_s = self._clock.now_s() + wait_s
            await self._waiters.wait(wanted, deadline_s=deadline_s)
        is_ahead = wanted > self._applied_offset() + 1
        is_kept = not is_ahead and self._recent.keeps(wanted)
        return RelayPage(
            first_offset=self._first_offset(),
            start_offset=wanted,
            records=self._recent.page(wanted) if is_kept else (),
            age_s=self._age_s(),
            is_kept=is_kept,
        )


def make_append_handler(
    adapter: LogAdapter, clock: Clock
) -> Handler[RelayAppend]:
    """Return a handler that appends for peers without a way to the log.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    clock : Clock
        Clock of this VM.
    """

    async def append(_peer: PeerAddress, asked: RelayAppend) -> Message:
        answer = await adapter.append(
            asked.payload, deadline_s=clock.now_s() + _APPEND_S
        )
        if is_successful(answer):
            return RelayAppended(None)
        return RelayAppended(answer.failure().failure)

    return append
