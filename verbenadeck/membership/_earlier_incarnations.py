"""Removal of earlier incarnations of a node from the fleet."""

from collections.abc import Awaitable, Callable

from loguru import logger

from verbenadeck.fleet import FleetView
from verbenadeck.membership._proposer import Propose
from verbenadeck.model import Incarnation, Offset
from verbenadeck.peers import PeerAddress
from verbenadeck.records import LeavePhase, NodeJoin, NodeLeave

_log = logger.bind(part='membership')
RemoveStaleMembers = Callable[[Incarnation], Awaitable[None]]


def find_earlier_incarnations(
    fleet: FleetView, described: NodeJoin, own: Incarnation
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
    described : NodeJoin
        Present description of this node.
    own : Incarnation
        Present incarnation of this node, `NO_MEMBER` without one.
    """
    address = PeerAddress(described.host, described.peer_port)
    return [
        each.incarnation
        for each in fleet.members.values()
        if each.incarnation != own
        and (each.node_id, each.address) == (described.node_id, address)
    ]


def make_stale_member_removal(
    fleet: FleetView,
    *,
    propose: Propose,
    describe_node: Callable[[], NodeJoin],
    are_earlier_grants_over: Callable[[], bool],
) -> RemoveStaleMembers:
    """Return a function that removes earlier incarnations of a member.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    propose : Propose
        Appends a record to the log.
    describe_node : callable
        Returns the present description of the node.
    are_earlier_grants_over : callable
        Returns whether all grants of earlier incarnations have ended.

    Returns
    -------
    RemoveStaleMembers
        Coroutine function that gets the present incarnation, or `NO_MEMBER`.
        It checks again only after the log has grown.
    """
    checked_offset = Offset(-1)

    async def remove_stale_members(own: Incarnation) -> None:
        nonlocal checked_offset  # noqa: WPS420
        applied = fleet.applied_offset
        if applied == checked_offset or not are_earlier_grants_over():
            return
        checked_offset = applied
        for each in find_earlier_incarnations(fleet, describe_node(), own):
            _log.info(
                'earlier incarnation {} has ended; removing it from the fleet',
                each,
            )
            await propose(NodeLeave(each, LeavePhase.GONE))

    return remove_stale_members
