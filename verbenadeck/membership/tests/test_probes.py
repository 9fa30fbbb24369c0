"""Candidates for a witness set that answer late or without a renewal."""

import asyncio

from verbenadeck.membership import LeaseTiming
from verbenadeck.membership._probes import Probes
from verbenadeck.membership._renewals import Renewals
from verbenadeck.model import Incarnation
from verbenadeck.testing import run_virtual, virtual_clock

_CANDIDATE = Incarnation(7)
_TIMING = LeaseTiming()


async def _probe(*, answers_until_s: float) -> float:
    """Return after how many seconds a candidate that never renews is excluded."""
    clock = virtual_clock()
    renewals = Renewals(clock=clock, timing=_TIMING)
    probes = Probes(clock=clock, timing=_TIMING, renewals=renewals)
    start_s = clock.now_s()
    probes.set_candidates({_CANDIDATE})
    while not probes.cooling_down:
        if clock.now_s() - start_s < answers_until_s:
            renewals.record_answer(_CANDIDATE)
        await asyncio.sleep(_TIMING.heartbeat_interval_s / 4)
        probes.expire()
    return clock.now_s() - start_s


def test_candidate_without_an_answer_is_excluded_soon() -> None:
    excluded_s = run_virtual(_probe(answers_until_s=0))
    assert excluded_s <= _TIMING.probe_timeout_s + _TIMING.heartbeat_interval_s


# Guards against members that find no witness after all have lost their leases.
def test_candidate_that_has_to_read_the_log_is_probed_for_a_lease() -> None:
    excluded_s = run_virtual(_probe(answers_until_s=10))
    assert excluded_s >= _TIMING.lease_s
    assert excluded_s <= _TIMING.lease_s + _TIMING.heartbeat_interval_s
