"""Current and ended incarnations of the nodes."""

from collections.abc import Iterable

from verbenadeck.fleet._view import FleetView, Member, MemberState
from verbenadeck.model import Incarnation, NodeId

_ENDED = frozenset((MemberState.EVICTED, MemberState.GONE))


def has_ended(fleet: FleetView, incarnation: Incarnation) -> bool:
    """Return whether an incarnation has left the fleet or was evicted.

    Parameters
    ----------
    fleet : FleetView
        Fleet state.
    incarnation : Incarnation
        Incarnation to look up; one that is not known, or whose end is no
        longer kept, counts as not ended.

    Returns
    -------
    bool
    """
    return fleet.state_of(incarnation) in _ENDED


def may_be_member(fleet: FleetView, incarnation: Incarnation) -> bool:
    """Return whether an incarnation is a member as far as the log was applied.

    An incarnation is the offset of its join. So one that is no member has
    ended, however long ago, unless its join has not been applied yet.

    Parameters
    ----------
    fleet : FleetView
        Fleet state.
    incarnation : Incarnation
        Incarnation to look up.

    Returns
    -------
    bool
    """
    return incarnation in fleet.members or incarnation > fleet.applied_offset


def newest_members(members: Iterable[Member]) -> list[Member]:
    """Return the newest incarnation of each node, in order of joining.

    A node that has joined again no longer runs its earlier incarnations, but
    they remain members until the log records that they left or were evicted.

    Parameters
    ----------
    members : iterable of Member
        Members of the fleet.

    Returns
    -------
    list of Member
        One member per node, sorted by ascending incarnation.
    """
    newest: dict[NodeId, Member] = {}
    for member in members:
        known = newest.setdefault(member.node_id, member)
        if known.incarnation < member.incarnation:
            newest[member.node_id] = member
    return sorted(newest.values(), key=lambda each: each.incarnation)
