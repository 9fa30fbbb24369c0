"""Services of a node between its adapters: all but HTTP."""

import random
from dataclasses import dataclass

from verbenadeck import door as door_package
from verbenadeck import journal as journal_package
from verbenadeck import lease as lease_package
from verbenadeck import membership as membership_package
from verbenadeck.adapters import LogAdapter, UpstreamAdapter
from verbenadeck.door import UpstreamDoor
from verbenadeck.journal import Checkpointer, LogClient
from verbenadeck.kernel import Kernel
from verbenadeck.lease import Ownership, WitnessDuty
from verbenadeck.membership import LeaseTiming, Membership
from verbenadeck.model import NodeId, Region, ServiceName, Zone
from verbenadeck.node._joining import Joining
from verbenadeck.node._ownership_by_name import OwnershipByName
from verbenadeck.peers import PeerPort
from verbenadeck.placement import Planner
from verbenadeck.router import DoorRouter
from verbenadeck.utils import Clock

MESSAGES = (
    *door_package.MESSAGES,
    *journal_package.MESSAGES,
    *lease_package.MESSAGES,
    *membership_package.MESSAGES,
)
"""All message types between nodes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NodePlace:
    """Name and place of a node.

    Parameters
    ----------
    node_id : NodeId
        Name.
    zone, region : str
        Where it runs.
    service : ServiceName
        Service of the upstream beside it.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeEdges:
    """What a node touches: the log, its upstream, peers, time and chance.

    Parameters
    ----------
    log : LogAdapter
        Platform's log.
    upstream : UpstreamAdapter
        Upstream beside the node.
    peers : PeerPort
        Other nodes.
    clock : Clock
        Clock of the VM.
    random_source : random.Random
        Source of random choices.
    """

    log: LogAdapter
    upstream: UpstreamAdapter
    peers: PeerPort
    clock: Clock
    random_source: random.Random


def register_core(
    kernel: Kernel,
    place: NodePlace,
    edges: NodeEdges,
    *,
    joining: Joining,
    timing: LeaseTiming | None = None,
) -> None:
    """Register the services that decide, in a kernel.

    Parameters
    ----------
    kernel : Kernel
        Kernel that gets the services.
    place : NodePlace
        Name and place of the node.
    edges : NodeEdges
        What the node touches.
    joining : Joining
        What the node says of itself when it joins.
    timing : LeaseTiming or None
        Times of the lease protocol.
    """
    kernel.register('journal', _make_journal(place, edges))
    kernel.register(
        'membership',
        _make_membership(kernel, edges, joining, timing),
        needs=('journal', 'peers', 'upstream'),
        is_started_here=False,
    )
    kernel.register('door', _make_door(kernel, place, edges), needs=('lease',))
    kernel.register(
        'lease', _make_lease(kernel, place, edges), needs=('membership',)
    )
    kernel.register(
        'witness', _make_witness(kernel, edges), needs=('membership',)
    )
    kernel.register(
        'router', _make_router(kernel, place, edges), needs=('door',)
    )
    kernel.register(
        'placement',
        _make_planner(kernel, edges),
        needs=('membership',),
    )
    kernel.register(
        'checkpoints',
        Checkpointer(
            client=kernel.find('journal', LogClient), clock=edges.clock
        ),
        needs=('journal',),
    )
    joining.attach(kernel)
    kernel.register(
        'joining', joining, needs=('door', 'lease', 'witness', 'router')
    )


def _make_journal(place: NodePlace, edges: NodeEdges) -> LogClient:
    return LogClient(
        adapter=edges.log,
        clock=edges.clock,
        random_source=edges.random_source,
        node_id=place.node_id,
        port=edges.peers,
    )


def _make_membership(
    kernel: Kernel,
    edges: NodeEdges,
    joining: Joining,
    timing: LeaseTiming | None,
) -> Membership:
    return Membership(
        clock=edges.clock,
        random_source=edges.random_source,
        journal=kernel.find('journal', LogClient),
        port=edges.peers,
        describe=joining.describe,
        timing=timing,
    )


def _make_door(
    kernel: Kernel, place: NodePlace, edges: NodeEdges
) -> UpstreamDoor:
    membership = kernel.find('membership', Membership)
    return UpstreamDoor(
        node_id=place.node_id,
        zone=place.zone,
        incarnation=lambda: membership.incarnation,
        upstream=edges.upstream,
        ownership=OwnershipByName(kernel),
        fleet=kernel.find('journal', LogClient).fleet,
        peers=edges.peers,
        clock=edges.clock,
        random_source=edges.random_source,
    )


def _make_lease(
    kernel: Kernel, place: NodePlace, edges: NodeEdges
) -> Ownership:
    return Ownership(
        clock=edges.clock,
        journal=kernel.find('journal', LogClient),
        port=edges.peers,
        membership=kernel.find('membership', Membership),
        upstream=edges.upstream,
        service=place.service,
        door=kernel.find('door', UpstreamDoor),
    )


def _make_witness(kernel: Kernel, edges: NodeEdges) -> WitnessDuty:
    return WitnessDuty(
        clock=edges.clock,
        port=edges.peers,
        journal=kernel.find('journal', LogClient),
        membership=kernel.find('membership', Membership),
    )


def _make_planner(kernel: Kernel, edges: NodeEdges) -> Planner:
    journal = kernel.find('journal', LogClient)
    return Planner(
        clock=edges.clock,
        journal=journal,
        fleet=journal.fleet,
        membership=kernel.find('membership', Membership),
    )


def _make_router(
    kernel: Kernel, place: NodePlace, edges: NodeEdges
) -> DoorRouter:
    return DoorRouter(
        node_id=place.node_id,
        zone=place.zone,
        door=kernel.find('door', UpstreamDoor),
        fleet=kernel.find('journal', LogClient).fleet,
        peers=edges.peers,
        clock=edges.clock,
        random_source=edges.random_source,
    )
