import random

import msgspec
import pytest

from verbenadeck.fleet import Member, MemberState
from verbenadeck.membership._witness_choice import (
    candidates_for,
    choose_witnesses,
)
from verbenadeck.model import (
    Epoch,
    Incarnation,
    NodeId,
    Region,
    ServiceName,
    Zone,
)
from verbenadeck.peers import PeerAddress


def _member(incarnation: int, zone: str, region: str = 'home') -> Member:
    return Member(
        incarnation=Incarnation(incarnation),
        node_id=NodeId(f'node-{incarnation}'),
        zone=Zone(zone),
        region=Region(region),
        service=ServiceName('holds'),
        slots=6,
        address=PeerAddress('10.0.0.1', 7000),
        entry_port=7001,
        upstream_instance='life-0',
        witnesses=(),
        epoch=Epoch(incarnation),
        state=MemberState.JOINED,
    )


@pytest.mark.parametrize('seed', range(20))
def test_witnesses_are_spread_over_three_zones(seed: int) -> None:
    members = [_member(each, 'abc'[each % 3]) for each in range(9)]
    chosen = choose_witnesses(members, random_source=random.Random(seed))
    assert {each % 3 for each in chosen} == {0, 1, 2}


def test_kept_witnesses_are_chosen_again() -> None:
    members = [_member(each, 'abc'[each % 3]) for each in range(9)]
    kept = (Incarnation(3), Incarnation(4))
    chosen = choose_witnesses(
        members, kept=kept, random_source=random.Random(1)
    )
    assert set(kept) <= set(chosen)


def test_three_witnesses_are_chosen_from_two_zones() -> None:
    members = [_member(each, 'ab'[each % 2]) for each in range(4)]
    chosen = choose_witnesses(members, random_source=random.Random(1))
    assert len(chosen) == 3


def test_candidates_are_in_the_own_region_if_it_has_any() -> None:
    members = [_member(1, 'a'), _member(2, 'b', 'far')]
    own = NodeId('node-0')
    near = candidates_for(members, node_id=own, region=Region('home'))
    alone = candidates_for(members, node_id=own, region=Region('third'))
    assert [each.incarnation for each in near] == [1]
    assert len(alone) == 2


def test_earlier_incarnation_of_a_node_is_no_candidate() -> None:
    """All nodes lost power and the log still has their earlier incarnations."""
    early = [_member(each, 'abc'[each % 3]) for each in range(6)]
    again = [
        msgspec.structs.replace(
            one, incarnation=Incarnation(one.incarnation + 10)
        )
        for one in early[:4]
    ]
    found = candidates_for(
        [*again, *early], node_id=NodeId('node-9'), region=Region('home')
    )
    assert sorted(each.incarnation for each in found) == [4, 5, 10, 11, 12, 13]
