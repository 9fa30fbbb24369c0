"""Detection of members that have lost the quorum of their witnesses."""

from verbenadeck.fleet import FleetView, Member, renewal_quorum


def has_lost_quorum(fleet: FleetView, member: Member) -> bool:
    """Return whether too few witnesses of a member are still members.

    Such a lease can't be renewed, and too few witnesses are left to evict
    the member, so its shards would not be served until its process ends.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    member : Member
        Member to check.
    """
    live = sum(1 for one in member.witnesses if one in fleet.members)
    return live < renewal_quorum(len(member.witnesses))
