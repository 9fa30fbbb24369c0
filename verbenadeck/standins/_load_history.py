"""Load reports that lag or mislead."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from verbenadeck.adapters import wire
from verbenadeck.standins._upstream_options import LoadLie

_KEEP_S = 60.0


class _Sample(NamedTuple):
    at_s: float
    report: wire.LoadBody


class LoadHistory:
    """Samples of load, from which late reports are made.

    Parameters
    ----------
    now_s : callable returning float
        Clock in seconds.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._samples: deque[_Sample] = deque()

    def add(self, report: wire.LoadBody) -> None:
        """Keep a true sample of this moment."""
        now_s = self._now_s()
        self._samples.append(_Sample(now_s, report))
        while self._samples[0].at_s < now_s - _KEEP_S:
            self._samples.popleft()

    def report(self, *, lag_s: float, lie: LoadLie) -> wire.LoadBody:
        """Return the newest sample that is old enough, made to mislead."""
        wanted_s = self._now_s() - lag_s
        chosen = self._samples[0]
        for sample in self._samples:
            if sample.at_s > wanted_s:
                break
            chosen = sample
        return _mislead(chosen.report, lie)


def _mislead(report: wire.LoadBody, lie: LoadLie) -> wire.LoadBody:
    running = 0 if lie is LoadLie.IDLE else report.running
    is_healthy = report.is_healthy or lie is not LoadLie.NONE
    return wire.LoadBody(
        is_healthy=is_healthy,
        running=running,
        bearable=report.bearable,
        instance=report.instance,
    )
