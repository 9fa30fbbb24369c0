"""Shards of a leaving member, and members that can take them over."""

from verbenadeck.fleet import FleetView, MemberState
from verbenadeck.model import Incarnation, ServiceName


def has_shards(fleet: FleetView, member: Incarnation) -> bool:
    """Return whether a member owns shards or has yet to release some.

    Parameters
    ----------
    fleet : FleetView
        Owners according to the log.
    member : Incarnation
        Member to check.
    """
    return any(fleet.owned_by(member)) or any(fleet.unreleased_by(member))


def has_successor(fleet: FleetView, service: ServiceName) -> bool:
    """Return whether a service has a member that is not leaving.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    service : ServiceName
        Service of the shards.
    """
    return any(
        member.service == service and member.state is MemberState.JOINED
        for member in fleet.members.values()
    )
