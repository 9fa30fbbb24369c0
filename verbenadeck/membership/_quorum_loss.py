"""Members whose witnesses have gone."""

from verbenadeck.fleet import FleetView, Member, renewal_quorum


def has_lost_quorum(fleet: FleetView, member: Member) -> bool:
    """Return whether too few witnesses of a member are members still.

    Such a lease can't be renewed, and too few are left to evict the member:
    its shards would stay without a server until its process ends.
    """
    live = sum(1 for one in member.witnesses if one in fleet.members)
    return live < renewal_quorum(len(member.witnesses))
