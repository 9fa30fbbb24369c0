"""Attempts of callers of one route, of which a share is refused."""

import heapq
import random
from typing import NamedTuple

from verbenadeck.entry import AttemptAgeEstimator

ROUTE = 'browse'

_MIN_PATIENCE_S = 2.6
_MAX_PATIENCE_S = 3.1
_MIN_RETRY_WAIT_S = 0.1
_MAX_RETRY_WAIT_S = 0.6
_MAX_ATTEMPTS = 3
_CALLERS = 1000
_CALLERS_PER_S = 20


class AttemptAge(NamedTuple):
    """Age of an attempt beside its estimate, in seconds."""

    true_s: float
    estimated_s: float


def simulate_attempts(seed: int, *, refused_ratio: float) -> list[AttemptAge]:
    """Return the ages of all attempts of callers of different patience.

    Parameters
    ----------
    seed : int
        Seed of patience, refusals and return times.
    refused_ratio : float
        Probability that an attempt is refused; its caller then comes again,
        up to `_MAX_ATTEMPTS` times in all.
    """
    source = random.Random(seed)
    estimator = AttemptAgeEstimator()
    ages: list[AttemptAge] = []
    patience_s = [
        source.uniform(_MIN_PATIENCE_S, _MAX_PATIENCE_S)
        for _ in range(_CALLERS)
    ]
    # Time of the attempt, caller and number of earlier attempts.
    arrivals = [(each / _CALLERS_PER_S, each, 0) for each in range(_CALLERS)]
    while arrivals:
        now_s, caller, earlier_attempts = heapq.heappop(arrivals)
        age_s = now_s - caller / _CALLERS_PER_S
        attempt = estimator.record_attempt(ROUTE, patience_s[caller] - age_s)
        ages.append(AttemptAge(age_s, attempt.age_s))
        if source.random() >= refused_ratio:
            continue
        attempt.mark_refused()
        if earlier_attempts + 1 < _MAX_ATTEMPTS:
            wait_s = source.uniform(_MIN_RETRY_WAIT_S, _MAX_RETRY_WAIT_S)
            retry = (now_s + wait_s, caller, earlier_attempts + 1)
            heapq.heappush(arrivals, retry)
    return ages
