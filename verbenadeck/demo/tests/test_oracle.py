import msgspec
import pytest

from verbenadeck.demo._calls import CallKind, Final, is_own_answer
from verbenadeck.demo._oracle import (
    count_answered_without_run,
    count_duplicates,
    count_false_not_run,
    count_resent_not_run,
    count_two_owners,
    longest_gap_s,
    total_runs,
)
from verbenadeck.demo._summary import Evidence, Stretch, summarise
from verbenadeck.demo.tests.builders import (
    build_call,
    build_record,
    build_runs,
    build_serving,
)
from verbenadeck.model import Outcome
from verbenadeck.standins import EchoBody, ServedRun, echo_digest


def test_a_second_run_on_another_upstream_is_a_duplicate() -> None:
    runs = total_runs((build_runs(a=1, b=1), build_runs(a=1)))
    records = [build_record(nonce=nonce) for nonce in ('a', 'b', 'c')]
    assert count_duplicates(records, runs) == 1


def test_repeatable_calls_may_run_twice() -> None:
    runs = total_runs((build_runs(a=2),))
    records = [build_record(kind=CallKind.LOOKUP, nonce='a')]
    assert count_duplicates(records, runs) == 0


def test_not_run_is_false_when_it_ran() -> None:
    runs = total_runs((build_runs(a=1),))
    records = [
        build_record(nonce='a', final=Final.NOT_RUN),
        build_record(nonce='b', final=Final.NOT_RUN),
        build_record(nonce='a', final=Final.UNKNOWN),
    ]
    assert count_false_not_run(records, runs) == 1


def test_the_last_word_after_a_lost_attempt_is_told_apart() -> None:
    runs = total_runs((build_runs(a=1),))
    record = build_record(
        nonce='a',
        final=Final.UNKNOWN,
        was_lost=True,
        last_outcome=Outcome.NOT_RUN,
    )
    assert count_false_not_run([record], runs) == 0
    assert count_resent_not_run([record], runs) == 1


def test_an_answer_without_a_run_is_noticed() -> None:
    records = [build_record(nonce='a'), build_record(nonce='b')]
    runs = total_runs((build_runs(a=1),))
    assert count_answered_without_run(records, runs) == 1


@pytest.mark.parametrize(
    ('second', 'conflicts'),
    (
        (ServedRun(7, 9, 2.0, 3.0), 0),
        (ServedRun(7, 9, 1.9, 3.0), 1),
        (ServedRun(7, 4, 2.0, 3.0), 1),
        (ServedRun(8, 4, 1.5, 3.0), 0),
        (ServedRun(-1, -1, 1.5, 3.0), 0),
    ),
)
def test_two_owners_show_by_time_or_fence(
    second: ServedRun, conflicts: int
) -> None:
    first = build_serving('life-1', ServedRun(7, 5, 1.0, 2.0))
    other = build_serving('life-2', second)
    assert count_two_owners((other, first)) == conflicts


def test_an_upstream_may_overlap_itself() -> None:
    runs = (ServedRun(7, 5, 1.0, 2.0), ServedRun(7, 5, 1.5, 3.0))
    assert count_two_owners((build_serving('life-1', *runs),)) == 0


def test_the_gap_counts_to_the_edges_of_the_window() -> None:
    records = [
        build_record(kind=CallKind.PROBE, ended_s=moment)
        for moment in (0, 10, 11, 13, 20)
    ]
    assert longest_gap_s(records, start_s=9, end_s=14) == pytest.approx(2)
    assert longest_gap_s(records, start_s=10.5, end_s=18) == pytest.approx(5)


def test_a_key_without_any_answer_was_never_there() -> None:
    records = [
        build_record(kind=CallKind.PROBE, ended_s=5),
        build_record(
            kind=CallKind.PROBE, key='key-2', final=Final.UNKNOWN, ended_s=5
        ),
    ]
    assert longest_gap_s(records, start_s=1, end_s=8) == pytest.approx(7)


def test_only_the_own_whole_answer_counts() -> None:
    call = build_call()
    digest = echo_digest('POST', call.upstream_path, call.body)
    echo = EchoBody('id-1', digest, 'life-1', '...')
    body = msgspec.json.encode(echo)
    foreign = msgspec.structs.replace(echo, request_id='id-2')
    other = msgspec.structs.replace(echo, digest='0')
    assert is_own_answer(call, 200, body)
    assert not is_own_answer(call, 200, body[:-1])
    assert not is_own_answer(call, 204, body)
    assert not is_own_answer(call, 200, msgspec.json.encode(foreign))
    assert not is_own_answer(call, 200, msgspec.json.encode(other))


def test_a_broken_promise_fails_the_report() -> None:
    evidence = Evidence(
        site='fiji',
        records=[build_record(nonce='a')],
        runs=(build_runs(a=1),),
        serving=(),
        stretches=(Stretch('calm', start_s=0, end_s=1),),
        caller_lag_s=0,
        errors=(),
    )
    assert summarise(evidence).is_good
    twice = msgspec.structs.replace(evidence, runs=(build_runs(a=2),))
    assert not summarise(twice).is_good
    stretches = (Stretch('out', start_s=0, end_s=1, runs_while_out=1),)
    busy = msgspec.structs.replace(evidence, stretches=stretches)
    assert not summarise(busy).is_good
    failed = msgspec.structs.replace(evidence, errors=('node ended',))
    assert not summarise(failed).is_good
