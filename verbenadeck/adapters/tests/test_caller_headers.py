"""Requests and refusals in the headers towards callers."""

import pytest

from verbenadeck.adapters import read_call, write_refusal
from verbenadeck.model import Outcome, Refusal, RefusalReason


def test_key_header_takes_precedence_over_path() -> None:
    caller_request = read_call(
        '/holds/a/b?c=d', (('verbenadeck-key', 'k'), ('Accept', '*'))
    ).unwrap()
    assert (caller_request.key, caller_request.path) == ('k', '/a/b?c=d')
    assert caller_request.headers == (('Accept', '*'),)


def test_path_without_key_gives_no_key() -> None:
    caller_request = read_call('/holds?c=d', ()).unwrap()
    assert (caller_request.service, caller_request.key) == ('holds', None)
    assert caller_request.path == '/?c=d'


def test_headers_are_converted_to_their_types() -> None:
    headers = (
        ('Idempotency-Key', 'deposit-1'),
        ('Verbenadeck-Repeatable', 'False'),
        ('Verbenadeck-Deadline-Ms', '1500'),
    )
    caller_request = read_call('/holds/a', headers).unwrap()
    assert caller_request.request_id == 'deposit-1'
    assert caller_request.is_repeatable is False
    assert caller_request.timeout_s == pytest.approx(1.5)


@pytest.mark.parametrize(
    'headers',
    (
        (('Verbenadeck-Repeatable', 'yes'),),
        (('Verbenadeck-Deadline-Ms', '0'),),
        (('Verbenadeck-Deadline-Ms', '-5'),),
        (('Verbenadeck-Deadline-Ms', '٣'),),
        (('Verbenadeck-Deadline-Ms', '9' * 20),),
        (('Idempotency-Key', ''),),
        (('Idempotency-Key', 'x' * 201),),
        (('Idempotency-Key', 'a'), ('idempotency-key', 'b')),
        (('Verbenadeck-Key', 'x' * 1001),),
    ),
)
def test_ambiguous_or_invalid_headers_are_refused(
    headers: tuple[tuple[str, str], ...],
) -> None:
    refusal = read_call('/holds/a', headers).failure()
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is RefusalReason.BAD_REQUEST


def test_path_without_service_is_refused() -> None:
    assert read_call('/', ()).failure().reason is RefusalReason.BAD_REQUEST


@pytest.mark.parametrize('reason', RefusalReason)
def test_every_refusal_has_error_status_outcome_and_retry_hint(
    reason: RefusalReason,
) -> None:
    for outcome in Outcome:
        refusal = Refusal(outcome, reason, retry_after_s=1.2)
        answer = write_refusal(refusal, None)
        headers = dict(answer.headers)
        assert answer.status >= 400
        assert headers['Verbenadeck-Outcome'] == outcome.value
        assert headers['Verbenadeck-Retry-After-Ms'] == '1200'
        assert headers['Retry-After'] == '2'
