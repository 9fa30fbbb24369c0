"""Following of a stream that other processes write, with relaying."""

import asyncio
import enum
import random
from collections.abc import Callable

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter, LogFailure, LogPage, NewestRecords
from verbenadeck.journal._messages import RelayState, StreamFetch
from verbenadeck.journal._reader import PageReader, ReadOptions, ReadResult
from verbenadeck.journal._recent import RecentRecords
from verbenadeck.journal._relay import Relay
from verbenadeck.journal._sources import SourcePlanner
from verbenadeck.journal._stream_state import RecordSplitter, StreamState
from verbenadeck.journal._waiters import OffsetWaiters
from verbenadeck.model import Offset
from verbenadeck.peers import PeerTransport
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')

_LOAD_RETRY_S = 0.3
"""Time in seconds between attempts to load the retained records of a stream."""

_History = tuple[tuple[Offset, bytes], ...]

_MAX_STATE_BYTES = 1_048_576
"""Maximum size in bytes of the records of a state that is sent to a peer."""


class RecordsKind(enum.Enum):
    """How records relate to those that were passed on before.

    Attributes
    ----------
    FOLLOWING
        They come after all others.
    SNAPSHOT
        They replace all others.
    """

    FOLLOWING = 'following'
    SNAPSHOT = 'snapshot'


RecordsHandler = Callable[[tuple[bytes, ...], RecordsKind], None]
"""Called with records, and how they relate to those before."""


class StreamFollower:
    """Follower of a stream in which the newest record of each name is valid.

    Some nodes of each zone read the stream directly and the others read
    from them, along the same tree as for the log of the fleet.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the stream, which retains the newest records for good.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of retry jitter and of the choice of peers.
    transport : PeerTransport
        Transport to other nodes; it can serve one stream only.
    planner : SourcePlanner
        Plans the sources to read from.
    options : ReadOptions
        Options of reading the stream.
    split_record : RecordSplitter
        Returns the name and the content of a record.
    on_records : RecordsHandler
        Called with the records that were read.
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
        split_record: RecordSplitter,
        on_records: RecordsHandler,
    ) -> None:
        self._adapter = adapter
        self._clock = clock
        self._planner = planner
        self._on_records = on_records
        self._applied_offset = Offset(-1)
        self._first_offset = Offset(0)
        self._state = StreamState(split_record)
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
            era=lambda: self._state.era,
            make_fetch=StreamFetch,
            on_refresh=self._waiters.refresh,
            on_state=self._use_state,
        )
        relay = Relay(
            clock=clock,
            recent=self._recent,
            waiters=self._waiters,
            applied_offset=lambda: self._applied_offset,
            first_offset=lambda: self._first_offset,
            age_s=lambda: self._reader.age_s,
            era=lambda: self._state.era,
            make_state=self._make_state,
        )
        transport.register_handler(StreamFetch, relay.handle_fetch)

    async def start(self) -> None:
        """Start following the stream."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        while not await self._load_newest():
            await self._wait_before_retry()
        while True:
            if self._planner.consume_change():
                self._reader.replan()
            if not await self._read_next() and not await self._load_newest():
                # A peer may have what the log doesn't return to this node.
                await self._wait_before_retry()

    async def _load_newest(self) -> bool:
        """Load the retained records; return whether they were read."""
        answer = await self._adapter.newest()
        match answer:
            case Success(newest_records) if newest_records is not None:
                if newest_records.era < self._state.era:
                    _log.warning('the stream answered from an earlier era')
                    return False
                return await self._load(newest_records)
            case Failure(error):
                _log.warning(
                    'loading the stream failed: {}; retrying', error.detail
                )
        return False

    async def _load(self, newest: NewestRecords) -> bool:
        history = await self._read_history(newest)
        if history is None:
            return False
        self._state.load(newest, history)
        self._reader.record_end_known()
        self._restart(newest.end_offset)
        return True

    async def _read_history(self, newest: NewestRecords) -> _History | None:
        """Return what was written after a return, None if that is unknown."""
        if self._applied_offset < 0 or newest.era == self._state.era:
            return ()
        start = self._state.find_known_stop(newest)
        answer = await self._read_records(start, newest)
        if not is_successful(answer):
            # Only what the stream still has can be read.
            start = max(start, answer.failure().first_offset)
            answer = await self._read_records(start, newest)
        if not is_successful(answer) or answer.unwrap().era != newest.era:
            _log.warning('records after {} not read; retrying', start)
            return None
        return tuple(
            (Offset(start + number), record)
            for number, record in enumerate(answer.unwrap().records)
        )

    async def _read_records(
        self, start: Offset, newest: NewestRecords
    ) -> ReadResult:
        return await self._adapter.read(
            start,
            limit=newest.end_offset - start,
            deadline_s=self._clock.now_s(),
        )

    async def _wait_before_retry(self) -> None:
        await self._clock.sleep_until(self._clock.now_s() + _LOAD_RETRY_S)

    def _restart(self, end_offset: Offset) -> None:
        """Continue from an offset, after a state that replaces all records."""
        self._applied_offset = Offset(end_offset - 1)
        self._first_offset = end_offset
        self._recent.restart(self._applied_offset)
        self._pass_on(self._state.records, kind=RecordsKind.SNAPSHOT)
        self._waiters.wake(self._applied_offset)

    def _use_state(self, state: RelayState) -> bool:
        """Use the state of a peer unless this node has read as far."""
        is_behind = (
            state.era > self._state.era
            or state.end_offset > self._applied_offset + 1
        )
        if is_behind:
            self._state.merge(state.records, state.era, state.end_offset)
            self._restart(state.end_offset)
        return is_behind

    def _make_state(self) -> RelayState | None:
        """Return the state for a peer, None if it is too large to send."""
        records = self._state.positioned_records
        size_bytes = sum(len(record.payload) for record in records)
        if size_bytes > _MAX_STATE_BYTES or self._applied_offset < 0:
            return None
        return RelayState(
            end_offset=Offset(self._applied_offset + 1),
            records=records,
            age_s=self._reader.age_s,
            era=self._state.era,
        )

    async def _read_next(self) -> bool:
        """Read the next records; return False if some have expired unread."""
        match await self._reader.read(Offset(self._applied_offset + 1)):
            case Success(page):
                self._apply(page)
            case Failure(error):
                _log.warning(
                    'reading the stream failed: {}; retrying', error.detail
                )
                return error.failure is not LogFailure.EXPIRED
        return True

    def _apply(self, page: LogPage) -> None:
        if not page.records:
            return
        for index, payload in enumerate(page.records):
            self._recent.add(Offset(page.start_offset + index), payload)
        self._state.follow(page.start_offset, page.records)
        self._applied_offset = Offset(page.start_offset + len(page.records) - 1)
        self._pass_on(page.records, kind=RecordsKind.FOLLOWING)
        self._waiters.wake(self._applied_offset)

    def _pass_on(
        self, records: tuple[bytes, ...], *, kind: RecordsKind
    ) -> None:
        """Pass records on; an odd one must not end the following."""
        try:
            self._on_records(records, kind)
        except Exception as error:
            _log.opt(exception=error).error(
                '{} records of the stream could not be used', len(records)
            )
