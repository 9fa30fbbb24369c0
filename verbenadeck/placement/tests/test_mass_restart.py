"""Assignment after all nodes lost power and restarted within a second."""

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
from verbenadeck.placement._eligibility import eligible_weights

_FIRST_RETURNED = Incarnation(84)


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


_RETURNED = tuple(_member(84 + index, f'node-{index}') for index in range(4))


def test_first_restarted_member_does_not_get_all_shards() -> None:
    """The first planner receives its own reports before those of others."""
    weights = eligible_weights(
        list(_RETURNED),
        is_reachable=lambda member: member.incarnation == _FIRST_RETURNED,
        is_owner=lambda _incarnation: False,
    )
    assert weights == dict.fromkeys((84, 85, 86, 87), 18)


def test_unconfirmed_member_gets_no_shards_while_most_are_confirmed() -> None:
    weights = eligible_weights(
        list(_RETURNED),
        is_reachable=lambda member: member.incarnation != _FIRST_RETURNED,
        is_owner=lambda _incarnation: False,
    )
    assert weights == dict.fromkeys((85, 86, 87), 18)


def test_earlier_incarnations_are_not_among_newest_members() -> None:
    earlier = [
        msgspec.structs.replace(
            member, incarnation=Incarnation(member.incarnation - 80)
        )
        for member in _RETURNED[:3]
    ]
    newest = newest_members([*_RETURNED, *earlier])
    assert [member.incarnation for member in newest] == [84, 85, 86, 87]
