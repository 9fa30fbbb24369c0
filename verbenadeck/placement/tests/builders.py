"""Builders of members and shards of one large keyed service."""

from collections.abc import Callable, Mapping
from itertools import repeat
from types import SimpleNamespace
from typing import Any

from verbenadeck.fleet import FleetState
from verbenadeck.model import Incarnation
from verbenadeck.placement import LoadReporter, LoadTable, Planner
from verbenadeck.proxy import ProxyLoad, ShardRates
from verbenadeck.proxy.tests.fakes import KEYED, FakeFleet
from verbenadeck.testing import virtual_clock
from verbenadeck.utils import Clock

SHARD_COUNT = 8192
_CAPACITIES_PER_S = (28, 47, 66)


def build_capacities(member_count: int) -> dict[Incarnation, int]:
    """Return the requests per second of slow, ordinary and fast members."""
    return {
        Incarnation(1 + index): _CAPACITIES_PER_S[index % 3]
        for index in range(member_count)
    }


def build_even_owners(member_count: int) -> list[Incarnation]:
    """Return owners of equal, contiguous parts of the shards."""
    return [
        Incarnation(1 + shard * member_count // SHARD_COUNT)
        for shard in range(SHARD_COUNT)
    ]


def build_balanced_owners(
    capacities: Mapping[Incarnation, int],
) -> list[Incarnation]:
    """Return owners of contiguous parts in proportion to their capacity."""
    total = sum(capacities.values())
    owners: list[Incarnation] = []
    sum_so_far = 0
    for member, capacity in capacities.items():
        sum_so_far += capacity
        stop = sum_so_far * SHARD_COUNT // total
        owners.extend(repeat(member, stop - len(owners)))
    return owners


def build_planner(fleet: FleetState, member: Incarnation) -> Planner:
    """Return the planner of a member, without any load report."""
    clock = virtual_clock()
    journal: Any = SimpleNamespace()
    membership: Any = SimpleNamespace(incarnation=member)
    return Planner(
        clock=clock,
        journal=journal,
        fleet=fleet,
        membership=membership,
        load_table=LoadTable(clock=clock),
    )


def build_load_reporter(
    load_table: LoadTable,
    member: Incarnation,
    load: Callable[[], ProxyLoad],
    *,
    clock: Clock,
) -> LoadReporter:
    """Return the load reporter of a member, which knows no other planner."""
    membership: Any = SimpleNamespace(
        member=SimpleNamespace(incarnation=member, service=KEYED)
    )
    fleet: Any = FakeFleet()
    transport: Any = SimpleNamespace()
    return LoadReporter(
        load_table=load_table,
        rates=ShardRates(clock=clock),
        load=load,
        fleet=fleet,
        membership=membership,
        transport=transport,
        clock=clock,
    )
