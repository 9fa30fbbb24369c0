"""Random faults, checked by the oracle that detects two owners of a shard.

`VERBENADECK_FUZZ_EXAMPLES` and `SEED` set the number of examples and the seed
of a longer run; `make fuzz` sets both.
"""

import os

import hypothesis
import pytest

from verbenadeck.lease.tests.fuzzing import Run, execute_run, runs

_REQUESTED_EXAMPLES = int(os.environ.get('VERBENADECK_FUZZ_EXAMPLES', '0'))
_CI_EXAMPLES = 12
_SEED = int(os.environ.get('SEED', '1'))


@pytest.mark.timeout(max(120, _REQUESTED_EXAMPLES * 60))
@hypothesis.seed(_SEED)
@hypothesis.settings(
    max_examples=_REQUESTED_EXAMPLES or _CI_EXAMPLES,
    derandomize=not _REQUESTED_EXAMPLES,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(runs)
def test_random_faults_never_cause_two_owners(run: Run) -> None:
    execute_run(run)
