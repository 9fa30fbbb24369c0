"""Log client of a node."""

import asyncio
import random

import msgspec
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogAdapter, LogError, LogFailure, LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._port import Applied, JournalError, JournalFailure
from verbenadeck.journal._proposals import Proposal, Proposals
from verbenadeck.journal._waiters import OffsetWaiters, wait_until
from verbenadeck.model import NodeId, Offset, WriterId
from verbenadeck.records import Record, decode_envelope
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')


class JournalOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the log client.

    Parameters
    ----------
    page_limit : int
        Records asked for at once.
    read_wait_s : float
        Longest wait of one read for its first record.
    append_wait_s : float
        Longest wait for the answer to one append.
    repeat_wait_s : float
        Wait for the read-back before an append is repeated.
    retry_wait_s : float
        Mean wait after a failed read or append.
    parallel_appends : int
        Proposals in flight at once.
    """

    page_limit: int = 512
    read_wait_s: float = 1
    append_wait_s: float = 1
    repeat_wait_s: float = 0.5
    retry_wait_s: float = 0.2
    parallel_appends: int = 32


class LogClient:
    """Tails the log into a fleet state and appends to the log.

    An append counts as acknowledged only when this process has read its
    record back and judged it; the log's own answer counts for nothing.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        For the writer id and for waits.
    node_id : NodeId
        Name of this node.
    options : JournalOptions
        Options.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        clock: Clock,
        random_source: random.Random,
        node_id: NodeId,
        options: JournalOptions | None = None,
    ) -> None:
        self._adapter = adapter
        self._clock = clock
        self._random = random_source
        self._options = options or JournalOptions()
        self._fleet = FleetState()
        life = random_source.getrandbits(64)
        self._proposals = Proposals(WriterId(f'{node_id}/{life:016x}'))
        self._waiters = OffsetWaiters(clock)
        self._slots = asyncio.Semaphore(self._options.parallel_appends)
        self._task: asyncio.Task[None] | None = None

    @property
    def fleet(self) -> FleetState:
        """State derived from the records read so far."""
        return self._fleet

    async def start(self) -> None:
        """Start tailing."""
        self._task = asyncio.create_task(self._tail())

    async def stop(self) -> None:
        """Stop tailing and close the way to the log."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._adapter.close()

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[Applied, JournalError]:
        """Append a record and wait until it is read back and judged."""
        if not await self._take_slot(deadline_s):
            detail = 'too many appends in flight'
            return Failure(JournalError(JournalFailure.NOT_APPENDED, detail))
        proposal = self._proposals.open(record, self._fleet.applied_offset)
        try:
            return await self._append(proposal, deadline_s)
        finally:
            self._proposals.close(proposal)
            self._slots.release()

    async def wait_applied(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait until a record is applied; return False at the deadline."""
        if self._fleet.applied_offset >= offset:
            return True
        return await self._waiters.wait(offset, deadline_s=deadline_s)

    async def _take_slot(self, deadline_s: float) -> bool:
        try:
            async with asyncio.timeout(self._clock.remaining_s(deadline_s)):
                return await self._slots.acquire()
        except TimeoutError:
            return False

    async def _append(
        self, proposal: Proposal, deadline_s: float
    ) -> Result[Applied, JournalError]:
        """Repeat an append until its record is read back."""
        failure = JournalFailure.NOT_APPENDED
        while self._clock.now_s() < deadline_s:
            step_s = self._clock.now_s() + self._options.append_wait_s
            answer = await self._adapter.append(
                proposal.payload, deadline_s=min(deadline_s, step_s)
            )
            lost = _failure_of(answer)
            if lost in {None, LogFailure.UNKNOWN}:
                failure = JournalFailure.UNKNOWN
            wait_s = min(deadline_s, self._repeat_at_s(lost, deadline_s))
            if await wait_until(proposal.applied, self._clock, wait_s):
                return Success(proposal.applied.result())
        detail = f'record {proposal.sequence} was not read back in time'
        return Failure(JournalError(failure, detail))

    def _repeat_at_s(self, lost: LogFailure | None, deadline_s: float) -> float:
        """Return when to append again unless the record is read back."""
        now_s = self._clock.now_s()
        if lost is None:
            return deadline_s
        if lost is LogFailure.UNKNOWN:
            return now_s + self._options.repeat_wait_s
        return now_s + self._retry_wait_s()

    def _retry_wait_s(self) -> float:
        return self._options.retry_wait_s * self._random.uniform(0.5, 1.5)

    async def _tail(self) -> None:
        while True:
            answer = await self._adapter.read(
                Offset(self._fleet.applied_offset + 1),
                limit=self._options.page_limit,
                deadline_s=self._clock.now_s() + self._options.read_wait_s,
            )
            match answer:
                case Success(page):
                    self._apply_page(page)
                case Failure(error):
                    _log.warning('read failed: {}', error.detail)
                    await asyncio.sleep(self._retry_wait_s())

    def _apply_page(self, page: LogPage) -> None:
        for index, payload in enumerate(page.records):
            self._apply(Offset(page.start_offset + index), payload)
        self._waiters.wake(self._fleet.applied_offset)

    def _apply(self, offset: Offset, payload: bytes) -> None:
        envelope = decode_envelope(payload).value_or(None)
        if envelope is None:
            self._fleet.apply(offset, payload)
            return
        verdict = self._fleet.apply(offset, envelope)
        self._proposals.settle(offset, envelope, verdict)


def _failure_of(answer: Result[Offset, LogError]) -> LogFailure | None:
    return None if is_successful(answer) else answer.failure().failure
