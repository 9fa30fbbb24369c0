"""State of the upstream stand-in: admission, runs and oracle."""

import asyncio
import enum
import math
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from verbenadeck.adapters import wire
from verbenadeck.standins._cold_start import ColdStart, Overrun
from verbenadeck.standins._grants import GrantTable
from verbenadeck.standins._load_history import LoadHistory
from verbenadeck.standins._upstream_options import (
    RunsReport,
    ServedRun,
    UpstreamFaults,
    UpstreamOptions,
)
from verbenadeck.utils import Clock


class Refused(enum.Enum):
    """Why an order did not run."""

    INSTANCE = 'instance'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    FENCED = 'fenced'
    SHED = 'shed'
    COLD = 'cold'


class OrderFields(msgspec.Struct, frozen=True):
    """What the headers of an order say.

    Parameters
    ----------
    request_id : str
        Request id.
    instance : str
        Life of the upstream that the order is meant for; empty for any.
    shard : int
        Shard, -1 for services not divided by key.
    fence : int
        Fence of the shard.
    deadline_s : float
        Deadline on the boot clock.
    path : str
        Path as received.
    """

    request_id: str
    instance: str
    shard: int
    fence: int
    deadline_s: float
    path: str


class UpstreamState:
    """One life of an upstream.

    Parameters
    ----------
    options : UpstreamOptions
        What it is.
    clock : Clock
        Boot clock of the VM.
    crash : callable
        Ends the process.
    """

    def __init__(
        self,
        options: UpstreamOptions,
        *,
        clock: Clock,
        crash: Callable[[], None],
    ) -> None:
        self.options = options
        self.faults = UpstreamFaults()
        self.is_draining = False
        self.grants = GrantTable(now_s=clock.now_s)
        self.cold_start = ColdStart(
            now_s=clock.now_s,
            slots=options.slots,
            cold_slots=options.cold_slots,
            warm_up_s=options.warm_up_s,
        )
        self.served: list[ServedRun] = []
        self._clock = clock
        self._crash = crash
        self._random = random.Random(options.seed)
        self._history = LoadHistory(now_s=clock.now_s)
        self._runs: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._running: dict[asyncio.Task[None], str] = {}
        self._most_running = 0
        self._thawed = asyncio.Event()
        self._thawed.set()

    def admit(self, order: OrderFields) -> Refused | None:
        """Return why an order must not run now, None when it may."""
        refused = self._judge(order)
        if refused is None and self.options.poison:
            self._crash_on_poison(order)
        if refused is not None:
            self._refused[refused.value] += 1
        return refused

    async def run(self, order: OrderFields) -> bool:
        """Run an admitted order; return whether it came to its end."""
        self._runs[order.request_id] += 1
        task = asyncio.ensure_future(self._work(order))
        self._running[task] = order.request_id
        self._most_running = max(self._most_running, len(self._running))
        self._sample()
        start_s = self._clock.now_s()
        try:
            await asyncio.wait((task,))
        finally:
            task.cancel()
            self._running.pop(task)
            end_s = self._clock.now_s()
            self.served.append(
                ServedRun(order.shard, order.fence, start_s, end_s)
            )
            self._sample()
        return not task.cancelled()

    def cancel(self, request_id: str) -> None:
        """Stop the runs of a request."""
        for task, running_id in self._running.items():
            if running_id == request_id:
                task.cancel()

    def show(self, faults: UpstreamFaults) -> None:
        """Show other faults from now on."""
        self.faults = faults
        self.grants.is_ignored = faults.is_fence_blind
        if faults.is_chilled:
            self.cold_start.chill()
        if faults.is_frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

    async def wait_thawed(self) -> None:
        """Wait while frozen."""
        await self._thawed.wait()

    def load(self) -> wire.LoadBody:
        """Return the load as this upstream reports it."""
        self._sample()
        return self._history.report(
            lag_s=self.faults.load_lag_s, lie=self.faults.load_lie
        )

    def runs_report(self) -> RunsReport:
        """Return what truly happened."""
        return RunsReport(
            runs=dict(self._runs),
            refused=dict(self._refused),
            overruns=self.cold_start.overruns,
            most_running=self._most_running,
        )

    def _judge(self, order: OrderFields) -> Refused | None:
        options = self.options
        if order.instance not in {'', options.instance}:
            return Refused.INSTANCE
        if self.is_draining:
            return Refused.DRAINING
        if self._clock.now_s() >= order.deadline_s:
            return Refused.DEADLINE
        if options.is_keyed and not self.grants.permit(
            order.shard, order.fence
        ):
            return Refused.FENCED
        if len(self._running) >= options.slots:
            return Refused.SHED
        if self.cold_start.admit(len(self._running)):
            return None
        return self._overrun()

    def _overrun(self) -> Refused | None:
        if self.options.overrun is Overrun.REFUSE:
            return Refused.COLD
        if self.options.overrun is Overrun.CRASH:
            self._crash()
        self.cold_start.stall()
        return None

    def _crash_on_poison(self, order: OrderFields) -> None:
        if self.options.poison in order.path:
            self._crash()

    async def _work(self, order: OrderFields) -> None:
        options = self.options
        mu = math.log(options.service_time_s)
        drawn_s = self._random.lognormvariate(mu, options.spread)
        now_s = self._clock.now_s()
        start_s = max(now_s, self.cold_start.stalled_until_s)
        done_s = start_s + drawn_s * self.faults.straggle_factor
        if done_s > order.deadline_s:
            await self._clock.sleep_until(order.deadline_s)
            raise asyncio.CancelledError
        await self._clock.sleep_until(done_s)

    def _sample(self) -> None:
        self._history.add(
            wire.LoadBody(
                is_healthy=not self.is_draining,
                running=len(self._running),
                bearable=self.cold_start.bearable,
                instance=self.options.instance,
            )
        )
