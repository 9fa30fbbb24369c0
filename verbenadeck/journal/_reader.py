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
from verbenadeck.journal._messages import (
    RelayFetch,
    RelayPage,
)
from verbenadeck.journal._sources import DIRECT_PER_ZONE, LOG, Source
from verbenadeck.model import Offset
from verbenadeck.peers import PeerAddress, PeerError, PeerTransport
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')
ReadResult = Result[LogPage, LogError]


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
    min_read_interval_s : float
        Minimum time in seconds between a page with records and the next
        read, so that a burst of records is transferred in few pages.
    direct_per_zone : int
        Number of nodes per zone that read the log directly; the others
        read from peers.
    """

    page_limit: int = 512
    wait_s: float = 1
    reply_margin_s: float = 0.5
    max_age_s: float = 2.5
    source_hold_s: float = 4
    retry_s: float = 0.5
    min_read_interval_s: float = 0.02
    direct_per_zone: int = DIRECT_PER_ZONE


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
    make_fetch : type
        Message type that requests records from a peer.
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
        make_fetch: type[RelayFetch] = RelayFetch,
    ) -> None:
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
        self._next_read_at_s = -math.inf

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
            return answer
        if not is_successful(answer) or self._may_switch():
            await self._switch_source(has_answer=is_successful(answer))
        return answer

    def _is_stale(self) -> bool:
        return self.age_s > self._options.max_age_s

    def _may_switch(self) -> bool:
        return self._clock.now_s() >= self._stale_allowed_until_s

    async def _read_log(self, next_offset: Offset) -> ReadResult:
        answer = await self._adapter.read(
            next_offset,
            limit=self._options.page_limit,
            deadline_s=self._clock.now_s() + self._options.wait_s,
        )
        if not is_successful(answer):
            return answer
        if answer.unwrap().start_offset != next_offset:
            return _unavailable('the log returned records from another offset')
        self._end_known_at_s = self._clock.now_s()
        return answer

    async def _read_peer(
        self, peer: PeerAddress, next_offset: Offset
    ) -> ReadResult:
        if self._transport is None:
            return _unavailable('this process has no peer transport')
        wait_s = self._options.wait_s if peer == self._answered_peer else 0
        answer = await self._transport.call(
            peer,
            self._make_fetch(next_offset, wait_s),
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
        if not isinstance(reply, RelayPage) or not reply.is_kept:
            return _unavailable('the peer cannot serve the requested records')
        if reply.start_offset != next_offset:
            return _unavailable('the peer returned records from another offset')
        end_known_at_s = self._clock.now_s() - max(reply.age_s, 0)
        self._end_known_at_s = max(self._end_known_at_s, end_known_at_s)
        return Success(
            LogPage(reply.first_offset, reply.start_offset, reply.records)
        )

    async def _switch_source(self, *, has_answer: bool) -> None:
        """Switch to the next source; wait before a retry if all have failed."""
        now_s = self._clock.now_s()
        self._source_index = (self._source_index + 1) % len(self._sources)
        self._retry_preferred_at_s = now_s + self._add_jitter(
            self._options.source_hold_s
        )
        self._failed_count += 1
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
            self._options.source_hold_s
        )
        if not has_answer:
            await asyncio.sleep(self._add_jitter(self._options.retry_s))

    def _add_jitter(self, mean_s: float) -> float:
        return mean_s * self._random.uniform(0.5, 1.5)


def _unavailable(detail: str) -> ReadResult:
    return Failure(LogError(LogFailure.UNAVAILABLE, detail))


def _as_log_error(error: PeerError) -> LogError:
    return LogError(LogFailure.UNAVAILABLE, error.detail)
