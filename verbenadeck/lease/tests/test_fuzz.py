"""Random faults against the oracle of ownership.

`VERBENADECK_FUZZ_EXAMPLES` and `SEED` ask for a longer run with another
seed; `make fuzz` sets them.
"""

import os

import hypothesis
import pytest

from verbenadeck.lease.tests.fuzzing import Run, play, runs

_EXAMPLES = int(os.environ.get('VERBENADECK_FUZZ_EXAMPLES', '0'))
_CI_EXAMPLES = 12
_SEED = int(os.environ.get('SEED', '1'))


@pytest.mark.timeout(max(120, _EXAMPLES * 60))
@hypothesis.seed(_SEED)
@hypothesis.settings(
    max_examples=_EXAMPLES or _CI_EXAMPLES,
    derandomize=not _EXAMPLES,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(runs)
def test_random_faults_never_make_two_owners(run: Run) -> None:
    play(run)
