"""Selection of the members that may plan and of those that may own shards."""

from collections.abc import Callable

from verbenadeck.fleet import FleetView, Member, MemberState, newest_members
from verbenadeck.model import NO_MEMBER, Incarnation, ServiceName

_MIN_CONFIRMED_RATIO = 0.5

ASSUMED_REACHABLE_S = 2.0
"""Time in seconds after which a member that was not evicted is assumed to be
reachable by its witnesses: two default leases."""


MAX_PLANNERS = 3
"""Number of members that may plan: one active planner and two standbys."""


def planner_members(fleet: FleetView) -> list[Incarnation]:
    """Return the members that may plan, the active planner first.

    Parameters
    ----------
    fleet : FleetView
        Present members.
    """
    newest = newest_members(fleet.members.values())
    return [member.incarnation for member in newest[:MAX_PLANNERS]]


def is_confirmed_reachable(*, known_for_s: float, is_reporting: bool) -> bool:
    """Return whether a new member is known to be reachable by others.

    Parameters
    ----------
    known_for_s : float
        Time since this node first saw the member, in seconds.
    is_reporting : bool
        Whether this node receives load reports of the member.

    Examples
    --------
    >>> is_confirmed_reachable(known_for_s=0.1, is_reporting=True)
    True
    """
    return is_reporting or known_for_s > ASSUMED_REACHABLE_S


def serving_members(fleet: FleetView, service: ServiceName) -> list[Member]:
    """Return the joined members of a service that are not taken out.

    Parameters
    ----------
    fleet : FleetView
        Members and configuration.
    service : ServiceName
        Service of the members.
    """
    config = fleet.config
    return [
        member
        for member in fleet.members.values()
        if member.service == service
        and member.state is MemberState.JOINED
        and member.zone not in config.zones_out
        and member.node_id not in config.upstreams_out
    ]


def eligible_weights(
    members: list[Member],
    *,
    is_reachable: Callable[[Member], bool],
    is_owner: Callable[[Incarnation], bool],
) -> dict[Incarnation, int]:
    """Return the weights of the members that may get shards.

    A member that has just joined may be cut off from its witnesses, and one
    without witnesses can't be evicted. Neither gets shards while enough
    others can take them. After many members were lost at once, the few that
    are confirmed reachable could not carry the load of all shards, so every
    member with witnesses is eligible when fewer than half are confirmed.

    Parameters
    ----------
    members : list of Member
        Serving members of one service.
    is_reachable : callable
        Returns whether a member is confirmed to be reachable.
    is_owner : callable
        Returns whether an incarnation owns shards or takes its own back.

    Returns
    -------
    dict of Incarnation to int
        Weight, in slots, of each eligible member.
    """
    confirmed = [
        member
        for member in members
        if is_owner(member.incarnation)
        or (member.witnesses and is_reachable(member))
    ]
    with_witnesses = [member for member in members if member.witnesses]
    if len(confirmed) < _MIN_CONFIRMED_RATIO * len(members):
        confirmed = []
    chosen = confirmed or with_witnesses or members
    return {
        member.incarnation: max(1, member.slots)
        for member in sorted(chosen, key=lambda each: each.incarnation)
    }


def find_returning_owners(
    fleet: FleetView, members: list[Member], owners: set[int]
) -> dict[Incarnation, Incarnation]:
    """Return the lost members that are back under a new incarnation.

    When the upstream instance has not restarted it still has its per-key
    state, so the shards go back to the same node.

    Parameters
    ----------
    fleet : FleetView
        Present and lost members.
    members : list of Member
        Serving members.
    owners : set of int
        Incarnations that own shards.

    Returns
    -------
    dict of Incarnation to Incarnation
        Present incarnation by lost incarnation.
    """
    by_upstream = {
        (member.node_id, member.upstream_instance): member.incarnation
        for member in members
        if member.upstream_instance
    }
    returning_owners: dict[Incarnation, Incarnation] = {}
    for owner in owners - fleet.members.keys() - {NO_MEMBER}:
        lost = fleet.member(Incarnation(owner))
        if lost is not None:
            returned_member = by_upstream.get(
                (lost.node_id, lost.upstream_instance)
            )
            if returned_member is not None:
                returning_owners[Incarnation(owner)] = returned_member
    return returning_owners
