"""Report of the demo, as JSON and as a table."""

from collections.abc import Iterator, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from verbenadeck.demo._calls import CallRecord, Final

_MS_PER_S = 1000
_US_PER_MS = 1000
_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3
_COLUMNS = (
    'unavail. s',
    'p50 ms',
    'p99 ms',
    'p99.9',
    'unknown',
    'not-run',
    'shards',
)


class Latency(msgspec.Struct, frozen=True):
    """Latency of answered calls in milliseconds, with all their resends."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Phase(msgspec.Struct, frozen=True):
    """One stretch of the demo.

    Parameters
    ----------
    name : str
        What happened in it.
    start_s, end_s : float
        On the boot clock.
    unavailable_s : float
        Longest time that a probed key had no answer.
    latency : Latency
        Latency of the calls that began in it.
    finals : dict of str to int
        Ends of those calls.
    shards_moved : int
        Shards that changed from one owner to another.
    """

    name: str
    start_s: float
    end_s: float
    unavailable_s: float
    latency: Latency
    finals: dict[str, int]
    shards_moved: int


class SiteReport(msgspec.Struct, frozen=True):
    """What one site did and which promises held.

    Parameters
    ----------
    site : str
        Name of the site.
    requests, deposits, answers, attempts : int
        Calls, those not repeatable, those answered, and all sends.
    finals, refusals : dict of str to int
        Ends of calls, and refusals of attempts by outcome and reason.
    promises : dict of str to int
        Times that each promise was broken; all must be 0.
    unknown_by_id : dict of str to int
        Deposits that stayed unknown, by whether their id has a time.
    resent_not_run : int
        Deposits whose last word was `not-run` after a lost attempt that ran.
    phases : tuple of Phase
        Phases in order.
    latency : Latency
        Latency of all answered calls.
    imbalance : dict of str to float
        Runs of the busiest upstream over the mean, by service, while calm.
    caller_lag_s : float
        Longest time by which the callers themselves were late.
    machine_load : float
        Mean number of runnable processes per core at the end; above 1 the
        times tell of the machine besides.
    errors : tuple of str
        What went wrong in the demo itself.
    """

    site: str
    requests: int
    deposits: int
    answers: int
    attempts: int
    finals: dict[str, int]
    refusals: dict[str, int]
    promises: dict[str, int]
    unknown_by_id: dict[str, int]
    resent_not_run: int
    phases: tuple[Phase, ...]
    latency: Latency
    imbalance: dict[str, float]
    caller_lag_s: float
    machine_load: float
    errors: tuple[str, ...]

    @property
    def is_good(self) -> bool:
        """Whether every promise held and calls were answered."""
        is_kept = not any(self.promises.values())
        return is_kept and not self.errors and self.answers > 0


def latency_of(records: Sequence[CallRecord]) -> Latency:
    """Return the latency of the answered calls."""
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for record in records:
        if record.final is Final.ANSWERED:
            took_s = record.ended_s - record.started_s
            histogram.record_value(int(took_s * _MS_PER_S * _US_PER_MS))

    def at(percentile: float) -> float:
        raw_us: int = histogram.get_value_at_percentile(percentile)
        return raw_us / _US_PER_MS

    return Latency(at(50), at(99), at(99.9), at(100))


def table_of(report: SiteReport) -> str:
    """Return the report as lines for people."""
    return '\n'.join(_lines(report))


def _lines(report: SiteReport) -> Iterator[str]:
    yield f'{report.site}'
    yield from _outcome_lines(report)
    yield from (_phase_row(phase.name, phase) for phase in report.phases)
    yield from _measure_lines(report)
    yield from (f'  ERROR {error}' for error in report.errors)


def _outcome_lines(report: SiteReport) -> Iterator[str]:
    yield f'  requests {report.requests}, deposits {report.deposits}'
    yield f'  answered {report.answers}, attempts {report.attempts}'
    yield f'  ends of calls: {_pairs(report.finals)}'
    yield f'  refused attempts: {_pairs(report.refusals)}'
    for promise, count in report.promises.items():
        verdict = 'held' if count == 0 else f'BROKEN {count} times'
        yield f'  promise {promise}: {verdict}'
    yield f'  unknown deposits: {_pairs(report.unknown_by_id)}'
    yield f'  not-run after a lost attempt that ran: {report.resent_not_run}'
    yield _row('phase', *_COLUMNS)


def _measure_lines(report: SiteReport) -> Iterator[str]:
    yield f'  latency of all: {_latency_text(report.latency)}'
    yield f'  imbalance while calm: {_pairs(report.imbalance)}'
    yield f'  callers themselves late by at most: {report.caller_lag_s:.2f} s'
    yield f'  processes that want a core, per core: {report.machine_load}'


def _phase_row(name: str, phase: Phase) -> str:
    latency = phase.latency
    return _row(
        name,
        f'{phase.unavailable_s:.2f}',
        f'{latency.p50_ms:.1f}',
        f'{latency.p99_ms:.1f}',
        f'{latency.p999_ms:.1f}',
        str(phase.finals.get(Final.UNKNOWN.value, 0)),
        str(phase.finals.get(Final.NOT_RUN.value, 0)),
        str(phase.shards_moved),
    )


def _row(name: str, *cells: str) -> str:
    return '  {:<26}{}'.format(name, ''.join(f'{one:>11}' for one in cells))


def _latency_text(latency: Latency) -> str:
    return (
        f'p50 {latency.p50_ms:.1f} ms, p99 {latency.p99_ms:.1f} ms, '
        f'p99.9 {latency.p999_ms:.1f} ms, max {latency.max_ms:.1f} ms'
    )


def _pairs(counts: dict[str, int] | dict[str, float]) -> str:
    return ', '.join(
        f'{name} {count:.4g}' for name, count in sorted(counts.items())
    )
