"""Back-off of nodes that are no direct readers from a log that fails."""

import math
from collections.abc import Callable

from verbenadeck.utils import Clock

_MAX_BACKOFF_S = 4.0


class LogBackoff:
    """Back-off that leaves a log without answers to its direct readers.

    Without it, all nodes would call a log that is down at the rate of its
    direct readers. It doubles with each failure, up to a limit. Any answer ends
    it, also one that the records have expired.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of this VM.
    add_jitter : callable
        Returns a time around a mean time, both in seconds.
    min_backoff_s : float
        Mean time in seconds of the back-off after the first failure.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        add_jitter: Callable[[float], float],
        min_backoff_s: float,
    ) -> None:
        self._clock = clock
        self._add_jitter = add_jitter
        self._min_backoff_s = min_backoff_s
        self._mean_s = 0.0
        self._until_s = -math.inf

    @property
    def is_active(self) -> bool:
        """Whether the log should be left out now."""
        return self._clock.now_s() < self._until_s

    def record_failure(self) -> None:
        """Start or prolong the back-off after a failed read of the log."""
        self._mean_s = min(
            _MAX_BACKOFF_S, max(self._min_backoff_s, 2 * self._mean_s)
        )
        self._until_s = self._clock.now_s() + self._add_jitter(self._mean_s)

    def record_success(self) -> None:
        """End the back-off after an answer of the log."""
        self._mean_s = 0
        self._until_s = -math.inf
