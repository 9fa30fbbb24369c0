"""Latency over a sliding window."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_HALF_WINDOW_S = 60.0


class Latency:
    """Latencies from a microsecond to ten minutes, to 1%.

    Quantiles are those of the last one to two minutes; two histograms take
    turns. Count and sum are of all time, as rates need them.

    Parameters
    ----------
    now_s : callable
        Clock in seconds.

    Attributes
    ----------
    count : int
        Number of recorded latencies.
    sum_s : float
        Their sum.

    Examples
    --------
    >>> latency = Latency(lambda: 0)
    >>> for latency_ms in range(1, 101):
    ...     latency.record(latency_ms / 1000)
    >>> [round(found_s, 3) for found_s in latency.quantiles_s((0.5, 0.9))]
    [0.05, 0.09]
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.count = 0
        self.sum_s = 0.0
        self._now_s = now_s
        self._present = _histogram()
        self._earlier = _histogram()
        self._turn_at_s = now_s() + _HALF_WINDOW_S

    def record(self, latency_s: float) -> None:
        """Count one latency; times out of range count at the limit."""
        self._turn()
        latency_us = int(latency_s * _US_PER_S)
        bounded_us = min(max(latency_us, _LOWEST_US), _HIGHEST_US)
        self._present.record_value(bounded_us)
        self.count += 1
        self.sum_s += latency_s

    def quantiles_s(self, quantiles: tuple[float, ...]) -> tuple[float, ...]:
        """Return quantiles in seconds, 0 when the window is empty."""
        self._turn()
        merged = _histogram()
        merged.add(self._present)
        merged.add(self._earlier)
        return tuple(
            merged.get_value_at_percentile(quantile * 100) / _US_PER_S
            for quantile in quantiles
        )

    def _turn(self) -> None:
        now_s = self._now_s()
        if now_s < self._turn_at_s:
            return
        is_stale = now_s >= self._turn_at_s + _HALF_WINDOW_S
        self._earlier = _histogram() if is_stale else self._present
        self._present = _histogram()
        self._turn_at_s = now_s + _HALF_WINDOW_S


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
