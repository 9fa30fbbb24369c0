"""From the evidence of a session to its report."""

import os
from collections import Counter

import msgspec

from verbenadeck.demo._calls import CallKind, CallRecord, Final
from verbenadeck.demo._oracle import (
    count_answered_without_run,
    count_duplicates,
    count_false_not_run,
    count_resent_not_run,
    count_two_owners,
    longest_gap_s,
    total_runs,
)
from verbenadeck.demo._report import Phase, SiteReport, latency_of
from verbenadeck.standins import RunsReport, ServingReport


class Stretch(msgspec.Struct):
    """One stretch of a session as it was observed.

    Parameters
    ----------
    name : str
        What happened in it.
    start_s, end_s : float
        On the boot clock.
    shards_moved : int
        Shards that changed owners.
    runs_while_out : int
        Requests that ran in a zone some seconds after it was taken out.
    imbalance : dict of str to float
        Runs of the busiest upstream over the mean, by service.
    """

    name: str
    start_s: float
    end_s: float = 0
    shards_moved: int = 0
    runs_while_out: int = 0
    imbalance: dict[str, float] = {}


class Evidence(msgspec.Struct, frozen=True):
    """All that a session observed.

    Parameters
    ----------
    site : str
        Name of the site.
    records : list of CallRecord
        Calls and what became of them.
    runs : tuple of RunsReport
        What truly ran, by upstream.
    serving : tuple of ServingReport
        When it ran, by upstream.
    stretches : tuple of Stretch
        Stretches in order.
    caller_lag_s : float
        Longest time by which the callers themselves were late.
    errors : tuple of str
        What went wrong in the demo itself.
    """

    site: str
    records: list[CallRecord]
    runs: tuple[RunsReport, ...]
    serving: tuple[ServingReport, ...]
    stretches: tuple[Stretch, ...]
    caller_lag_s: float
    errors: tuple[str, ...]


def summarise(evidence: Evidence) -> SiteReport:
    """Return the report of a session."""
    records = evidence.records
    finals = finals_of(records)
    refusals: Counter[str] = Counter()
    for record in records:
        refusals.update(record.refusals)
    imbalance: dict[str, float] = {}
    for stretch in evidence.stretches:
        imbalance.update(stretch.imbalance)
    return SiteReport(
        site=evidence.site,
        requests=len(records),
        deposits=sum(one.call.kind is CallKind.DEPOSIT for one in records),
        answers=finals.get(Final.ANSWERED.value, 0),
        attempts=sum(record.attempts for record in records),
        finals=finals,
        refusals=dict(refusals),
        promises=_promises(evidence),
        unknown_by_id=_unknown_by_id(records),
        resent_not_run=count_resent_not_run(records, total_runs(evidence.runs)),
        phases=tuple(_phase(records, one) for one in evidence.stretches),
        latency=latency_of(records),
        imbalance=imbalance,
        caller_lag_s=evidence.caller_lag_s,
        machine_load=_machine_load(),
        errors=evidence.errors,
    )


def _machine_load() -> float:
    one_minute = os.getloadavg()[0]
    return round(one_minute / (os.cpu_count() or 1), 2)


def finals_of(records: list[CallRecord]) -> dict[str, int]:
    """Return the ends of calls."""
    return dict(Counter(record.final.value for record in records))


def _unknown_by_id(records: list[CallRecord]) -> dict[str, int]:
    """Return deposits that stayed unknown, by whether the id has a time."""
    return dict(
        Counter(
            'timed id' if '-' in record.call.nonce else 'opaque id'
            for record in records
            if record.final is Final.UNKNOWN
            and record.call.kind is CallKind.DEPOSIT
        )
    )


def _promises(evidence: Evidence) -> dict[str, int]:
    records = evidence.records
    runs = total_runs(evidence.runs)
    return {
        'one owner at any moment': count_two_owners(evidence.serving),
        'a deposit runs at most once': count_duplicates(records, runs),
        '"not run" is true': count_false_not_run(records, runs),
        'an answered deposit ran': count_answered_without_run(records, runs),
        'whole answers to their own requests': sum(
            record.final is Final.WRONG for record in records
        ),
        'a zone that is out gets no new work': sum(
            stretch.runs_while_out for stretch in evidence.stretches
        ),
        'no more than a cold upstream can bear': sum(
            report.overruns for report in evidence.runs
        ),
    }


def _phase(records: list[CallRecord], stretch: Stretch) -> Phase:
    begun = [
        record
        for record in records
        if stretch.start_s <= record.started_s < stretch.end_s
    ]
    return Phase(
        name=stretch.name,
        start_s=stretch.start_s,
        end_s=stretch.end_s,
        unavailable_s=longest_gap_s(
            records, start_s=stretch.start_s, end_s=stretch.end_s
        ),
        latency=latency_of(begun),
        finals=finals_of(begun),
        shards_moved=stretch.shards_moved,
    )
