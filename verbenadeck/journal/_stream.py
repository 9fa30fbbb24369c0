"""Follows a stream that others write, directly or through peers."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter, LogFailure, LogPage
from verbenadeck.journal._messages import StreamFetch
from verbenadeck.journal._reader import PageReader, ReadOptions
from verbenadeck.journal._recent import RecentRecords
from verbenadeck.journal._relay import Relay
from verbenadeck.journal._sources import SourcePlanner
from verbenadeck.journal._waiters import OffsetWaiters
from verbenadeck.model import Offset
from verbenadeck.peers import PeerTransport
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')

RETRY_S = 0.3
"""Time in seconds between two tries to load what a stream keeps."""

RecordsHandler = Callable[[tuple[bytes, ...], bool], None]
"""Called with consecutive records, and whether they are all that counts."""


class StreamFollower:
    """Follows a stream of which the newest record of each name counts.

    Some nodes of a zone read the stream itself and the others take records
    from them, along the same tree as those of the fleet's log.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the stream; it keeps the newest records for good.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        For waits and for the choice of peers.
    transport : PeerTransport
        Way to peers; one stream a port.
    planner : SourcePlanner
        Chooses whom to read from.
    options : ReadOptions
        Options of reading.
    on_records : RecordsHandler
        Takes records in.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        clock: Clock,
        random_source: random.Random,
        transport: PeerTransport,
        planner: SourcePlanner,
        options: ReadOptions,
        on_records: RecordsHandler,
    ) -> None:
        self._adapter = adapter
        self._clock = clock
        self._planner = planner
        self._on_records = on_records
        self._applied_offset = Offset(-1)
        self._first_offset = Offset(0)
        self._recent = RecentRecords()
        self._waiters = OffsetWaiters(clock)
        self._task: asyncio.Task[None] | None = None
        self._reader = PageReader(
            adapter=adapter,
            transport=transport,
            clock=clock,
            random_source=random_source,
            plan=planner.plan,
            options=options,
            make_fetch=StreamFetch,
        )
        relay = Relay(
            clock=clock,
            recent=self._recent,
            waiters=self._waiters,
            applied_offset=lambda: self._applied_offset,
            first_offset=lambda: self._first_offset,
            age_s=lambda: self._reader.age_s,
        )
        transport.register_handler(StreamFetch, relay.fetch)

    async def start(self) -> None:
        """Start to follow the stream."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        is_loaded = False
        while True:
            if not is_loaded:
                is_loaded = await self._load()
                continue
            if self._planner.take_changed():
                self._reader.replan()
            is_loaded = await self._read()

    async def _load(self) -> bool:
        """Take all that the stream keeps; return whether that worked."""
        answer = await self._adapter.newest()
        match answer:
            case Success(kept) if kept is not None:
                self._applied_offset = Offset(kept.end_offset - 1)
                self._first_offset = kept.end_offset
                self._recent.restart(self._applied_offset)
                self._on_records(
                    tuple(record for _, record in kept.records), True
                )
                self._waiters.wake(self._applied_offset)
                return True
            case Failure(error):
                _log.warning('stream not loaded: {}', error.detail)
        await self._clock.sleep_until(self._clock.now_s() + RETRY_S)
        return False

    async def _read(self) -> bool:
        """Read on; return whether the state is still complete."""
        match await self._reader.read(Offset(self._applied_offset + 1)):
            case Success(page):
                self._apply(page)
            case Failure(error):
                _log.warning('stream not read: {}', error.detail)
                return error.failure is not LogFailure.EXPIRED
        return True

    def _apply(self, page: LogPage) -> None:
        if not page.records:
            return
        for index, payload in enumerate(page.records):
            self._recent.add(Offset(page.start_offset + index), payload)
        self._applied_offset = Offset(page.start_offset + len(page.records) - 1)
        self._on_records(page.records, False)
        self._waiters.wake(self._applied_offset)
