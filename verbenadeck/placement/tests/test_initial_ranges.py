"""Ranges of the first assignment of the shards of a service."""

import asyncio
from collections import Counter, defaultdict
from itertools import groupby, repeat

import pytest

from verbenadeck.fleet.tests.builders import HOLDS, Recorder
from verbenadeck.model import (
    NO_MEMBER,
    ConfigDocument,
    Incarnation,
    ServicePolicy,
    Shard,
)
from verbenadeck.placement import PlanInput, make_plan
from verbenadeck.placement.tests.builders import SHARD_COUNT, build_planner
from verbenadeck.testing import run_virtual

_INITIAL_RANGES = 8
_BUSY_SHARDS = SHARD_COUNT // 16


def _owners(member_count: int, initial_ranges: int) -> list[Incarnation]:
    plan_input = PlanInput(
        owners=tuple(repeat(NO_MEMBER, SHARD_COUNT)),
        weights={Incarnation(1 + index): 9 for index in range(member_count)},
        initial_ranges=initial_ranges,
    )
    moves = make_plan(plan_input).forced
    return [moves[Shard(index)] for index in range(SHARD_COUNT)]


# Guards against SHORT of pkx-mesh-grown: the keys that are always busy are close
# to one another, and all of them began at one owner.
@pytest.mark.parametrize('first', range(0, SHARD_COUNT, 1000))
def test_busy_neighbouring_shards_begin_at_many_owners(first: int) -> None:
    owners = _owners(23, _INITIAL_RANGES)
    busy = Counter(
        owners[shard % SHARD_COUNT]
        for shard in range(first, first + _BUSY_SHARDS)
    )
    assert max(busy.values()) <= _BUSY_SHARDS / 8


@pytest.mark.parametrize('member_count', (1, 3, 23, 33))
@pytest.mark.parametrize('initial_ranges', (1, _INITIAL_RANGES))
def test_each_member_gets_an_equal_share_in_the_number_of_ranges(
    member_count: int, initial_ranges: int
) -> None:
    owners = _owners(member_count, initial_ranges)
    counts = Counter(owners)
    assert max(counts.values()) - min(counts.values()) <= 1
    ranges: defaultdict[Incarnation, int] = defaultdict(int)
    for owner, _ in groupby(owners):
        ranges[owner] += 1
    assert max(ranges.values()) <= initial_ranges


def test_shards_of_a_lost_owner_move_in_one_range_for_each_member() -> None:
    owners = [Incarnation(1 + shard % 3) for shard in range(9)]
    plan_input = PlanInput(
        owners=sorted(owners),
        weights={Incarnation(2): 1, Incarnation(3): 1},
        initial_ranges=_INITIAL_RANGES,
    )
    assert make_plan(plan_input).forced == {0: 2, 1: 2, 2: 3}


@pytest.mark.parametrize(
    ('key_space', 'range_count'), ((0, 1), (65_536, _INITIAL_RANGES))
)
def test_only_a_key_space_of_neighbouring_keys_begins_in_several_ranges(
    key_space: int, range_count: int
) -> None:
    async def scenario() -> None:
        recorder = Recorder()
        policy = ServicePolicy(
            is_keyed=True, shard_count=SHARD_COUNT, key_space=key_space
        )
        recorder.publish(ConfigDocument(services={HOLDS: policy}))
        first = recorder.join('n1')
        for name in ('n2', 'n3'):
            recorder.join(name, witnesses=(first,))
        planner = build_planner(recorder.state, first)
        planner._record_first_seen()
        await asyncio.sleep(10)
        moves = planner._plan(HOLDS).forced
        owners = [moves[Shard(index)] for index in range(SHARD_COUNT)]
        assert len(list(groupby(owners))) == 2 * range_count

    run_virtual(scenario())
