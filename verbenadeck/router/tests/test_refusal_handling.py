"""Next step after a refusal, count of upstream sends and retry hints."""

import random

import msgspec
import pytest

from verbenadeck.model import Outcome, Refusal, RefusalReason
from verbenadeck.router._outcomes import (
    TYPICAL_MOVE_S,
    NextStep,
    choose_next_step,
    has_reached_upstream,
    with_retry_hint,
)

_WAIT_S = 0.2
_PEER_LOST = Refusal(Outcome.UNKNOWN, RefusalReason.PEER_LOST)


def test_request_that_may_have_run_is_not_sent_to_another_proxy() -> None:
    step = choose_next_step(_PEER_LOST, is_repeatable=False, is_owned=False)
    assert step is NextStep.STOP
    step = choose_next_step(_PEER_LOST, is_repeatable=False, is_owned=True)
    assert step is NextStep.WAIT


@pytest.mark.parametrize(
    ('reason', 'is_counted'),
    [
        (RefusalReason.QUEUE_FULL, False),
        (RefusalReason.MOVING, False),
        (RefusalReason.DRAINING, False),
        (RefusalReason.SHED, True),
        (RefusalReason.UPSTREAM_FAILED, True),
    ],
)
def test_send_counts_only_when_the_upstream_may_have_seen_it(
    reason: RefusalReason, is_counted: bool
) -> None:
    refusal = Refusal(Outcome.NOT_RUN, reason)
    assert has_reached_upstream(refusal) is is_counted
    unknown = msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
    assert has_reached_upstream(unknown)


def test_full_queue_makes_the_router_try_another_proxy() -> None:
    full = Refusal(Outcome.NOT_RUN, RefusalReason.QUEUE_FULL)
    for is_repeatable in (True, False):
        step = choose_next_step(full, is_repeatable=is_repeatable)
        assert step is NextStep.ELSEWHERE


def test_retry_hints_are_spread_and_end_before_the_deadline() -> None:
    source = random.Random(3)
    full = Refusal(Outcome.NOT_RUN, RefusalReason.QUEUE_FULL, _WAIT_S)
    hints_s = [
        with_retry_hint(full, 3.0, source).retry_after_s for _ in range(50)
    ]
    assert min(hints_s) >= _WAIT_S * 3 / 4
    assert max(hints_s) <= _WAIT_S * 5 / 4
    assert len(set(hints_s)) > 40
    short = with_retry_hint(full, _WAIT_S, source)
    assert short.retry_after_s <= _WAIT_S / 3


# Guards against callers that were refused in a row and return together.
def test_scheduled_retry_times_keep_their_spacing() -> None:
    scheduled = Refusal(
        Outcome.NOT_RUN, RefusalReason.QUEUE_FULL, _WAIT_S, is_scheduled=True
    )
    source = random.Random(3)
    for _ in range(50):
        hint_s = with_retry_hint(scheduled, 3.0, source).retry_after_s
        assert hint_s == pytest.approx(_WAIT_S, rel=0.05)


def test_retry_hint_for_a_moving_key_covers_the_move() -> None:
    moving = Refusal(Outcome.NOT_RUN, RefusalReason.MOVING)
    hinted = with_retry_hint(moving, 3.0, random.Random(3))
    assert hinted.retry_after_s >= TYPICAL_MOVE_S * 3 / 4
