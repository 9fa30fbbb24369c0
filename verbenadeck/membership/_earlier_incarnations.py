"""Earlier lives of one process slot."""

from collections.abc import Awaitable, Callable

from loguru import logger

from verbenadeck.fleet import FleetView, Member
from verbenadeck.membership._proposer import Propose
from verbenadeck.model import Incarnation, Offset
from verbenadeck.records import LeavePhase, NodeLeave

_log = logger.bind(part='membership')
RemoveStaleMembers = Callable[[Member | None], Awaitable[None]]


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


def make_stale_member_removal(
    fleet: FleetView,
    *,
    propose: Propose,
    are_earlier_grants_over: Callable[[], bool],
) -> RemoveStaleMembers:
    """Return a function that ends earlier lives of a member in the log.

    Parameters
    ----------
    fleet : FleetView
        Fleet state.
    propose : Propose
        Appends a record.
    are_earlier_grants_over : callable
        Whether what earlier lives granted has ended.
    """
    looked_at = Offset(-1)

    async def remove_stale_members(own: Member | None) -> None:
        nonlocal looked_at  # noqa: WPS420
        applied = fleet.applied_offset
        if own is None or applied == looked_at or not are_earlier_grants_over():
            return
        looked_at = applied
        for each in predecessors(fleet, own):
            _log.info('earlier life {} is over', each)
            await propose(NodeLeave(each, LeavePhase.GONE))

    return remove_stale_members
