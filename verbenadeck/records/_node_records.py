"""Records of the log about one node and the upstream beside it."""

import enum

import msgspec

from verbenadeck.model import Incarnation, NodeId, Region, ServiceName, Zone


class NodeJoin(msgspec.Struct, frozen=True, array_like=True, tag='join'):
    """Entry of a node into the fleet.

    The offset of the record becomes the incarnation of the node.

    Parameters
    ----------
    node_id : NodeId
        Name of the node.
    zone, region : str
        Location of the node.
    service : ServiceName
        Service that its upstream provides.
    slots : int
        Number of slots of its upstream after warm-up.
    host : str
        IP address of the node.
    peer_port, entry_port : int
        Ports on which it accepts messages of peers and requests of callers.
    upstream_instance : str
        Id of the upstream instance that it sends to.
    witnesses : tuple of Incarnation
        Initial witness set; empty for a node without peers.
    admin_port : int
        Port of its admin interface; 0 if not known.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName
    slots: int
    host: str
    peer_port: int
    entry_port: int
    upstream_instance: str = ''
    witnesses: tuple[Incarnation, ...] = ()
    admin_port: int = 0


class LeavePhase(enum.Enum):
    """Phase of a planned departure.

    Attributes
    ----------
    DRAINING
        The member asks for its shards to be moved.
    GONE
        The member runs no request and holds no lease any more.
    """

    DRAINING = 'draining'
    GONE = 'gone'


class NodeLeave(msgspec.Struct, frozen=True, array_like=True, tag='leave'):
    """Planned departure of a member.

    Parameters
    ----------
    incarnation : Incarnation
        Member that leaves.
    phase : LeavePhase
        Phase that it has reached. `GONE` is stated by the member itself.
    """

    incarnation: Incarnation
    phase: LeavePhase


class UpstreamLeave(
    msgspec.Struct, frozen=True, array_like=True, tag='upstream-leave'
):
    """Departure of an upstream instance from its node.

    The node may restart while the instance still runs, and must not use it
    again then.

    Parameters
    ----------
    node_id : NodeId
        Node beside the instance.
    upstream_instance : str
        Id of the instance, as in the node's `NodeJoin`.
    """

    node_id: NodeId
    upstream_instance: str
