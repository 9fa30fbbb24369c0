"""Which member of a node is its present life, and which lives are over."""

from collections.abc import Iterable

from verbenadeck.fleet._view import FleetView, Member, MemberState
from verbenadeck.model import Incarnation, NodeId

_ENDED = frozenset((MemberState.EVICTED, MemberState.GONE))


def has_ended(fleet: FleetView, incarnation: Incarnation) -> bool:
    """Return whether a member is known to have left or been evicted."""
    return fleet.state_of(incarnation) in _ENDED


def newest_members(members: Iterable[Member]) -> list[Member]:
    """Return the newest member of each node, the oldest of them first.

    A node that has joined again runs no earlier life any more, though the log
    may name it until its end is known.

    Parameters
    ----------
    members : iterable of Member
        Members of the fleet.
    """
    newest: dict[NodeId, Member] = {}
    for member in members:
        known = newest.setdefault(member.node_id, member)
        if known.incarnation < member.incarnation:
            newest[member.node_id] = member
    return sorted(newest.values(), key=lambda each: each.incarnation)
