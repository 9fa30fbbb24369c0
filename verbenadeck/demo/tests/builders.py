"""Builders of test data for the demo's checks."""

from verbenadeck.demo._calls import Call, CallKind, CallRecord, Final
from verbenadeck.model import Outcome
from verbenadeck.standins import RunsReport, ServedRun, ServingReport


def build_call(
    *,
    kind: CallKind = CallKind.DEPOSIT,
    key: str = 'key-1',
    nonce: str = 'id-1',
) -> Call:
    return Call(kind=kind, service='holds', key=key, nonce=nonce, timeout_s=1)


def build_record(
    *,
    kind: CallKind = CallKind.DEPOSIT,
    key: str = 'key-1',
    nonce: str = 'id-1',
    final: Final = Final.ANSWERED,
    ended_s: float = 0,
    was_lost: bool = False,
    last_outcome: Outcome | None = None,
) -> CallRecord:
    return CallRecord(
        build_call(kind=kind, key=key, nonce=nonce),
        started_s=ended_s - 1,
        ended_s=ended_s,
        final=final,
        was_lost=was_lost,
        last_outcome=last_outcome,
    )


def build_runs(**runs: int) -> RunsReport:
    return RunsReport(runs=runs, refused={}, overruns=0, most_running=1)


def build_serving(instance: str, *served: ServedRun) -> ServingReport:
    return ServingReport('catalogue', instance, served)
