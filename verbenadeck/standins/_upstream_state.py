"""State of the upstream stand-in: admission, runs and ground truth."""

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


class RefusalReason(enum.Enum):
    """Reason why a request did not run."""

    INSTANCE = 'instance'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    FENCED = 'fenced'
    SHED = 'shed'
    COLD = 'cold'


class RequestFields(msgspec.Struct, frozen=True):
    """Fields of an upstream request, read from its headers.

    Parameters
    ----------
    request_id : str
        Request id.
    instance : str
        Instance that the request is addressed to; empty for any.
    shard : int
        Shard, -1 for services not divided by key.
    fence : int
        Fence of the shard.
    deadline_s : float
        Deadline in seconds on the boot clock.
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
    """State of one instance of an upstream.

    Parameters
    ----------
    options : UpstreamOptions
        Configuration of the upstream.
    clock : Clock
        Boot clock of the VM.
    crash : callable
        Ends the process.

    Attributes
    ----------
    faults : UpstreamFaults
        Faults that are simulated.
    is_draining : bool
        Whether every request is refused.
    grants : GrantTable
        Grants that were received.
    cold_start : ColdStart
        Capacity during the cold start.
    served : list of ServedRun
        Runs in order of their end.
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
        self._run_counts: Counter[str] = Counter()
        self._refusal_counts: Counter[str] = Counter()
        self._running: dict[asyncio.Task[None], str] = {}
        self._max_running = 0
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()

    def admit(self, upstream_request: RequestFields) -> RefusalReason | None:
        """Return why a request must not run now, or None if it may.

        Parameters
        ----------
        upstream_request : RequestFields
            Request to check.
        """
        refused = self._find_refusal(upstream_request)
        if refused is None and self.options.poison:
            self._crash_on_poison(upstream_request)
        if refused is not None:
            self._refusal_counts[refused.value] += 1
        return refused

    async def run(self, upstream_request: RequestFields) -> bool:
        """Run an admitted request; return whether it completed.

        Parameters
        ----------
        upstream_request : RequestFields
            Request to run.
        """
        self._run_counts[upstream_request.request_id] += 1
        task = asyncio.ensure_future(self._execute(upstream_request))
        self._running[task] = upstream_request.request_id
        self._max_running = max(self._max_running, len(self._running))
        self._record_load()
        start_s = self._clock.now_s()
        try:
            await asyncio.wait((task,))
        finally:
            task.cancel()
            self._running.pop(task)
            end_s = self._clock.now_s()
            self.served.append(
                ServedRun(
                    upstream_request.shard,
                    upstream_request.fence,
                    start_s,
                    end_s,
                )
            )
            self._record_load()
        return not task.cancelled()

    def cancel(self, request_id: str) -> None:
        """Cancel all runs of a request.

        Parameters
        ----------
        request_id : str
            Id of the request.
        """
        for task, running_id in self._running.items():
            if running_id == request_id:
                task.cancel()

    def apply_faults(self, faults: UpstreamFaults) -> None:
        """Replace the simulated faults.

        Parameters
        ----------
        faults : UpstreamFaults
            Faults to simulate from now on.
        """
        self.faults = faults
        self.grants.ignores_fences = faults.is_fence_blind
        if faults.is_chilled:
            self.cold_start.reset_to_cold()
        if faults.is_frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    async def wait_until_unfrozen(self) -> None:
        """Wait until the upstream is not frozen."""
        await self._unfrozen.wait()

    def report_load(self) -> wire.LoadBody:
        """Return the load as reported, possibly delayed or falsified."""
        self._record_load()
        return self._history.build_report(
            lag_s=self.faults.load_lag_s, lie=self.faults.load_lie
        )

    def report_runs(self) -> RunsReport:
        """Return the ground truth of runs and refusals."""
        return RunsReport(
            runs=dict(self._run_counts),
            refused=dict(self._refusal_counts),
            overruns=self.cold_start.overruns,
            most_running=self._max_running,
        )

    def _find_refusal(
        self, upstream_request: RequestFields
    ) -> RefusalReason | None:
        options = self.options
        if upstream_request.instance not in {'', options.instance}:
            return RefusalReason.INSTANCE
        if self.is_draining:
            return RefusalReason.DRAINING
        if self._clock.now_s() >= upstream_request.deadline_s:
            return RefusalReason.DEADLINE
        if options.is_keyed and not self.grants.is_permitted(
            upstream_request.shard, upstream_request.fence
        ):
            return RefusalReason.FENCED
        if len(self._running) >= options.slots:
            return RefusalReason.SHED
        if self.cold_start.admit(len(self._running)):
            return None
        return self._handle_overrun()

    def _handle_overrun(self) -> RefusalReason | None:
        if self.options.overrun is Overrun.REFUSE:
            return RefusalReason.COLD
        if self.options.overrun is Overrun.CRASH:
            self._crash()
        self.cold_start.stall()
        return None

    def _crash_on_poison(self, upstream_request: RequestFields) -> None:
        if self.options.poison in upstream_request.path:
            self._crash()

    async def _execute(self, upstream_request: RequestFields) -> None:
        options = self.options
        mu = math.log(options.service_time_s)
        drawn_s = self._random.lognormvariate(mu, options.spread)
        now_s = self._clock.now_s()
        start_s = max(now_s, self.cold_start.stalled_until_s)
        done_s = start_s + drawn_s * self.faults.straggle_factor
        if done_s > upstream_request.deadline_s:
            await self._clock.sleep_until(upstream_request.deadline_s)
            raise asyncio.CancelledError
        await self._clock.sleep_until(done_s)

    def _record_load(self) -> None:
        self._history.add(
            wire.LoadBody(
                is_healthy=not self.is_draining,
                running=len(self._running),
                bearable=self.cold_start.capacity,
                instance=self.options.instance,
            )
        )
