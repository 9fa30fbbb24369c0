"""Services of a node between its adapters: all but HTTP."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from verbenadeck import door as door_package
from verbenadeck import journal as journal_package
from verbenadeck import lease as lease_package
from verbenadeck import membership as membership_package
from verbenadeck import placement as placement_package
from verbenadeck.adapters import LogAdapter, UpstreamAdapter
from verbenadeck.door import LimitOptions, UpstreamDoor
from verbenadeck.journal import (
    Checkpointer,
    CheckpointOptions,
    JournalOptions,
    LogClient,
)
from verbenadeck.kernel import Kernel
from verbenadeck.lease import (
    GrantKeeper,
    GrantsMaker,
    Ownership,
    WitnessDuty,
)
from verbenadeck.membership import LeaseTiming, Membership
from verbenadeck.model import NodeId, Region, ServiceName, Zone
from verbenadeck.node._joining import Joining
from verbenadeck.node._ownership_by_name import OwnershipByName
from verbenadeck.peers import PeerPort
from verbenadeck.placement import LoadBoard, LoadReporter, Planner
from verbenadeck.router import DoorRouter
from verbenadeck.utils import Clock, always

MESSAGES = (
    *door_package.MESSAGES,
    *journal_package.MESSAGES,
    *lease_package.MESSAGES,
    *membership_package.MESSAGES,
    *placement_package.MESSAGES,
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


@dataclass(frozen=True, slots=True, kw_only=True)
class CoreOptions:
    """What differs between the surroundings that a node runs in.

    Parameters
    ----------
    timing : LeaseTiming or None
        Times of the lease protocol.
    journal : JournalOptions or None
        Options of the log client.
    checkpoints : CheckpointOptions or None
        Options of writing checkpoints.
    make_grants : GrantsMaker
        Makes the keeper of the upstream's grants.
    can_join : callable
        Whether there is an upstream to join with.
    is_past_over : callable or None
        Whether what earlier processes of this node granted has ended.
    limits : LimitOptions
        How the door's concurrency limit reacts.
    """

    timing: LeaseTiming | None = None
    journal: JournalOptions | None = None
    checkpoints: CheckpointOptions | None = None
    make_grants: GrantsMaker = GrantKeeper
    can_join: Callable[[], bool] = always
    is_past_over: Callable[[], bool] | None = None
    limits: LimitOptions = LimitOptions()


_DEFAULTS = CoreOptions()


def register_core(
    kernel: Kernel,
    place: NodePlace,
    edges: NodeEdges,
    *,
    joining: Joining,
    options: CoreOptions = _DEFAULTS,
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
    options : CoreOptions
        What differs between surroundings.
    """
    kernel.register('journal', _make_journal(place, edges, options))
    kernel.register(
        'membership',
        _make_membership(kernel, edges, joining, options),
        needs=('journal', 'peers', 'upstream'),
        is_started_here=False,
    )
    kernel.register(
        'door', _make_door(kernel, place, edges, options), needs=('lease',)
    )
    kernel.register(
        'lease',
        _make_lease(kernel, place, edges, options),
        needs=('membership',),
    )
    kernel.register(
        'witness', _make_witness(kernel, edges), needs=('membership',)
    )
    kernel.register(
        'router', _make_router(kernel, place, edges), needs=('door',)
    )
    board = LoadBoard(clock=edges.clock)
    board.register(edges.peers)
    kernel.register(
        'placement',
        _make_planner(kernel, edges, board),
        needs=('membership',),
    )
    kernel.register(
        'loads', _make_reporter(kernel, edges, board), needs=('door',)
    )
    kernel.register(
        'checkpoints',
        Checkpointer(
            client=kernel.find('journal', LogClient),
            clock=edges.clock,
            options=options.checkpoints,
        ),
        needs=('journal',),
    )
    joining.attach(kernel)
    kernel.register(
        'joining', joining, needs=('door', 'lease', 'witness', 'router')
    )


def _make_journal(
    place: NodePlace, edges: NodeEdges, options: CoreOptions
) -> LogClient:
    return LogClient(
        adapter=edges.log,
        clock=edges.clock,
        random_source=edges.random_source,
        node_id=place.node_id,
        port=edges.peers,
        options=options.journal,
    )


def _make_membership(
    kernel: Kernel,
    edges: NodeEdges,
    joining: Joining,
    options: CoreOptions,
) -> Membership:
    return Membership(
        clock=edges.clock,
        random_source=edges.random_source,
        journal=kernel.find('journal', LogClient),
        port=edges.peers,
        describe=joining.describe,
        timing=options.timing,
        can_join=options.can_join,
        is_past_over=options.is_past_over,
    )


def _make_door(
    kernel: Kernel, place: NodePlace, edges: NodeEdges, options: CoreOptions
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
        limits=options.limits,
    )


def _make_lease(
    kernel: Kernel, place: NodePlace, edges: NodeEdges, options: CoreOptions
) -> Ownership:
    return Ownership(
        clock=edges.clock,
        journal=kernel.find('journal', LogClient),
        port=edges.peers,
        membership=kernel.find('membership', Membership),
        upstream=edges.upstream,
        service=place.service,
        door=kernel.find('door', UpstreamDoor),
        make_grants=options.make_grants,
    )


def _make_witness(kernel: Kernel, edges: NodeEdges) -> WitnessDuty:
    return WitnessDuty(
        clock=edges.clock,
        port=edges.peers,
        journal=kernel.find('journal', LogClient),
        membership=kernel.find('membership', Membership),
        random_source=edges.random_source,
    )


def _make_reporter(
    kernel: Kernel, edges: NodeEdges, board: LoadBoard
) -> LoadReporter:
    door = kernel.find('door', UpstreamDoor)
    return LoadReporter(
        board=board,
        rates=door.shard_rates,
        load=lambda: door.load,
        fleet=kernel.find('journal', LogClient).fleet,
        membership=kernel.find('membership', Membership),
        port=edges.peers,
        clock=edges.clock,
    )


def _make_planner(
    kernel: Kernel, edges: NodeEdges, board: LoadBoard
) -> Planner:
    journal = kernel.find('journal', LogClient)
    return Planner(
        clock=edges.clock,
        journal=journal,
        fleet=journal.fleet,
        membership=kernel.find('membership', Membership),
        board=board,
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
