"""Capacity of the upstream stand-in during a cold start."""

import enum
from collections.abc import Callable


class Overrun(enum.Enum):
    """Reaction of a cold upstream to a request above its capacity."""

    REFUSE = 'refuse'
    STALL = 'stall'
    CRASH = 'crash'


class ColdStart:
    """Capacity of an upstream, which grows linearly during warm-up.

    Parameters
    ----------
    now_s : callable returning float
        Clock in seconds.
    slots : int
        Maximum concurrent requests when warm.
    cold_slots : int
        Maximum concurrent requests when cold.
    warm_up_s : float
        Time in seconds from cold to warm; 0 disables the cold start.
    stall_s : float
        Time in seconds for which an overrun stalls all requests.

    Attributes
    ----------
    overruns : int
        Requests received above the capacity of a cold upstream.
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
    def capacity(self) -> int:
        """Maximum concurrent requests at this moment."""
        age_s = self._now_s() - self._cold_since_s
        if age_s >= self._warm_up_s:
            return self._slots
        if age_s < 0:
            return self._cold_slots
        gained = (self._slots - self._cold_slots) * age_s / self._warm_up_s
        return self._cold_slots + int(gained)

    @property
    def is_cold(self) -> bool:
        """Whether the capacity is below the warm slots."""
        return self.capacity < self._slots

    @property
    def stalled_until_s(self) -> float:
        """Clock time in seconds at which the stall of an overrun ends."""
        return self._stalled_until_s

    def reset_to_cold(self) -> None:
        """Reset the capacity to cold without notice to the node."""
        self._cold_since_s = self._now_s()

    def admit(self, running: int) -> bool:
        """Return whether one more request fits; count it as overrun if not.

        Parameters
        ----------
        running : int
            Number of requests that run now.
        """
        if not self.is_cold or running < self.capacity:
            return True
        self.overruns += 1
        return False

    def stall(self) -> None:
        """Stall all requests for `stall_s`, then restart the warm-up."""
        self._stalled_until_s = self._now_s() + self._stall_s
        self._cold_since_s = self._stalled_until_s
