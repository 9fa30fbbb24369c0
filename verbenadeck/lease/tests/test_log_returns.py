"""Ownership after the log has come back without its newest records."""

import asyncio

import pytest

from verbenadeck.lease.tests.builders import run_scenario
from verbenadeck.lease.tests.returns import (
    FenceWatch,
    kill_and_restart,
    lose_restarts,
)
from verbenadeck.testing import VirtualFleet

_RESUME_LIMIT_S = 15.0
"""Time after a fault in which the users' pages want all keys served again."""


# Guards against tokens below those that other instances have had.
@pytest.mark.parametrize('seed', range(3))
def test_fences_rise_when_the_log_comes_back(seed: int) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        watch = FenceWatch(fleet)
        await lose_restarts(fleet)
        await asyncio.sleep(1)
        await kill_and_restart(fleet, list(fleet.nodes))
        await fleet.wait_until(fleet.is_served, limit_s=_RESUME_LIMIT_S)
        await asyncio.sleep(3)
        watch.stop()
        assert not watch.broken

    run_scenario(scenario, seed=seed)
