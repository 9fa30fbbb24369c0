"""Earlier lives of one process slot."""

from verbenadeck.fleet import FleetView, Member
from verbenadeck.model import Incarnation


def predecessors(fleet: FleetView, own: Member) -> list[Incarnation]:
    """Return members that this process knows to have ended.

    The peer port is bound by this process, so an earlier one with the same
    name and address runs no more; what it granted ends a lease later. This
    is how the shards of the last node of a fleet become free: nobody is left
    to witness its end but its own restart on the same VM. The same holds for
    a join of this very process whose outcome was unknown.
    """
    return [
        each.incarnation
        for each in fleet.members.values()
        if each.incarnation != own.incarnation
        and (each.node_id, each.address) == (own.node_id, own.address)
    ]
