"""Forecast of the times at which waiting requests get a slot."""

import heapq
import itertools
from collections.abc import Iterable
from typing import NamedTuple


class RunProgress(NamedTuple):
    """Progress of a run.

    Parameters
    ----------
    expected_s : float
        Expected service time in seconds, with the waits for other services.
    elapsed_s : float
        Time since the start of the run, in seconds.
    """

    expected_s: float
    elapsed_s: float


def remaining_times_s(runs: Iterable[RunProgress]) -> list[float]:
    """Return the expected times that runs have left, in seconds.

    Most overdue runs began while the upstream was several times slower and
    have between nothing and the expected time left: half of it in the mean.
    The ends of several of them are spread evenly over that time, since the
    first of them frees its slot earlier than the mean.

    Parameters
    ----------
    runs : iterable of RunProgress
        Runs that hold a slot.

    Examples
    --------
    >>> remaining_times_s([RunProgress(1.0, 0.75), RunProgress(1.0, 3.0)])
    [0.25, 0.5]
    >>> remaining_times_s([RunProgress(3.0, 5.0), RunProgress(3.0, 9.0)])
    [1.0, 2.0]
    """
    running: list[float] = []
    overdue: list[float] = []
    for expected_s, elapsed_s in runs:
        if elapsed_s < expected_s:
            running.append(expected_s - elapsed_s)
        else:
            overdue.append(expected_s)
    parts = len(overdue) + 1
    overdue.sort()
    return running + [
        expected_s * part / parts
        for part, expected_s in enumerate(overdue, start=1)
    ]


class SlotForecast:
    """Waits for slots, given to requests in the order in which they are added.

    Each request gets the slot that is free first, so that a short request is
    not taken to wait for the longest run. Times are in seconds from now.

    Parameters
    ----------
    remaining_s : iterable of float
        Expected remaining times of the running requests.
    slots : int
        Number of slots that may be in use.
    rate_per_s : float
        Requests per second that may start.
    """

    def __init__(
        self, remaining_s: Iterable[float], *, slots: int, rate_per_s: float
    ) -> None:
        # With more runs than slots, the first ones to end free no slot.
        free_in_s = sorted(remaining_s)[-slots:]
        self._free_in_s = [
            *itertools.repeat(0.0, slots - len(free_in_s)),
            *free_in_s,
        ]
        self._start_interval_s = 1 / rate_per_s if rate_per_s else float('inf')
        self._is_rate_limited = self._start_interval_s > 0
        self._added = 0

    @property
    def next_wait_s(self) -> float:
        """Wait of the next request that is added, in seconds."""
        slot_wait_s = self._free_in_s[0]
        if not self._is_rate_limited:
            return slot_wait_s
        return max(slot_wait_s, (self._added + 1) * self._start_interval_s)

    def add(self, run_s: float) -> None:
        """Add a request with its expected service time, in seconds."""
        start_s = self.next_wait_s
        self._added += 1
        heapq.heapreplace(self._free_in_s, start_s + run_s)
