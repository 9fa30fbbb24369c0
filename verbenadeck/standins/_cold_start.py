"""Cold start of the upstream stand-in."""

import enum
from collections.abc import Callable


class Overrun(enum.Enum):
    """What a cold upstream does with more work than it can bear."""

    REFUSE = 'refuse'
    STALL = 'stall'
    CRASH = 'crash'


class ColdStart:
    """How many requests the upstream can bear, from cold to warm.

    Parameters
    ----------
    now_s : callable returning float
        Clock in seconds.
    slots : int
        Requests that it can run at once when warm.
    cold_slots : int
        Requests that it can run at once when cold.
    warm_up_s : float
        Time in seconds from cold to warm; 0 for an upstream always warm.
    stall_s : float
        Time in seconds for which an overrun stalls everything.

    Attributes
    ----------
    overruns : int
        Times that more was sent than it could bear.
    """

    def __init__(
        self,
        *,
        now_s: Callable[[], float],
        slots: int,
        cold_slots: int,
        warm_up_s: float,
        stall_s: float = 2,
    ) -> None:
        self.overruns = 0
        self._now_s = now_s
        self._slots = slots
        self._cold_slots = cold_slots
        self._warm_up_s = warm_up_s
        self._stall_s = stall_s
        self._cold_since_s = now_s()
        self._stalled_until_s = 0.0

    @property
    def bearable(self) -> int:
        """Requests that it can run at once now."""
        age_s = self._now_s() - self._cold_since_s
        if age_s >= self._warm_up_s:
            return self._slots
        if age_s < 0:
            return self._cold_slots
        gained = (self._slots - self._cold_slots) * age_s / self._warm_up_s
        return self._cold_slots + int(gained)

    @property
    def is_cold(self) -> bool:
        """Whether it can bear less than its slots."""
        return self.bearable < self._slots

    @property
    def stalled_until_s(self) -> float:
        """Moment until which nothing makes progress after an overrun."""
        return self._stalled_until_s

    def chill(self) -> None:
        """Turn cold now, without warning."""
        self._cold_since_s = self._now_s()

    def admit(self, running: int) -> bool:
        """Return whether one more request is bearable; count an overrun."""
        if not self.is_cold or running < self.bearable:
            return True
        self.overruns += 1
        return False

    def stall(self) -> None:
        """Break down: nothing moves for a while and warming starts anew."""
        self._stalled_until_s = self._now_s() + self._stall_s
        self._cold_since_s = self._stalled_until_s
