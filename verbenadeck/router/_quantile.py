"""Running estimate of a quantile of latency."""

_STEP = 0.05
_FIRST_S = 0.1
_LEAST_S = 0.001


class LatencyQuantile:
    """Estimate that moves by a fixed share up or down at each sample.

    It needs no memory of samples and follows changes within some tens of
    them above the quantile.
    """

    __slots__ = ('estimate_s',)

    def __init__(self) -> None:
        self.estimate_s = _FIRST_S

    def add(self, latency_s: float, quantile: float) -> None:
        """Take a sample."""
        if latency_s > self.estimate_s:
            self.estimate_s *= 1 + _STEP * quantile
        else:
            step = _STEP * (1 - quantile)
            self.estimate_s = max(_LEAST_S, self.estimate_s * (1 - step))
