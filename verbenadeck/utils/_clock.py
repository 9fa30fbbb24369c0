"""Clock of the VM, with sleeping until a deadline."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

# A shorter wait would not advance a clock that runs at another rate.
_MIN_WAIT_S = 1e-6


def boot_now_s() -> float:
    """Return the time since the VM booted, including time suspended.

    Returns
    -------
    float
        Time in seconds.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Clock:
    """Clock of one VM.

    Parameters
    ----------
    now_s : callable returning float
        Returns the time since boot in seconds, on which deadlines are based.
    wall_s : callable returning float
        Returns the Unix time in seconds, for output to people and for ids
        that contain a time.

    Examples
    --------
    >>> Clock(now_s=lambda: 5.0).remaining_s(7.5)
    2.5
    """

    now_s: Callable[[], float] = boot_now_s
    wall_s: Callable[[], float] = time.time

    def remaining_s(self, deadline_s: float) -> float:
        """Return the time left until a deadline.

        Parameters
        ----------
        deadline_s : float
            Deadline in seconds on this clock.

        Returns
        -------
        float
            Time in seconds; 0 if the deadline has passed.
        """
        left_s = deadline_s - self.now_s()
        return max(left_s, _MIN_WAIT_S) if left_s > 0 else 0.0

    async def sleep_until(self, deadline_s: float) -> None:
        """Sleep until the clock reaches a deadline.

        Parameters
        ----------
        deadline_s : float
            Deadline in seconds on this clock.
        """
        while self.now_s() < deadline_s:
            await asyncio.sleep(self.remaining_s(deadline_s))
