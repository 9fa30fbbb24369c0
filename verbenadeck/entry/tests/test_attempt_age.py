"""Ages of attempts while a route is overloaded and callers come again."""

import random

import pytest

from verbenadeck.adapters import CallerRequest
from verbenadeck.entry import AttemptAgeEstimator, make_request_reader
from verbenadeck.entry.tests.attempt_builders import ROUTE, simulate_attempts
from verbenadeck.model import ServiceName, ServicePolicy
from verbenadeck.utils import Clock

_OBJECTIVE_S = 0.5


@pytest.mark.parametrize('seed', range(3))
def test_first_attempts_without_refusals_keep_their_objective(
    seed: int,
) -> None:
    ages = simulate_attempts(seed, refused_ratio=0)
    mean_s = sum(each.estimated_s for each in ages) / len(ages)
    assert mean_s < _OBJECTIVE_S / 100


# Guards against an overload in which callers that wait for less time than
# others are refused as late at their first attempt, and served when too late.
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('refused_ratio', (0.3, 0.6))
def test_first_attempts_in_overload_keep_most_of_their_objective(
    seed: int, refused_ratio: float
) -> None:
    ages = simulate_attempts(seed, refused_ratio=refused_ratio)
    first = [each for each in ages if each.true_s == 0]
    cut = [each for each in first if each.estimated_s > _OBJECTIVE_S / 4]
    assert len(cut) < len(first) / 10


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('refused_ratio', (0.3, 0.6))
def test_attempts_past_their_objective_are_older_than_first_ones(
    seed: int, refused_ratio: float
) -> None:
    ages = simulate_attempts(seed, refused_ratio=refused_ratio)
    late_s = [each.estimated_s for each in ages if each.true_s > _OBJECTIVE_S]
    assert sum(late_s) / len(late_s) > _OBJECTIVE_S / 4


def test_single_patient_caller_makes_no_other_attempt_older() -> None:
    estimator = AttemptAgeEstimator()
    estimator.record_attempt(ROUTE, 3600)
    ages_s = [estimator.record_attempt(ROUTE, 3).age_s for _ in range(100)]
    assert not any(ages_s)


@pytest.mark.parametrize(
    ('timeout_s', 'objective_s', 'is_step'),
    [
        (0.5, 0.2, True),
        (1.01, 0.404, True),
        (0.3, 0.404, True),
        (3.0, 0.5, False),
        (6.056, 1.009, False),
        (2.5, -0.4, False),
    ],
)
def test_calls_of_upstreams_are_steps_at_any_scale(
    timeout_s: float, objective_s: float, is_step: bool
) -> None:
    clock = Clock()
    read = make_request_reader(
        policy_of=lambda _service: ServicePolicy(),
        clock=clock,
        source=random.Random(1),
    )
    caller_request = CallerRequest(
        service=ServiceName('holds'),
        path='/',
        key=None,
        request_id=None,
        is_repeatable=True,
        timeout_s=timeout_s,
        headers=(),
        objective_s=objective_s,
    )

    request = read(caller_request, 'GET', b'').unwrap()
    assert request.has_short_grace == is_step
