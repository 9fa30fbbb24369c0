"""Planned stop of a process, which services begin and observe."""

import asyncio
import math

from verbenadeck.utils import Clock


class PlannedStop:
    """Planned stop of a process; begins once.

    Parameters
    ----------
    clock : Clock
        Clock of the VM.
    timeout_s : float
        Time in seconds after which a process that stops is killed; infinite
        when it is not.

    Attributes
    ----------
    deadline_s : float
        Time at which the process is killed, on the clock of the VM in
        seconds; infinite before the stop begins.
    """

    def __init__(self, *, clock: Clock, timeout_s: float = math.inf) -> None:
        self.deadline_s = math.inf
        self._clock = clock
        self._timeout_s = timeout_s
        self._begun = asyncio.Event()

    def begin(self) -> None:
        """Begin the stop; further calls have no effect."""
        if not self.is_begun():
            self.deadline_s = self._clock.now_s() + self._timeout_s
            self._begun.set()

    def is_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._begun.is_set()

    async def wait(self) -> None:
        """Wait until the stop begins."""
        await self._begun.wait()
