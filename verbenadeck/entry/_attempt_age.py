"""Estimate of the time since the first attempt of a caller's request."""

from collections import defaultdict, deque

_WINDOW_ATTEMPTS = 64
"""Number of newest attempts on a route that an estimate is based on."""

_MIN_ATTEMPTS = 16
"""Number of attempts below which all count as first ones."""


class Attempt:
    """Attempt of a caller at a request.

    Parameters
    ----------
    remaining_s : float
        Time for which the caller still waits, in seconds.
    age_s : float
        Estimated time since its first attempt, in seconds.

    Attributes
    ----------
    is_refused : bool
        Whether the attempt was refused, so that the caller may try again.
    """

    __slots__ = ('age_s', 'is_refused', 'remaining_s')

    def __init__(self, remaining_s: float, age_s: float) -> None:
        self.remaining_s = remaining_s
        self.age_s = age_s
        self.is_refused = False

    def mark_refused(self) -> None:
        """Record that the attempt was refused."""
        self.is_refused = True


class AttemptAgeEstimator:
    """Estimator of the ages of attempts, for callers that do not tell them.

    Callers tell how long they still wait, not when they first tried, and they
    do not all wait for the same time. Less time left than others have does
    not show a retry by itself. The share of the newest attempts that were
    refused is taken for the share of retries, which have the least time left,
    and the quantile of the times left at that share for the shortest time of
    a first attempt. An attempt is as old as its own time left is below it.
    The ages of patient callers' retries are underestimated.
    """

    def __init__(self) -> None:
        self._windows: defaultdict[str, deque[Attempt]] = defaultdict(
            lambda: deque(maxlen=_WINDOW_ATTEMPTS)
        )

    def record_attempt(self, route_name: str, remaining_s: float) -> Attempt:
        """Record an attempt and return it with its estimated age.

        Parameters
        ----------
        route_name : str
            Name of the route.
        remaining_s : float
            Time for which the caller still waits, in seconds.
        """
        window = self._windows[route_name]
        first_attempt_s = _shortest_first_attempt_s(window)
        attempt = Attempt(remaining_s, max(0, first_attempt_s - remaining_s))
        window.append(attempt)
        return attempt


def _shortest_first_attempt_s(window: deque[Attempt]) -> float:
    """Return the shortest time that a first attempt has left, in seconds."""
    if len(window) < _MIN_ATTEMPTS:
        return 0
    refused = sum(each.is_refused for each in window)
    by_remaining_s = sorted(each.remaining_s for each in window)
    return by_remaining_s[min(refused, len(window) - 1)]
