"""Serving of records to peers, and appends on their behalf."""

from collections.abc import Callable

from returns.pipeline import is_successful

from verbenadeck.adapters import LogAdapter
from verbenadeck.journal._messages import (
    RelayAppend,
    RelayAppended,
    RelayFetch,
    RelayPage,
    RelayState,
)
from verbenadeck.journal._recent import RecentRecords
from verbenadeck.journal._waiters import OffsetWaiters
from verbenadeck.model import Era, Offset, era_of, index_of, make_offset
from verbenadeck.peers import Handler, Message, PeerAddress
from verbenadeck.utils import Clock, do_nothing

_MAX_FETCH_WAIT_S = 5.0
_APPEND_TIMEOUT_S = 1.0


class Relay:
    """Server of recent records to peers that read from this node.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of this VM.
    recent : RecentRecords
        Buffer of the newest records.
    waiters : OffsetWaiters
        Wakes pending fetches once a record is applied.
    applied_offset : callable
        Returns the offset of the last applied record.
    first_offset : callable
        Returns the oldest offset that the log is known to retain.
    age_s : callable
        Returns the seconds since this node last knew the end of the log.
    era : callable
        Returns the era of the log that the records are from.
    make_state : callable
        Returns the state to answer with where records are no longer kept; None
        to say only that they aren't.
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
        era: Callable[[], Era],
        make_state: Callable[[], RelayState | None] = do_nothing,
    ) -> None:
        self._make_state = make_state
        self._clock = clock
        self._recent = recent
        self._waiters = waiters
        self._applied_offset = applied_offset
        self._first_offset = first_offset
        self._age_s = age_s
        self._era = era

    async def handle_fetch(
        self, _peer: PeerAddress, request: RelayFetch
    ) -> Message:
        """Answer a fetch, waiting for the first requested record."""
        wanted_index = request.next_offset
        applied_offset = self._applied_offset()
        is_same_era = request.era == self._era()
        if is_same_era and wanted_index > index_of(applied_offset):
            wanted_offset = make_offset(era_of(applied_offset), wanted_index)
            wait_s = min(max(request.wait_s, 0), _MAX_FETCH_WAIT_S)
            deadline_s = self._clock.now_s() + wait_s
            # Without the end at a refresh, what a reader knows of the end of
            # the log would be older by one wait for each node between them.
            await self._waiters.wait(
                wanted_offset, deadline_s=deadline_s, ends_at_refresh=True
            )
        # A peer that is behind will have the records; its age tells whether
        # it still gets any.
        is_ahead = wanted_index > index_of(self._applied_offset()) + 1
        is_kept = request.era == self._era() and (
            is_ahead or self._recent.covers(wanted_index)
        )
        if not is_kept and request.era <= self._era():
            state = self._make_state()
            if state is not None:
                return state
        return RelayPage(
            first_offset=self._first_offset(),
            start_offset=wanted_index,
            records=()
            if is_ahead or not is_kept
            else self._recent.read_page(wanted_index),
            age_s=self._age_s(),
            is_kept=is_kept,
            era=self._era(),
        )


def make_append_handler(
    adapter: LogAdapter, clock: Clock
) -> Handler[RelayAppend]:
    """Return a handler that appends for peers that cannot reach the log.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    clock : Clock
        Monotonic clock of this VM.
    """

    async def append(_peer: PeerAddress, request: RelayAppend) -> Message:
        answer = await adapter.append(
            request.payload,
            deadline_s=clock.now_s() + _APPEND_TIMEOUT_S,
            name=request.name,
            generation=request.generation,
        )
        if is_successful(answer):
            return RelayAppended(None)
        return RelayAppended(answer.failure().failure)

    return append
