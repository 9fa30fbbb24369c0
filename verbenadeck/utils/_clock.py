"""Clock service: the boot clock of the VM and sleeping by deadline."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

# A shorter wait would not advance a clock that runs at another rate.
_RESOLUTION_S = 1e-6


def boot_now_s() -> float:
    """Return seconds since the VM booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Clock:
    """Clock of one VM.

    Parameters
    ----------
    now_s : callable returning float
        Boot clock in seconds; deadlines are stored on it.
    wall_s : callable returning float
        Unix time in seconds, for people and for ids that carry a time.

    Examples
    --------
    >>> Clock(now_s=lambda: 5.0).remaining_s(7.5)
    2.5
    """

    now_s: Callable[[], float] = boot_now_s
    wall_s: Callable[[], float] = time.time

    def remaining_s(self, deadline_s: float) -> float:
        """Return the seconds left until a deadline, 0 when it has passed."""
        left_s = deadline_s - self.now_s()
        return max(left_s, _RESOLUTION_S) if left_s > 0 else 0.0

    async def sleep_until(self, deadline_s: float) -> None:
        """Sleep until the clock reaches a deadline."""
        while self.now_s() < deadline_s:
            await asyncio.sleep(self.remaining_s(deadline_s))
