"""Latency histogram over a sliding window."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_HISTOGRAM_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_HALF_WINDOW_S = 60.0


class Latency:
    """Latency histogram from one microsecond to ten minutes, accurate to 1%.

    Quantiles cover the last one to two minutes: two histograms, of one minute
    each, are rotated. Count and sum cover all time, since rates are computed
    from them.

    Parameters
    ----------
    now_s : callable
        Returns the time in seconds.

    Attributes
    ----------
    count : int
        Number of latencies recorded since the start.
    sum_s : float
        Sum in seconds of the latencies recorded since the start.

    Examples
    --------
    >>> latency = Latency(lambda: 0)
    >>> for latency_ms in range(1, 101):
    ...     latency.record(latency_ms / 1000)
    >>> [round(value_s, 3) for value_s in latency.quantiles_s((0.5, 0.9))]
    [0.05, 0.09]
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.count = 0
        self.sum_s = 0.0
        self._now_s = now_s
        self._current_histogram = _make_histogram()
        self._previous_histogram = _make_histogram()
        self._rotate_at_s = now_s() + _HALF_WINDOW_S

    def record(self, latency_s: float) -> None:
        """Record a latency; one out of range counts as the nearest bound.

        Parameters
        ----------
        latency_s : float
            Latency in seconds.
        """
        self._rotate_histograms()
        latency_us = int(latency_s * _US_PER_S)
        bounded_us = min(max(latency_us, _MIN_LATENCY_US), _MAX_LATENCY_US)
        self._current_histogram.record_value(bounded_us)
        self.count += 1
        self.sum_s += latency_s

    def quantiles_s(self, quantiles: tuple[float, ...]) -> tuple[float, ...]:
        """Return quantiles of the window, in seconds.

        Parameters
        ----------
        quantiles : tuple of float
            Quantiles from 0 to 1.

        Returns
        -------
        tuple of float
            Latency in seconds for each quantile; 0 if the window is empty.
        """
        self._rotate_histograms()
        merged = _make_histogram()
        merged.add(self._current_histogram)
        merged.add(self._previous_histogram)
        return tuple(
            merged.get_value_at_percentile(quantile * 100) / _US_PER_S
            for quantile in quantiles
        )

    def _rotate_histograms(self) -> None:
        now_s = self._now_s()
        if now_s < self._rotate_at_s:
            return
        is_stale = now_s >= self._rotate_at_s + _HALF_WINDOW_S
        self._previous_histogram = (
            _make_histogram() if is_stale else self._current_histogram
        )
        self._current_histogram = _make_histogram()
        self._rotate_at_s = now_s + _HALF_WINDOW_S


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _HISTOGRAM_SIGNIFICANT_DIGITS
    )
