"""Slots that long requests leave to short, more urgent ones."""

import asyncio
import math
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._waiter import Waiter, run_time_s
from verbenadeck.utils import Clock

_DECAY_TIME_CONSTANT_S = 2.0
"""Time constant of the measured load, in seconds: long compared with the
intervals between urgent requests, short compared with a burst."""

_MIN_URGENT_LOAD = 0.05
"""Load in slots below which urgent requests are too rare to keep a slot free."""

_MIN_RUN_RATIO = 2.0
"""Ratio of the run times from which on a request counts as long. A wait for
one that is hardly longer costs an urgent request little."""

_RECHECK_INTERVAL_S = 0.1
"""Interval in seconds at which requests that leave a free slot to urgent ones
are reconsidered. No event shows that urgent requests have ceased to arrive."""


class UrgentLoad(NamedTuple):
    """Load of the requests that are more urgent than a given one.

    Parameters
    ----------
    load : float
        Requests per second times their mean run time: the slots that they
        need on average.
    mean_run_s : float
        Their mean run time, in seconds.
    """

    load: float
    mean_run_s: float


class ServedLoad:
    """Load by priority of started requests, in exponentially decaying sums."""

    def __init__(self) -> None:
        self._by_priority: dict[int, tuple[float, float]] = {}
        self._decayed_at_s = -math.inf

    def record(self, priority: int, run_s: float, *, now_s: float) -> None:
        """Count a request that starts.

        Parameters
        ----------
        priority : int
            Its priority; 0 is the most urgent.
        run_s : float
            Its expected run time, in seconds.
        now_s : float
            Time now, in seconds.
        """
        self._decay(now_s)
        count, work_s = self._by_priority.get(priority, (0.0, 0.0))
        self._by_priority[priority] = count + 1, work_s + run_s

    def above(self, priority: int, *, now_s: float) -> UrgentLoad:
        """Return the load of all requests of a higher priority.

        Parameters
        ----------
        priority : int
            Priority; those of lower numbers are higher.
        now_s : float
            Time now, in seconds.
        """
        self._decay(now_s)
        urgent = [
            entry
            for each, entry in self._by_priority.items()
            if each < priority
        ]
        count = sum(entry[0] for entry in urgent)
        work_s = sum(entry[1] for entry in urgent)
        if count == 0:
            return UrgentLoad(0, 0)
        return UrgentLoad(work_s / _DECAY_TIME_CONSTANT_S, work_s / count)

    def _decay(self, now_s: float) -> None:
        age_s = now_s - self._decayed_at_s
        decay = math.exp(-age_s / _DECAY_TIME_CONSTANT_S)
        self._decayed_at_s = now_s
        self._by_priority = {
            priority: (count * decay, work_s * decay)
            for priority, (count, work_s) in self._by_priority.items()
        }


def reserved_slots(urgent: UrgentLoad, *, run_s: float, slots: int) -> int:
    """Return how many slots long requests must not occupy.

    A running request is not interrupted, so an urgent one that finds all
    slots in use by long ones waits for a share of a long run, however high
    its priority is. One that is made by another upstream's request keeps the
    slot there in use meanwhile.

    Parameters
    ----------
    urgent : UrgentLoad
        Load of the more urgent requests.
    run_s : float
        Expected run time of the request that might start, in seconds.
    slots : int
        Slots of the upstream.

    Returns
    -------
    int
        The slots that the urgent requests need on average, at least one and
        never all; 0 if the request is not long or urgent ones are rare.

    Examples
    --------
    >>> reserved_slots(UrgentLoad(1.4, 0.05), run_s=0.4, slots=3)
    1
    >>> reserved_slots(UrgentLoad(2.2, 0.06), run_s=0.3, slots=5)
    2
    >>> reserved_slots(UrgentLoad(2.2, 0.2), run_s=0.3, slots=5)
    0
    """
    is_long = run_s >= _MIN_RUN_RATIO * urgent.mean_run_s
    if not is_long or urgent.load < _MIN_URGENT_LOAD:
        return 0
    return min(slots - 1, max(1, int(urgent.load)))


class SlotReserve:
    """Limit of the slots that long requests of one upstream occupy.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    limit : callable returning int
        Returns the number of slots that may be in use.
    service_times : ServiceTimes
        Expected run times by kind of request.
    running : collection of Waiter
        Requests that hold a slot.
    is_active : callable returning bool
        Returns whether the limit applies to the upstream.
    on_recheck : callable
        Called some time after `schedule_recheck`.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit: Callable[[], int],
        service_times: ServiceTimes,
        running: Collection[Waiter],
        is_active: Callable[[], bool],
        on_recheck: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._service_times = service_times
        self._running = running
        self._is_active = is_active
        self._on_recheck = on_recheck
        self._timer: asyncio.TimerHandle | None = None
        self._served = ServedLoad()

    def record_start(self, waiter: Waiter) -> None:
        """Count a request that gets a slot."""
        if not self._is_active():
            return
        now_s = self._clock.now_s()
        run_s = run_time_s(waiter, now_s, self._service_times)
        self._served.record(waiter.priority, run_s, now_s=now_s)

    def is_exhausted(self, waiter: Waiter) -> bool:
        """Return whether a request must leave a free slot to urgent ones.

        Parameters
        ----------
        waiter : Waiter
            Request that could start.
        """
        return not self.find_startable((waiter,))

    def find_startable(self, waiting: Sequence[Waiter]) -> list[Waiter]:
        """Return the requests that need not leave a free slot to urgent ones.

        Parameters
        ----------
        waiting : sequence of Waiter
            Requests that could start.
        """
        if not self._is_active():
            return list(waiting)
        now_s = self._clock.now_s()
        slots = self._limit()
        priorities = {each.priority for each in waiting}
        unoccupied = {
            priority: slots - self._count_occupied(priority)
            for priority in priorities
        }
        urgent = {
            priority: self._served.above(priority, now_s=now_s)
            for priority in unoccupied
        }
        startable: list[Waiter] = []
        for each in waiting:
            reserved = reserved_slots(
                urgent[each.priority],
                run_s=run_time_s(each, now_s, self._service_times),
                slots=slots,
            )
            if reserved <= 0 or reserved < unoccupied[each.priority]:
                startable.append(each)
        return startable

    def schedule_recheck(self) -> None:
        """Call `on_recheck` later, since requests leave a free slot to others."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                _RECHECK_INTERVAL_S, self._recheck
            )

    def _recheck(self) -> None:
        self._timer = None
        self._on_recheck()

    def _count_occupied(self, priority: int) -> int:
        """Return how many slots requests of no higher priority hold."""
        return sum(each.priority >= priority for each in self._running)
