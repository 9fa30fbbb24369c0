"""Tailing of the log into a fleet state."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter, LogFailure, LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._checkpoint_search import CheckpointSearch
from verbenadeck.journal._era_start_gate import EraStartGate
from verbenadeck.journal._proposals import Proposals
from verbenadeck.journal._reader import PageReader, ReadOptions, ReadResult
from verbenadeck.journal._record_applier import RecordApplier
from verbenadeck.journal._sources import LOG, Source, SourcePlanner
from verbenadeck.journal._state_loader import StateLoader
from verbenadeck.journal._waiters import OffsetWaiters, completes_by
from verbenadeck.model import (
    Era,
    Incarnation,
    NodeId,
    Offset,
    era_of,
    index_of,
    make_offset,
)
from verbenadeck.peers import PeerTransport
from verbenadeck.utils import Clock, ignore_name

_log = logger.bind(part='journal')

_END_TIMEOUT_S = 0.25
"""Maximum time in seconds that a read of the end of the log waits for a
record."""


class TailError(Exception):
    """Tailing ended because applying a record broke an invariant.

    The fleet state is no longer updated from then on.
    """


class LogFollower:
    """Reader of the log, directly or through peers, into a fleet state.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of retry jitter and of the choice of peers.
    proposals : Proposals
        Records of this process that await their verdict.
    node_id : NodeId
        Name of this node.
    transport : PeerTransport or None
        Transport to other nodes; None for a process that uses only the log.
    options : ReadOptions
        Options of reading the log.
    count : callable
        Adds one to the counter with the given name.

    Attributes
    ----------
    applier : RecordApplier
        Applies records; holds the recent records and the newest checkpoint.
    new_history_listeners : list of callable
        Called before the state is replaced by an older one, because the log
        has come back from a backup without its newest records.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        clock: Clock,
        random_source: random.Random,
        proposals: Proposals,
        node_id: NodeId,
        transport: PeerTransport | None,
        options: ReadOptions,
        count: Callable[[str], None] = ignore_name,
    ) -> None:
        self._adapter = adapter
        self._node_id = node_id
        self._clock = clock
        self._random = random_source
        self._page_limit = options.page_limit
        self._fleet = FleetState()
        self._waiters = OffsetWaiters(clock)
        self.applier = RecordApplier(
            fleet=self._fleet, proposals=proposals, waiters=self._waiters
        )
        self._count = count
        self._planner = self.make_planner(options.direct_readers)
        self._loader = StateLoader(
            adapter=adapter,
            search=CheckpointSearch(
                adapter=adapter, clock=clock, page_limit=options.page_limit
            ),
            fleet=self._fleet,
            clock=clock,
            random_source=random_source,
        )
        self.new_history_listeners = self._loader.new_history_listeners
        self.new_history_listeners.append(self.applier.forget_checkpoints)
        self._reader = PageReader(
            adapter=adapter,
            transport=transport,
            clock=clock,
            random_source=random_source,
            plan=self._planner.plan if transport else _plan_log,
            options=options,
            era=lambda: self._fleet.claims.log_era,
            on_refresh=self._waiters.refresh,
        )
        self._era_start = EraStartGate(self._fleet)
        self._task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> FleetState:
        """Fleet state derived from the records applied so far."""
        return self._fleet

    @property
    def incarnation(self) -> Incarnation | None:
        """Incarnation of this node, None before its join is accepted."""
        return self.applier.incarnation

    @property
    def is_ready(self) -> bool:
        """Whether the state is loaded and has reached the end of the log once."""
        return self._era_start.is_passed

    @property
    def blocked_on(self) -> str:
        """What loading the state waits for, empty if it is not waiting."""
        return self._loader.blocked_on or self._era_start.blocked_on

    @property
    def age_s(self) -> float:
        """Seconds since the end of the log was last known, also through peers."""
        return self._reader.age_s

    def make_planner(self, direct_readers: int) -> SourcePlanner:
        """Return a planner of the sources that this node reads from."""
        return SourcePlanner(
            fleet=self._fleet,
            node_id=self._node_id,
            random_source=self._random,
            direct_readers=direct_readers,
        )

    async def start(self) -> None:
        """Start tailing; `wait_ready` waits until the state has caught up."""
        self._task = asyncio.create_task(self._tail())
        self._task.add_done_callback(_report_broken_tail)

    async def stop(self) -> None:
        """Stop tailing and close the client for the log service."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._adapter.close()

    async def wait_ready(self, *, deadline_s: float) -> bool:
        """Wait until the state has caught up; return False at the deadline."""
        return await completes_by(
            self._era_start.wait_passed(), self._clock, deadline_s
        )

    async def wait_applied(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait until a record is applied; return False at the deadline."""
        if self._fleet.applied_offset >= offset:
            return True
        return await self._waiters.wait(offset, deadline_s=deadline_s)

    async def catch_up(self, *, deadline_s: float) -> bool:
        """Apply the log up to the end that it has during this call.

        Reads the log itself, since what peers relay may be older. Returns
        False if the end is not known or not applied by the deadline.
        """
        next_offset = _index_after(self._fleet.applied_offset)
        era = self._fleet.claims.log_era
        answer = await self._adapter.read(
            next_offset,
            limit=self._page_limit,
            deadline_s=min(deadline_s, self._clock.now_s() + _END_TIMEOUT_S),
        )
        match answer:
            case Success(page):
                is_end_known = (
                    page.reaches_end
                    and page.era == era
                    and page.start_offset == next_offset
                )
                last_index = next_offset + len(page.records) - 1
                return is_end_known and await _wait_index(
                    self, last_index, era, deadline_s=deadline_s
                )
            case Failure(error):
                _log.info('reading the end of the log failed: {}', error.detail)
        return False

    async def _tail(self) -> None:
        await self._load_state()
        while True:
            if self._planner.consume_change():
                self._reader.replan()
            answer = await self._reader.read(
                _index_after(self._fleet.applied_offset)
            )
            if not self._follow_answer(answer):
                await self._load_state()

    def _follow_answer(self, answer: ReadResult) -> bool:
        """Apply what was read; return False if the state must be loaded."""
        if not is_successful(answer):
            error = answer.failure()
            _log.warning('reading the log failed: {}; retrying', error.detail)
            return error.failure is not LogFailure.EXPIRED
        page = answer.unwrap()
        is_applied = self._apply_page(page)
        if is_applied and len(page.records) < self._page_limit:
            self._era_start.mark_caught_up()
        return is_applied

    async def _load_state(self) -> None:
        self._era_start.close()
        known = (self._fleet.claims.log_era, self._fleet.applied_offset)
        await self._loader.load()
        if known != (self._fleet.claims.log_era, self._fleet.applied_offset):
            # Otherwise the records that peers may still need stay available.
            self.applier.restart()
        tail = self._loader.tail
        if tail is not None and self._apply_page(tail):
            # The retained records reached the end of the log when they were read.
            self._reader.record_end_known()
            self._era_start.mark_caught_up()

    def _apply_page(self, page: LogPage) -> bool:
        """Apply records; return False if they don't follow the state.

        What a log or a peer returns is no invariant of this process.
        """
        next_offset = _index_after(self._fleet.applied_offset)
        if page.start_offset == next_offset:
            self.applier.apply_page(page)
            return True
        self._count('log_pages_out_of_order')
        _log.error(
            'ignoring records from {} of era {}: the state of era {} needs '
            'those from {}',
            page.start_offset,
            page.era,
            self._fleet.claims.log_era,
            next_offset,
        )
        return False


async def _wait_index(
    follower: LogFollower, index: int, era: Era, *, deadline_s: float
) -> bool:
    """Wait for an index of the log; return False in a later era."""
    applied_era = era_of(follower.fleet.applied_offset)
    # The first record of a later era ends the wait at any index.
    return (
        await follower.wait_applied(
            make_offset(applied_era, index), deadline_s=deadline_s
        )
        and index_of(follower.fleet.applied_offset) >= index
        and follower.fleet.claims.log_era == era
    )


def _index_after(offset: Offset) -> Offset:
    return Offset(index_of(offset) + 1)


def _plan_log() -> tuple[Source, ...]:
    return (LOG,)


def _report_broken_tail(task: 'asyncio.Task[None]') -> None:
    """Report an ended tail to the event loop, whose handler stops the node."""
    if not task.cancelled() and task.exception() is not None:
        _log.critical('tail broke: {}', task.exception())
        task.get_loop().call_exception_handler(
            {
                'message': 'the log client broke an invariant',
                'exception': TailError(str(task.exception())),
            }
        )
