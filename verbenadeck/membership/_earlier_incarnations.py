"""Removal of earlier incarnations of a node from the fleet."""

from collections.abc import Awaitable, Callable

from loguru import logger

from verbenadeck.fleet import FleetView, Member
from verbenadeck.membership._proposer import Propose
from verbenadeck.model import Incarnation, Offset
from verbenadeck.records import LeavePhase, NodeLeave

_log = logger.bind(part='membership')
RemoveStaleMembers = Callable[[Member | None], Awaitable[None]]


def find_earlier_incarnations(
    fleet: FleetView, own: Member
) -> list[Incarnation]:
    """Return earlier incarnations of a node that have certainly ended.

    This process has bound the peer port, so an earlier process with the same
    name and address no longer runs, and its grants end one lease later. This
    frees the shards of the last node of a fleet: no witness is left to vote
    on its lapse, only its own restart on the same VM can tell. It also
    removes a join of this process whose outcome was unknown.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    own : Member
        Present member of this node.
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
    """Return a function that removes earlier incarnations of a member.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    propose : Propose
        Appends a record to the log.
    are_earlier_grants_over : callable
        Returns whether all grants of earlier incarnations have ended.

    Returns
    -------
    RemoveStaleMembers
        Coroutine function that gets the present member, or None. It checks
        again only after the log has grown.
    """
    checked_offset = Offset(-1)

    async def remove_stale_members(own: Member | None) -> None:
        nonlocal checked_offset  # noqa: WPS420
        applied = fleet.applied_offset
        if (
            own is None
            or applied == checked_offset
            or not are_earlier_grants_over()
        ):
            return
        checked_offset = applied
        for each in find_earlier_incarnations(fleet, own):
            _log.info(
                'earlier incarnation {} has ended; removing it from the fleet',
                each,
            )
            await propose(NodeLeave(each, LeavePhase.GONE))

    return remove_stale_members
