"""Running estimate of a latency quantile."""

_RELATIVE_STEP = 0.05
_INITIAL_ESTIMATE_S = 0.1
_MIN_ESTIMATE_S = 0.001


class LatencyQuantile:
    """Streaming estimate that moves by a fixed ratio at each sample.

    It stores no samples and follows a change of latency within some tens of
    samples above the quantile.

    Attributes
    ----------
    estimate_s : float
        Estimated quantile, in seconds.
    """

    __slots__ = ('estimate_s',)

    def __init__(self) -> None:
        self.estimate_s = _INITIAL_ESTIMATE_S

    def add(self, latency_s: float, quantile: float) -> None:
        """Update the estimate of a quantile with one latency, in seconds."""
        if latency_s > self.estimate_s:
            self.estimate_s *= 1 + _RELATIVE_STEP * quantile
        else:
            step = _RELATIVE_STEP * (1 - quantile)
            self.estimate_s = max(_MIN_ESTIMATE_S, self.estimate_s * (1 - step))
