"""Shards of a leaving member and those who can take them over."""

from verbenadeck.fleet import FleetView, MemberState
from verbenadeck.model import Incarnation, ServiceName


def has_shards(fleet: FleetView, member: Incarnation) -> bool:
    """Return whether a member owns shards or has some to release."""
    return any(fleet.owned_by(member)) or any(fleet.unreleased_by(member))


def has_successor(fleet: FleetView, service: ServiceName) -> bool:
    """Return whether a member of the service is joined and not leaving."""
    return any(
        member.service == service and member.state is MemberState.JOINED
        for member in fleet.members.values()
    )
