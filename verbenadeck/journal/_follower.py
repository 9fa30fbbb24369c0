"""Follows the log into a fleet state."""

import asyncio
import random

from loguru import logger
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter, LogFailure, LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._checkpoint_search import CheckpointSearch
from verbenadeck.journal._proposals import Proposals
from verbenadeck.journal._reader import PageReader, ReadOptions
from verbenadeck.journal._record_applier import Intake
from verbenadeck.journal._sources import SourcePlanner
from verbenadeck.journal._state_loader import BaseLoader
from verbenadeck.journal._waiters import OffsetWaiters, completes_by
from verbenadeck.model import Incarnation, Offset
from verbenadeck.peers import PeerTransport
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')


class TailError(Exception):
    """The tail of the log broke an invariant; its state is old from now."""


class LogFollower:
    """Tails the log, directly or through peers.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        For waits and for the choice of peers.
    proposals : Proposals
        Records of this process that wait for their verdict.
    transport : PeerTransport or None
        Way to peers; None for a process that only uses the log.
    options : ReadOptions
        Options.

    Attributes
    ----------
    intake : Intake
        What is known of the log beside the fleet state.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        clock: Clock,
        random_source: random.Random,
        proposals: Proposals,
        transport: PeerTransport | None,
        options: ReadOptions,
    ) -> None:
        self._adapter = adapter
        self._clock = clock
        self._random = random_source
        self._page_limit = options.page_limit
        self._fleet = FleetState()
        self._waiters = OffsetWaiters(clock)
        self.intake = Intake(
            fleet=self._fleet, proposals=proposals, waiters=self._waiters
        )
        self._planner = self.make_planner(options.direct_per_zone)
        self._base = BaseLoader(
            adapter=adapter,
            search=CheckpointSearch(
                adapter=adapter, clock=clock, page_limit=options.page_limit
            ),
            fleet=self._fleet,
            clock=clock,
            random_source=random_source,
        )
        self._reader = PageReader(
            adapter=adapter,
            transport=transport,
            clock=clock,
            random_source=random_source,
            plan=self._planner.plan,
            options=options,
        )
        self._ready = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> FleetState:
        """State derived from the records read so far."""
        return self._fleet

    @property
    def incarnation(self) -> Incarnation | None:
        """Own incarnation, None before the join was accepted."""
        return self.intake.incarnation

    @property
    def is_ready(self) -> bool:
        """Whether the state follows the log and reached its end once."""
        return self._ready.is_set()

    @property
    def blocked_on(self) -> str:
        """What the start waits for, empty when it waits for nothing."""
        return self._base.blocked_on

    @property
    def age_s(self) -> float:
        """Seconds since the end of the log was last known."""
        return self._reader.age_s

    def make_planner(self, direct_per_zone: int) -> SourcePlanner:
        """Return a planner of sources for this node."""
        return SourcePlanner(
            fleet=self._fleet,
            incarnation=lambda: self.intake.incarnation,
            random_source=self._random,
            direct_per_zone=direct_per_zone,
        )

    async def start(self) -> None:
        """Start tailing; `wait_ready` tells when the state has caught up."""
        self._task = asyncio.create_task(self._tail())
        self._task.add_done_callback(_report_broken)

    async def stop(self) -> None:
        """Stop tailing and close the way to the log."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._adapter.close()

    async def wait_ready(self, *, deadline_s: float) -> bool:
        """Wait until the state has caught up; False at the deadline."""
        return await completes_by(self._ready.wait(), self._clock, deadline_s)

    async def wait_applied(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait until a record is applied; return False at the deadline."""
        if self._fleet.applied_offset >= offset:
            return True
        return await self._waiters.wait(offset, deadline_s=deadline_s)

    async def _tail(self) -> None:
        await self._load_base()
        while True:
            if self._planner.take_changed():
                self._reader.replan()
            next_offset = Offset(self._fleet.applied_offset + 1)
            match await self._reader.read(next_offset):
                case Success(page):
                    self._take(page)
                case Failure(error):
                    _log.warning('read failed: {}', error.detail)
                    await self._recover(error.failure)

    async def _recover(self, failure: LogFailure) -> None:
        if failure is LogFailure.EXPIRED:
            await self._load_base()

    async def _load_base(self) -> None:
        self._ready.clear()
        await self._base.load()
        self.intake.restart()
        if self._base.tail is not None:
            self.intake.apply_page(self._base.tail)
            # What the log keeps reached to its end a moment ago.
            self._ready.set()

    def _take(self, page: LogPage) -> None:
        self.intake.apply_page(page)
        if len(page.records) < self._page_limit:
            self._ready.set()


def _report_broken(task: 'asyncio.Task[None]') -> None:
    """Report a tail that broke an invariant; the node must not go on."""
    if not task.cancelled() and task.exception() is not None:
        _log.critical('tail broke: {}', task.exception())
        task.get_loop().call_exception_handler(
            {
                'message': 'the log client broke an invariant',
                'exception': TailError(str(task.exception())),
            }
        )
