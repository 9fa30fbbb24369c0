"""Checks of what callers were told against what upstreams did."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from verbenadeck.demo._calls import CallKind, CallRecord, Final
from verbenadeck.model import Outcome
from verbenadeck.standins import RunsReport, ServedRun, ServingReport


class _ShardName(NamedTuple):
    service: str
    shard: int


def total_runs(reports: Iterable[RunsReport]) -> Counter[str]:
    """Return the runs of each request id over all upstreams."""
    totals: Counter[str] = Counter()
    for report in reports:
        totals.update(report.runs)
    return totals


def count_duplicates(records: Iterable[CallRecord], runs: Counter[str]) -> int:
    """Return how many runs of deposits came after their first one."""
    return sum(
        max(0, runs[record.call.nonce] - 1) for record in _deposits(records)
    )


def count_false_not_run(
    records: Iterable[CallRecord], runs: Counter[str]
) -> int:
    """Return how many deposits ran though every attempt was `not-run`."""
    return sum(
        record.final is Final.NOT_RUN and runs[record.call.nonce] > 0
        for record in _deposits(records)
    )


def count_resent_not_run(
    records: Iterable[CallRecord], runs: Counter[str]
) -> int:
    """Return deposits told `not-run` last after a lost attempt that ran."""
    return sum(
        record.last_outcome is Outcome.NOT_RUN
        and record.was_lost
        and runs[record.call.nonce] > 0
        for record in _deposits(records)
    )


def count_answered_without_run(
    records: Iterable[CallRecord], runs: Counter[str]
) -> int:
    """Return how many deposits were answered but never ran."""
    return sum(
        record.final is Final.ANSWERED and not runs[record.call.nonce]
        for record in _deposits(records)
    )


class _ShardHistory:
    """Latest end and highest fence of each upstream that served a shard."""

    def __init__(self) -> None:
        self.conflicts = 0
        self._end_s: dict[str, float] = {}
        self._fence: dict[str, int] = {}

    def add(self, instance: str, served: ServedRun) -> None:
        """Take the next run, in order of start."""
        others = [name for name in self._end_s if name != instance]
        is_doubled = any(
            self._end_s[name] > served.start_s
            or self._fence[name] > served.fence
            for name in others
        )
        self.conflicts += is_doubled
        end_s = self._end_s.get(instance, served.end_s)
        fence = self._fence.get(instance, served.fence)
        self._end_s[instance] = max(end_s, served.end_s)
        self._fence[instance] = max(fence, served.fence)


def count_two_owners(reports: Iterable[ServingReport]) -> int:
    """Return how often a shard was served by two upstreams at one moment.

    A run under a lower fence than one that another upstream has served
    already counts too: its owner should have stopped before.
    """
    runs = [
        (served, report)
        for report in reports
        for served in report.served
        if served.shard >= 0
    ]
    runs.sort(key=lambda run: run[0].start_s)
    histories: dict[_ShardName, _ShardHistory] = defaultdict(_ShardHistory)
    for served, report in runs:
        history = histories[_ShardName(report.service, served.shard)]
        history.add(report.instance, served)
    return sum(history.conflicts for history in histories.values())


def longest_gap_s(
    records: Sequence[CallRecord], *, start_s: float, end_s: float
) -> float:
    """Return the longest time in a window that a probed key had no answer.

    Measured from one answer of a key to its next one, so that it holds the
    period of the probes besides.
    """
    answered: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.call.kind is not CallKind.PROBE:
            continue
        moments = answered[record.call.key]
        if record.final is Final.ANSWERED:
            moments.append(record.ended_s)
    return max(
        (_gap_s(moments, start_s, end_s) for moments in answered.values()),
        default=end_s - start_s,
    )


def _gap_s(moments: list[float], start_s: float, end_s: float) -> float:
    inside = [moment for moment in moments if start_s < moment < end_s]
    edges = [start_s, *sorted(inside), end_s]
    return max(
        later - earlier
        for earlier, later in zip(edges, edges[1:], strict=False)
    )


def _deposits(records: Iterable[CallRecord]) -> Iterable[CallRecord]:
    return (
        record for record in records if record.call.kind is CallKind.DEPOSIT
    )
