"""Members that can take over the shards of a leaving one."""

from verbenadeck.fleet import FleetView, MemberState
from verbenadeck.model import ServiceName


def has_successor(fleet: FleetView, service: ServiceName) -> bool:
    """Return whether a member of the service is joined and not leaving."""
    return any(
        member.service == service and member.state is MemberState.JOINED
        for member in fleet.members.values()
    )
