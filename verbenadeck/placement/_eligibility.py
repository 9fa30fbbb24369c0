"""Members that may own shards."""

from collections.abc import Callable

from verbenadeck.fleet import FleetView, Member, MemberState, newest_members
from verbenadeck.model import NO_MEMBER, Incarnation, ServiceName

_PROVEN_SHARE = 0.5

SETTLE_S = 2.0
"""Time in seconds after which a member that nobody evicted is taken for one
that its witnesses hear; two default leases."""


PLANNERS = 3
"""Members that may plan: one that does, and two that stand in for it."""


def planners(fleet: FleetView) -> list[Incarnation]:
    """Return the members that may plan, the first of them first."""
    lives = newest_members(fleet.members.values())
    return [member.incarnation for member in lives[:PLANNERS]]


def is_confirmed_reachable(*, known_for_s: float, is_reporting: bool) -> bool:
    """Return whether a new member is connected to others.

    Parameters
    ----------
    known_for_s : float
        Time for which it has been a member, in seconds.
    is_reporting : bool
        Whether this node gets reports of it.

    Examples
    --------
    >>> is_confirmed_reachable(known_for_s=0.1, is_reporting=True)
    True
    """
    return is_reporting or known_for_s > SETTLE_S


def serving_members(fleet: FleetView, service: ServiceName) -> list[Member]:
    """Return the members of a service that may keep their shards."""
    config = fleet.config
    return [
        member
        for member in fleet.members.values()
        if member.service == service
        and member.state is MemberState.JOINED
        and member.zone not in config.zones_out
        and member.node_id not in config.upstreams_out
    ]


def weights_of(
    members: list[Member],
    *,
    is_settled: Callable[[Member], bool],
    is_owner: Callable[[Incarnation], bool],
) -> dict[Incarnation, int]:
    """Return the capacity of the members that may get shards.

    A member that joined a moment ago may be cut off from its witnesses, and
    one without witnesses can't be evicted. Neither gets shards while others
    can take them. After a loss of many, the few that are proven could not
    bear what the rest leaves.
    """
    proven = [
        member
        for member in members
        if is_owner(member.incarnation)
        or (member.witnesses and is_settled(member))
    ]
    witnessed = [member for member in members if member.witnesses]
    if len(proven) < _PROVEN_SHARE * len(members):
        proven = []
    chosen = proven or witnessed or members
    return {
        member.incarnation: max(1, member.slots)
        for member in sorted(chosen, key=lambda each: each.incarnation)
    }


def homes_of(
    fleet: FleetView, members: list[Member], owners: set[int]
) -> dict[Incarnation, Incarnation]:
    """Return who takes back the shards of which lost member.

    The per-key state is still there when the upstream has not restarted.
    """
    by_upstream = {
        (member.node_id, member.upstream_instance): member.incarnation
        for member in members
        if member.upstream_instance
    }
    homes: dict[Incarnation, Incarnation] = {}
    for owner in owners - fleet.members.keys() - {NO_MEMBER}:
        lost = fleet.member(Incarnation(owner))
        if lost is not None:
            home = by_upstream.get((lost.node_id, lost.upstream_instance))
            if home is not None:
                homes[Incarnation(owner)] = home
    return homes
