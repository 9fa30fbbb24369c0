"""Forced and balancing moves of a plan, and its records."""

from collections import Counter

from verbenadeck.model import Incarnation, ServiceName, Shard
from verbenadeck.placement import PlanInput, make_assign_records, make_plan

_ONE, _TWO = map(Incarnation, (1, 2))


def _owned_by(owner: int, count: int) -> list[int]:
    return [owner for _ in range(count)]


def test_only_shards_of_the_lost_owner_move() -> None:
    owners = _owned_by(1, 10) + _owned_by(2, 10) + _owned_by(3, 10)
    plan = make_plan(PlanInput(owners=owners, weights={_ONE: 1, _TWO: 1}))
    assert set(plan.forced) == set(range(20, 30))
    assert Counter(plan.forced.values()) == {_ONE: 5, _TWO: 5}
    assert not plan.balance


def test_shards_are_assigned_in_proportion_to_weight() -> None:
    plan = make_plan(
        PlanInput(owners=_owned_by(-1, 30), weights={_ONE: 4, _TWO: 2})
    )
    assert Counter(plan.forced.values()) == {_ONE: 20, _TWO: 10}


def test_returned_member_gets_its_shards_back() -> None:
    plan = make_plan(
        PlanInput(
            owners=_owned_by(9, 4) + _owned_by(2, 4),
            weights={_ONE: 1, _TWO: 1},
            returning_owners={Incarnation(9): _ONE},
        )
    )
    assert plan.forced == {Shard(each): _ONE for each in range(4)}


def test_balancing_keeps_the_budget_and_skips_moving_shards() -> None:
    plan = make_plan(
        PlanInput(
            owners=_owned_by(1, 20),
            weights={_ONE: 1, _TWO: 1},
            moving=frozenset(range(10, 20)),
            budget=6,
        )
    )
    assert len(plan.balance) == 6
    assert max(plan.balance) < 10


def test_load_differences_within_hysteresis_move_no_shards() -> None:
    owners = _owned_by(1, 104) + _owned_by(2, 96)
    plan = make_plan(
        PlanInput(owners=owners, weights={_ONE: 1, _TWO: 1}, budget=100)
    )
    assert not plan.balance


def test_ordinary_shards_move_away_from_a_hot_shard() -> None:
    owners = _owned_by(1, 10) + _owned_by(2, 10)
    plan = make_plan(
        PlanInput(
            owners=owners,
            weights={_ONE: 1, _TWO: 1},
            costs={Shard(0): 9.0},
            budget=100,
        )
    )
    assert Shard(0) not in plan.balance
    assert set(plan.balance.values()) == {_TWO}
    assert len(plan.balance) == 4


def test_ranges_are_split_at_different_fences() -> None:
    moves = {Shard(each): _ONE for each in range(4)}
    records = list(make_assign_records(ServiceName('a'), moves, [5, 5, 6, 6]))
    assert len(records) == 1
    runs = [(each.first_shard, each.stop_shard) for each in records[0].moves]
    assert runs == [(0, 2), (2, 4)]
