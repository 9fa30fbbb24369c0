"""Reads the next records from whichever source has them."""

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
    """Options of reading.

    Parameters
    ----------
    page_limit : int
        Records asked of the log at once.
    wait_s : float
        Longest wait of one read for its first record.
    reply_margin_s : float
        Time for a peer's answer beyond that wait.
    max_age_s : float
        Age from which on another source is tried.
    source_hold_s : float
        Mean time to stay with a stale source once none was fresh, and to
        stay away from the preferred source.
    retry_s : float
        Mean wait once every source has failed.
    min_read_interval_s : float
        Least time from one page with records to the next read, so that a
        burst travels in few pages.
    direct_per_zone : int
        Nodes of a zone that read the log themselves; the others take
        records from peers.
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
    """Reads from the preferred source and turns to the next when it fails.

    A source that answers without news of the log's end counts as failed too,
    so a peer that is cut off from the log does not hold its readers back.
    A peer that has not answered since it was chosen is asked without a wait:
    after many nodes were lost at once, most members that the log names are
    dead.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    transport : PeerTransport or None
        Way to peers, None for a process without peers.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Spreads retries.
    plan : callable
        Returns the sources, the preferred one first.
    options : ReadOptions
        Options.
    make_fetch : type
        Message with which a peer is asked.
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
        self._index = 0
        self._answered: PeerAddress | None = None
        self._failed = 0
        self._prefer_at_s = -math.inf
        self._tolerate_until_s = -math.inf
        self._fresh_at_s = -math.inf
        self._read_at_s = -math.inf

    @property
    def age_s(self) -> float:
        """Seconds since the end of the log was last known."""
        return self._clock.now_s() - self._fresh_at_s

    @property
    def source(self) -> Source:
        """Source that the next read goes to."""
        return self._sources[self._index]

    def replan(self) -> None:
        """Choose sources anew; the members have changed.

        While the preferred source is the same and out of use, nothing
        changes: a busy fleet must not make a node that is cut off from it
        try it over and over.
        """
        sources = self._plan()
        if self._index == 0 or sources[0] != self._sources[0]:
            self._sources = sources
            self._index = 0

    async def read(self, next_offset: Offset) -> ReadResult:
        """Return the next records, empty when none came in time."""
        await self._clock.sleep_until(self._read_at_s)
        answer = await self._read_source(next_offset)
        has_records = answer.map(lambda page: bool(page.records))
        if has_records.value_or(False):
            self._read_at_s = (
                self._clock.now_s() + self._options.min_read_interval_s
            )
        return answer

    async def _read_source(self, next_offset: Offset) -> ReadResult:
        if self._index and self._clock.now_s() >= self._prefer_at_s:
            self._index = 0
        peer = self.source.peer
        if peer is None:
            answer = await self._read_log(next_offset)
        else:
            answer = await self._read_peer(peer, next_offset)
        if is_successful(answer) and not self._is_stale():
            self._failed = 0
            return answer
        if not is_successful(answer) or self._is_impatient():
            await self._turn(has_answer=is_successful(answer))
        return answer

    def _is_stale(self) -> bool:
        return self.age_s > self._options.max_age_s

    def _is_impatient(self) -> bool:
        return self._clock.now_s() >= self._tolerate_until_s

    async def _read_log(self, next_offset: Offset) -> ReadResult:
        answer = await self._adapter.read(
            next_offset,
            limit=self._options.page_limit,
            deadline_s=self._clock.now_s() + self._options.wait_s,
        )
        if not is_successful(answer):
            return answer
        if answer.unwrap().start_offset != next_offset:
            return _unavailable('the log has other records')
        self._fresh_at_s = self._clock.now_s()
        return answer

    async def _read_peer(
        self, peer: PeerAddress, next_offset: Offset
    ) -> ReadResult:
        if self._transport is None:
            return _unavailable('no peers')
        wait_s = self._options.wait_s if peer == self._answered else 0
        answer = await self._transport.call(
            peer,
            self._make_fetch(next_offset, wait_s),
            deadline_s=self._clock.now_s()
            + wait_s
            + self._options.reply_margin_s,
        )
        self._answered = peer if is_successful(answer) else None
        return answer.alt(_as_log_error).bind(
            lambda reply: self._take(reply, next_offset)
        )

    def _take(self, reply: object, next_offset: Offset) -> ReadResult:
        """Check a peer's answer."""
        if not isinstance(reply, RelayPage) or not reply.is_kept:
            return _unavailable('peer has no such records')
        if reply.start_offset != next_offset:
            return _unavailable('peer has other records')
        fresh_at_s = self._clock.now_s() - max(reply.age_s, 0)
        self._fresh_at_s = max(self._fresh_at_s, fresh_at_s)
        return Success(
            LogPage(reply.first_offset, reply.start_offset, reply.records)
        )

    async def _turn(self, *, has_answer: bool) -> None:
        """Turn to the next source; wait once all have failed."""
        now_s = self._clock.now_s()
        self._index = (self._index + 1) % len(self._sources)
        self._prefer_at_s = now_s + self._spread(self._options.source_hold_s)
        self._failed += 1
        _log.info('turn to source {}', self.source.peer or 'log')
        if self._failed < len(self._sources):
            return
        self._failed = 0
        self._sources = self._plan()
        self._index = 0
        self._tolerate_until_s = now_s + self._spread(
            self._options.source_hold_s
        )
        if not has_answer:
            await asyncio.sleep(self._spread(self._options.retry_s))

    def _spread(self, mean_s: float) -> float:
        return mean_s * self._random.uniform(0.5, 1.5)


def _unavailable(detail: str) -> ReadResult:
    return Failure(LogError(LogFailure.UNAVAILABLE, detail))


def _as_log_error(error: PeerError) -> LogError:
    return LogError(LogFailure.UNAVAILABLE, error.detail)
