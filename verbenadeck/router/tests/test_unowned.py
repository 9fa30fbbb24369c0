"""Non-repeatable requests without an owner by their id, and bounds on sends."""

import msgspec
import pytest

from verbenadeck.model import Outcome, Refusal, RefusalReason
from verbenadeck.router._outcomes import (
    Step,
    has_reached_upstream,
    next_step,
)

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
