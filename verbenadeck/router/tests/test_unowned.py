"""Non-repeatable requests without an owner by their id, and bounds on sends."""

import random

import msgspec
import pytest

from verbenadeck.model import Outcome, Refusal, RefusalReason
from verbenadeck.router._outcomes import (
    MOVE_S,
    Step,
    has_reached_upstream,
    next_step,
    with_return_time,
)

_WAIT_S = 0.2
_LOST = Refusal(Outcome.UNKNOWN, RefusalReason.PEER_LOST)


def test_what_may_have_run_is_never_sent_to_another_door() -> None:
    step = next_step(_LOST, is_repeatable=False, is_owned=False)
    assert step is Step.STOP
    step = next_step(_LOST, is_repeatable=False, is_owned=True)
    assert step is Step.WAIT


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
def test_a_request_reaches_no_more_upstreams_than_it_may(
    reason: RefusalReason, is_counted: bool
) -> None:
    refusal = Refusal(Outcome.NOT_RUN, reason)
    assert has_reached_upstream(refusal) is is_counted
    unknown = msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
    assert has_reached_upstream(unknown)


def test_a_full_door_sends_the_router_to_another_one() -> None:
    full = Refusal(Outcome.NOT_RUN, RefusalReason.QUEUE_FULL)
    for is_repeatable in (True, False):
        step = next_step(full, is_repeatable=is_repeatable)
        assert step is Step.ELSEWHERE


def test_callers_refused_together_come_back_apart_and_in_time() -> None:
    source = random.Random(3)
    full = Refusal(Outcome.NOT_RUN, RefusalReason.QUEUE_FULL, _WAIT_S)
    hints_s = [
        with_return_time(full, 3.0, source).retry_after_s for _ in range(50)
    ]
    assert min(hints_s) >= _WAIT_S * 3 / 4
    assert max(hints_s) <= _WAIT_S * 5 / 4
    assert len(set(hints_s)) > 40
    hasty = with_return_time(full, _WAIT_S, source)
    assert hasty.retry_after_s <= _WAIT_S / 3


def test_a_key_that_moves_is_asked_for_again_after_the_move() -> None:
    moving = Refusal(Outcome.NOT_RUN, RefusalReason.MOVING)
    hinted = with_return_time(moving, 3.0, random.Random(3))
    assert hinted.retry_after_s >= MOVE_S * 3 / 4
