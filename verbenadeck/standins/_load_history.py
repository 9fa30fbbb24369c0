"""Delayed or falsified load reports of the upstream stand-in."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from verbenadeck.adapters import wire
from verbenadeck.standins._upstream_options import LoadLie

_RETENTION_S = 60.0


class _Sample(NamedTuple):
    recorded_s: float
    report: wire.LoadBody


class LoadHistory:
    """Recent load samples from which delayed reports are built.

    Parameters
    ----------
    now_s : callable returning float
        Clock in seconds.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._samples: deque[_Sample] = deque()

    def add(self, report: wire.LoadBody) -> None:
        """Add an unaltered sample of the current load.

        Parameters
        ----------
        report : wire.LoadBody
            Current load.
        """
        now_s = self._now_s()
        self._samples.append(_Sample(now_s, report))
        while self._samples[0].recorded_s < now_s - _RETENTION_S:
            self._samples.popleft()

    def build_report(self, *, lag_s: float, lie: LoadLie) -> wire.LoadBody:
        """Return the newest sample at least `lag_s` old, falsified by `lie`.

        If no sample is old enough, the oldest one is used.

        Parameters
        ----------
        lag_s : float
            Minimum age in seconds of the sample.
        lie : LoadLie
            How the report is falsified.
        """
        cutoff_s = self._now_s() - lag_s
        newest_sample = self._samples[0]
        for sample in self._samples:
            if sample.recorded_s > cutoff_s:
                break
            newest_sample = sample
        return _falsify(newest_sample.report, lie)


def _falsify(report: wire.LoadBody, lie: LoadLie) -> wire.LoadBody:
    running = 0 if lie is LoadLie.IDLE else report.running
    is_healthy = report.is_healthy or lie is not LoadLie.NONE
    return wire.LoadBody(
        is_healthy=is_healthy,
        running=running,
        bearable=report.bearable,
        instance=report.instance,
    )
