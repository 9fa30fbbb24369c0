"""Reading of records from the log or from peers, with failover."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogAdapter, LogError, LogFailure, LogPage
from verbenadeck.journal._log_backoff import LogBackoff
from verbenadeck.journal._messages import (
    RelayFetch,
    RelayPage,
    RelayState,
)
from verbenadeck.journal._sources import DIRECT_READERS, LOG, Source
from verbenadeck.model import Era, Offset
from verbenadeck.peers import PeerAddress, PeerError, PeerTransport
from verbenadeck.utils import Clock, do_nothing

_log = logger.bind(part='journal')
ReadResult = Result[LogPage, LogError]

_MIN_WAIT_S = 0.1
"""Shortest wait in seconds for the records of a peer that is nearly stale."""


_MIN_REFRESH_S = 0.05
"""Smallest advance in seconds of the time as of which the end of the log is
known that peers are told of at once."""

_PEER_WAIT_RATIO = 1.2
"""Wait for a peer in units of the wait for the log, so that the peer's own
read ends first."""


class ReadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts, limits and intervals of reading.

    Parameters
    ----------
    page_limit : int
        Maximum number of records per read of the log.
    wait_s : float
        Maximum time in seconds that one read waits for its first record.
    reply_margin_s : float
        Time in seconds beyond `wait_s` for the answer of a peer to arrive.
    max_age_s : float
        Time in seconds without knowledge of the end of the log after which
        the reader switches to another source.
    source_hold_s : float
        Mean time in seconds to keep reading from a stale source after no
        source was fresh, and to avoid the preferred source after a failure.
    retry_s : float
        Mean wait in seconds after every source has failed.
    stale_hold_s : float
        Mean time in seconds for which stale answers are accepted after all
        sources have failed or were stale.
    log_backoff_s : float
        Mean time in seconds for which a node that is no direct reader leaves
        the log out after its first failed read; it doubles with each one.
    min_read_interval_s : float
        Minimum time in seconds between a page with records and the next
        read, so that a burst of records is transferred in few pages.
    direct_readers : int
        Number of nodes of the whole fleet that read the log directly; the
        others read from peers.
    """

    page_limit: int = 512
    wait_s: float = 1
    reply_margin_s: float = 0.5
    max_age_s: float = 2.5
    source_hold_s: float = 4
    retry_s: float = 0.5
    stale_hold_s: float = 4
    log_backoff_s: float = 1
    min_read_interval_s: float = 0.02
    direct_readers: int = DIRECT_READERS


def _ignore_state(_state: RelayState) -> bool:
    return False


class PageReader:
    """Reader that prefers one source and fails over to the others.

    A source also counts as failed if its answers show no recent knowledge
    of the end of the log, so that a peer without access to the log does not
    delay its readers. A peer that has not answered since it was selected is
    called without a wait for new records: after the loss of many nodes, most
    members in the fleet state are dead, and the short timeout skips them
    quickly.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    transport : PeerTransport or None
        Transport to other nodes; None for a process without peers.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of retry jitter.
    plan : callable
        Returns the sources in order of preference.
    options : ReadOptions
        Timeouts, limits and intervals.
    era : callable
        Returns the era of the log that the records read so far are from. Reads
        fail with `EXPIRED` when the log or a peer is in a later one.
    make_fetch : type
        Message type that requests records from a peer.
    on_refresh : callable
        Called when the end of the log is known as of a later time.
    on_state : callable
        Called with the state of a peer that has no record from the requested
        one on; returns whether it was used. Peers send it for streams only.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        transport: PeerTransport | None,
        clock: Clock,
        random_source: random.Random,
        plan: Callable[[], tuple[Source, ...]],
        options: ReadOptions,
        era: Callable[[], Era],
        make_fetch: type[RelayFetch] = RelayFetch,
        on_refresh: Callable[[], None] = do_nothing,
        on_state: Callable[[RelayState], bool] = _ignore_state,
    ) -> None:
        self._on_state = on_state
        self._on_refresh = on_refresh
        self._era = era
        self._make_fetch = make_fetch
        self._adapter = adapter
        self._transport = transport
        self._clock = clock
        self._random = random_source
        self._plan = plan
        self._options = options
        self._sources: tuple[Source, ...] = (LOG,)
        self._source_index = 0
        self._answered_peer: PeerAddress | None = None
        self._failed_count = 0
        self._retry_preferred_at_s = -math.inf
        self._stale_allowed_until_s = -math.inf
        self._end_known_at_s = -math.inf
        self._refreshed_at_s = -math.inf
        self._log_backoff = LogBackoff(
            clock=clock,
            add_jitter=self._add_jitter,
            min_backoff_s=options.log_backoff_s,
        )
        self._next_read_at_s = -math.inf
        self._has_just_expired = False
        self._needs_log = False
        self._log_due_at_s = -math.inf

    @property
    def age_s(self) -> float:
        """Seconds since the end of the log was last known, also through peers."""
        return self._clock.now_s() - self._end_known_at_s

    @property
    def source(self) -> Source:
        """Source of the next read."""
        return self._sources[self._source_index]

    def replan(self) -> None:
        """Plan the sources again after a change of members.

        The plan is kept while the preferred source is the same and is being
        avoided after a failure. Otherwise frequent changes of members would
        make a node retry a source that it cannot reach over and over.
        """
        sources = self._plan()
        if self._source_index == 0 or sources[0] != self._sources[0]:
            self._sources = sources
            self._source_index = 0

    def record_end_known(self) -> None:
        """Record that the end of the log is known now, from another call."""
        self._record_end_known_at(self._clock.now_s())

    async def read(self, next_offset: Offset) -> ReadResult:
        """Return the next records, or an empty page if none arrived in time."""
        await self._clock.sleep_until(self._next_read_at_s)
        answer = await self._read_source(next_offset)
        has_records = answer.map(lambda page: bool(page.records))
        if has_records.value_or(False):
            self._next_read_at_s = (
                self._clock.now_s() + self._options.min_read_interval_s
            )
        return answer

    async def _read_source(self, next_offset: Offset) -> ReadResult:
        if (
            self._source_index
            and self._clock.now_s() >= self._retry_preferred_at_s
        ):
            self._source_index = 0
        peer = self.source.peer
        if peer is None:
            answer = await self._read_log(next_offset)
        else:
            answer = await self._read_peer(peer, next_offset)
        if is_successful(answer) and not self._is_stale():
            self._failed_count = 0
            self._has_just_expired = False
            return answer
        if peer is None and _has_expired(answer) and not self._has_just_expired:
            # The log has newer records, which the caller loads. A log that
            # says so again right after that counts as failed.
            self._has_just_expired = True
            return answer
        is_stale_allowed = self._clock.now_s() < self._stale_allowed_until_s
        if not is_successful(answer) or not is_stale_allowed:
            await self._switch_source(has_answer=is_successful(answer))
        return answer

    def _is_stale(self) -> bool:
        return self.age_s > self._options.max_age_s

    async def _read_log(self, next_offset: Offset) -> ReadResult:
        answer = await self._adapter.read(
            next_offset,
            limit=self._options.page_limit,
            deadline_s=self._clock.now_s() + self._options.wait_s,
        )
        if is_successful(answer) or _has_expired(answer):
            self._needs_log = False
            self._log_backoff.record_success()
        if self._adapter.era > self._era():
            return _lost(self._adapter.era)
        if not is_successful(answer):
            return answer
        page = answer.unwrap()
        if page.start_offset != next_offset:
            return _unavailable('the log returned records from another offset')
        if page.era != self._era():
            return _unavailable(f'the log answered from era {page.era}')
        self.record_end_known()
        return answer

    async def _read_peer(
        self, peer: PeerAddress, next_offset: Offset
    ) -> ReadResult:
        if self._transport is None:
            return _unavailable('this process has no peer transport')
        wait_s = 0.0
        if peer == self._answered_peer:
            # No longer than the peer may have nothing new: its own source may
            # be dead.
            wait_s = _PEER_WAIT_RATIO * self._options.wait_s
            fresh_s = self._options.max_age_s - self.age_s
            if fresh_s > 0:
                wait_s = min(wait_s, max(_MIN_WAIT_S, fresh_s))
        answer = await self._transport.call(
            peer,
            self._make_fetch(next_offset, wait_s, self._era()),
            deadline_s=self._clock.now_s()
            + wait_s
            + self._options.reply_margin_s,
        )
        self._answered_peer = peer if is_successful(answer) else None
        return answer.alt(_as_log_error).bind(
            lambda reply: self._validate_page(reply, next_offset)
        )

    def _validate_page(self, reply: object, next_offset: Offset) -> ReadResult:
        """Validate the answer of a peer and convert it to a page."""
        if isinstance(reply, RelayState):
            return self._use_state(reply)
        if isinstance(reply, RelayPage) and reply.era > self._era():
            return _lost(reply.era)
        if not isinstance(reply, RelayPage) or not reply.is_kept:
            # The log may have these records, or newer ones that replace them.
            self._needs_log = True
            return _unavailable('the peer cannot serve the requested records')
        if reply.start_offset != next_offset:
            return _unavailable('the peer returned records from another offset')
        self._record_end_known_at(self._clock.now_s() - max(reply.age_s, 0))
        return Success(
            LogPage(
                reply.first_offset,
                reply.start_offset,
                reply.records,
                era=reply.era,
            )
        )

    def _use_state(self, reply: RelayState) -> ReadResult:
        if reply.era < self._era() or not self._on_state(reply):
            return _unavailable('the state of the peer is of no use')
        self._record_end_known_at(self._clock.now_s() - max(reply.age_s, 0))
        return Success(
            LogPage(reply.end_offset, reply.end_offset, (), era=reply.era)
        )

    def _record_end_known_at(self, known_at_s: float) -> None:
        self._end_known_at_s = max(self._end_known_at_s, known_at_s)
        if known_at_s > self._refreshed_at_s + _MIN_REFRESH_S:
            self._refreshed_at_s = known_at_s
            self._on_refresh()

    async def _switch_source(self, *, has_answer: bool) -> None:
        """Switch to the next source; wait before a retry if all have failed."""
        now_s = self._clock.now_s()
        failed = self.source
        if failed == LOG and self._source_index:
            self._log_backoff.record_failure()
        self._advance()
        self._retry_preferred_at_s = now_s + self._add_jitter(
            self._options.source_hold_s
        )
        _log.info(
            'source failed or is stale; switching to source {}',
            self.source.peer or 'log',
        )
        if self._failed_count < len(self._sources):
            return
        self._failed_count = 0
        self._sources = self._plan()
        self._source_index = 0
        self._stale_allowed_until_s = now_s + self._add_jitter(
            self._options.stale_hold_s
        )
        if failed == self._sources[0] and len(self._sources) > 1:
            # The preferred source was the last to fail, and the others may
            # have recovered since they did.
            self._source_index = 1
            self._retry_preferred_at_s = now_s + self._add_jitter(
                self._options.retry_s
            )
        if not has_answer:
            await asyncio.sleep(self._add_jitter(self._options.retry_s))

    def _advance(self) -> None:
        """Go on to the next source, over a log that failed a moment ago."""
        count = len(self._sources)
        self._source_index = (self._source_index + 1) % count
        self._failed_count += 1
        is_fallback = self._source_index and self.source == LOG
        if is_fallback and self._log_backoff.is_active:
            self._source_index = (self._source_index + 1) % count
            self._failed_count += 1
        now_s = self._clock.now_s()
        if self._needs_log and now_s >= self._log_due_at_s:
            self._source_index = self._sources.index(LOG)
            self._log_due_at_s = now_s + self._add_jitter(
                self._options.log_backoff_s
            )

    def _add_jitter(self, mean_s: float) -> float:
        return mean_s * self._random.uniform(0.5, 1.5)


def _has_expired(answer: ReadResult) -> bool:
    """Return whether the requested records are not available any more."""
    return (
        not is_successful(answer)
        and answer.failure().failure is LogFailure.EXPIRED
    )


def _unavailable(detail: str) -> ReadResult:
    return Failure(LogError(LogFailure.UNAVAILABLE, detail))


def _lost(era: Era) -> ReadResult:
    """Return the failure of a read after records that the log has lost."""
    detail = f'the log came back from a backup and is in era {era}'
    return Failure(LogError(LogFailure.EXPIRED, detail))


def _as_log_error(error: PeerError) -> LogError:
    return LogError(LogFailure.UNAVAILABLE, error.detail)
