"""Short seeded soak of real processes; `make soak` runs longer ones."""

import os
from pathlib import Path

import pytest
import uvloop

from verbenadeck.demo import SITES, Session

_SOAK_S = 20.0


@pytest.mark.parametrize('seed', [1])
def test_promises_hold_through_random_disorder(
    seed: int, tmp_path: Path
) -> None:
    session = Session(
        SITES[0],
        subnet=10 + os.getpid() % 240,
        folder=tmp_path,
        seed=seed,
        soak_s=_SOAK_S,
    )
    report = uvloop.run(session.run())
    assert report.is_good, (report.promises, report.errors)
