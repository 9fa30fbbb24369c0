"""Builders of members and shards of one large keyed service."""

from collections.abc import Mapping
from itertools import repeat

from verbenadeck.model import Incarnation

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
