"""Groups of nodes of a large fleet that fail together, chosen and at random.

`VERBENADECK_FUZZ_EXAMPLES` and `SEED` set the number of examples and the first
seed of a longer exploration, `VERBENADECK_FUZZ_ZONE_SIZE` the number of nodes
in each of its five zones; `make fuzz` sets the first two.
"""

import os
import random
from collections.abc import Sequence

import pytest

from verbenadeck.lease.tests.builders import (
    Scenario,
    nodes_in_zone,
    run_scenario,
)
from verbenadeck.lease.tests.exploration import (
    GroupFault,
    cut_together,
    draw_exploration,
    explore,
    find_group_judged_from_outside,
    wait_watched,
)
from verbenadeck.lease.tests.fuzzing import RECOVERY_LIMIT_S, end_all_faults
from verbenadeck.model import NodeId
from verbenadeck.platform._options import LEASE_TIMING
from verbenadeck.testing import VirtualFleet, zoned_specs

_ZONE_COUNT = 5
_CUT_S = 15.0
_PAUSE_S = 8.0
_BETWEEN_CUTS_S = 2.0
_REQUESTED_EXAMPLES = int(os.environ.get('VERBENADECK_FUZZ_EXAMPLES', '0'))
_FIRST_SEED = int(os.environ.get('SEED', '1'))
_ZONE_SIZE = int(os.environ.get('VERBENADECK_FUZZ_ZONE_SIZE', '4'))
_STEP_COUNT = 20 if _REQUESTED_EXAMPLES else 12
_CI_SEEDS = (1,)


def _exploration_seeds() -> Sequence[int]:
    if _REQUESTED_EXAMPLES:
        return range(_FIRST_SEED, _FIRST_SEED + _REQUESTED_EXAMPLES)
    return _CI_SEEDS


def _run_on_zones(scenario: Scenario, *, zone_size: int) -> None:
    run_scenario(
        scenario,
        specs=zoned_specs(*(zone_size for _ in range(_ZONE_COUNT))),
        timing=LEASE_TIMING,
    )


async def _cut_and_heal(
    fleet: VirtualFleet, fault: GroupFault, group: list[NodeId]
) -> None:
    await cut_together(fleet, fault, group)
    await wait_watched(fleet, _CUT_S)
    await end_all_faults(fleet)
    await fleet.wait_until(fleet.is_served, limit_s=RECOVERY_LIMIT_S)


def _draw_group(fleet: VirtualFleet, share: float) -> list[NodeId]:
    """Return an owner with two of its witnesses, and nodes drawn to them."""
    core = find_group_judged_from_outside(fleet)
    others = [name for name in fleet.nodes if name not in core]
    size = round(len(fleet.nodes) * share) - len(core)
    return core + random.Random(1).sample(others, size)


# Two owners: an owner renewed by two cut-off witnesses that others had evicted.
def test_group_cut_off_together_keeps_no_lease_after_its_witnesses_are_evicted() -> (
    None
):
    async def scenario(fleet: VirtualFleet) -> None:
        group = find_group_judged_from_outside(fleet)
        await _cut_and_heal(fleet, GroupFault.CUT_OFF, group)

    _run_on_zones(scenario, zone_size=2)


@pytest.mark.parametrize(('share', 'zone_size'), [(0.2, 4), (0.3, 8)])
def test_share_of_a_large_fleet_cut_off_together_has_no_second_owner(
    share: float, zone_size: int
) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        group = _draw_group(fleet, share)
        await _cut_and_heal(fleet, GroupFault.CUT_OFF, group)

    _run_on_zones(scenario, zone_size=zone_size)


def test_two_zones_cut_off_together_have_no_second_owner() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        group = nodes_in_zone(fleet, 'a') + nodes_in_zone(fleet, 'b')
        await _cut_and_heal(fleet, GroupFault.CUT_OFF, group)

    _run_on_zones(scenario, zone_size=3)


@pytest.mark.parametrize(
    'fault',
    [GroupFault.CUT_FROM_PEERS, GroupFault.CUT_OUT, GroupFault.CUT_IN],
    ids=lambda fault: fault.value,
)
def test_group_cut_from_peers_with_the_log_in_reach_has_no_second_owner(
    fault: GroupFault,
) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        group = find_group_judged_from_outside(fleet)
        await _cut_and_heal(fleet, fault, group)

    _run_on_zones(scenario, zone_size=2)


async def _pause_and_resume(fleet: VirtualFleet, group: list[NodeId]) -> None:
    for paused in group:
        fleet.nodes[paused].process.pause()
    await wait_watched(fleet, _PAUSE_S)
    for resumed in group:
        fleet.nodes[resumed].process.resume()


def test_group_frozen_and_thawed_together_has_no_second_owner() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        group = find_group_judged_from_outside(fleet)
        await _pause_and_resume(fleet, group)
        await fleet.wait_until(fleet.is_served, limit_s=RECOVERY_LIMIT_S)

    _run_on_zones(scenario, zone_size=2)


def test_group_that_thaws_behind_a_cut_has_no_second_owner() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        group = find_group_judged_from_outside(fleet)
        await cut_together(fleet, GroupFault.CUT_OFF, group)
        await _pause_and_resume(fleet, group)
        await _cut_and_heal(fleet, GroupFault.CUT_OFF, group)

    _run_on_zones(scenario, zone_size=2)


def test_group_cut_off_step_by_step_has_no_second_owner() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        group = find_group_judged_from_outside(fleet)
        for fault in (GroupFault.CUT_LOG, GroupFault.CUT_OUT):
            await cut_together(fleet, fault, group)
            await wait_watched(fleet, _BETWEEN_CUTS_S)
        await _cut_and_heal(fleet, GroupFault.CUT_IN, group)

    _run_on_zones(scenario, zone_size=2)


def test_groups_cut_off_one_after_another_have_no_second_owner() -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        core = find_group_judged_from_outside(fleet)
        others = [name for name in fleet.nodes if name not in core]
        await cut_together(fleet, GroupFault.CUT_OFF, others[:2])
        await wait_watched(fleet, _BETWEEN_CUTS_S)
        await _cut_and_heal(fleet, GroupFault.CUT_OFF, core)

    _run_on_zones(scenario, zone_size=3)


@pytest.mark.timeout(max(120, _REQUESTED_EXAMPLES * 60))
@pytest.mark.parametrize('seed', _exploration_seeds())
def test_random_faults_of_groups_never_cause_two_owners(seed: int) -> None:
    sizes = (_ZONE_SIZE,) * _ZONE_COUNT
    explore(draw_exploration(seed, sizes=sizes, step_count=_STEP_COUNT))
