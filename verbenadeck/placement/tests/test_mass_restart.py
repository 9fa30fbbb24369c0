"""All nodes lost power and come back within a second."""

import msgspec

from verbenadeck.fleet import Member, MemberState, newest_members
from verbenadeck.model import (
    Epoch,
    Incarnation,
    NodeId,
    Region,
    ServiceName,
    Zone,
)
from verbenadeck.peers import PeerAddress
from verbenadeck.placement._eligibility import weights_of

_FIRST_BACK = Incarnation(84)


def _member(incarnation: int, name: str) -> Member:
    return Member(
        incarnation=Incarnation(incarnation),
        node_id=NodeId(name),
        zone=Zone('suva'),
        region=Region('fiji'),
        service=ServiceName('catalogue'),
        slots=18,
        address=PeerAddress('10.0.0.1', 7000),
        entry_port=7001,
        upstream_instance='life',
        witnesses=(Incarnation(1),),
        epoch=Epoch(incarnation),
        state=MemberState.JOINED,
    )


_BACK = tuple(_member(84 + index, f'node-{index}') for index in range(4))


def test_the_first_one_back_does_not_get_all_keys() -> None:
    """It hears its own reports before those of the others."""
    weights = weights_of(
        list(_BACK),
        is_settled=lambda member: member.incarnation == _FIRST_BACK,
        is_owner=lambda _incarnation: False,
    )
    assert weights == dict.fromkeys((84, 85, 86, 87), 18)


def test_a_member_that_is_cut_off_gets_none_while_most_are_proven() -> None:
    weights = weights_of(
        list(_BACK),
        is_settled=lambda member: member.incarnation != _FIRST_BACK,
        is_owner=lambda _incarnation: False,
    )
    assert weights == dict.fromkeys((85, 86, 87), 18)


def test_earlier_lives_neither_plan_nor_count() -> None:
    dead = [
        msgspec.structs.replace(
            member, incarnation=Incarnation(member.incarnation - 80)
        )
        for member in _BACK[:3]
    ]
    lives = newest_members([*_BACK, *dead])
    assert [member.incarnation for member in lives] == [84, 85, 86, 87]
