"""Retry times of requests that were refused for lack of capacity."""

import math


class RetrySchedule:
    """Schedule that gives refused requests successive retry times.

    Callers that were refused together then return at the rate at which the
    upstream serves, in the order in which they were refused.
    """

    def __init__(self) -> None:
        self._last_at_s = -math.inf

    def assign(
        self,
        *,
        now_s: float,
        wait_s: float,
        interval_s: float,
        followed_s: float,
    ) -> float:
        """Return the time in seconds after which a request should return.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        wait_s : float
            Forecast wait at the end of the queue, in seconds. The retry time
            is at least `interval_s`, as 0 would mean that none is known.
        interval_s : float
            Time in which the upstream serves one request, in seconds.
        followed_s : float
            Longest retry time that the caller follows, in seconds. A longer
            one is not used up, so that it does not delay other callers.
        """
        if self._last_at_s <= now_s:
            self._last_at_s = -math.inf
        at_s = max(
            now_s + max(wait_s, interval_s), self._last_at_s + interval_s
        )
        if at_s <= now_s + followed_s:
            self._last_at_s = at_s
        return at_s - now_s
