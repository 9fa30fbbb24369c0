"""Services of a node between its adapters: all but HTTP."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from verbenadeck import journal as journal_package
from verbenadeck import lease as lease_package
from verbenadeck import membership as membership_package
from verbenadeck import placement as placement_package
from verbenadeck import proxy as proxy_package
from verbenadeck.adapters import LogAdapter, UpstreamAdapter
from verbenadeck.journal import (
    Checkpointer,
    CheckpointOptions,
    JournalOptions,
    LogClient,
)
from verbenadeck.kernel import Kernel
from verbenadeck.lease import (
    GrantsFactory,
    LeaseWitness,
    Ownership,
    PushedGrants,
)
from verbenadeck.membership import LeaseTiming, Membership
from verbenadeck.model import NodeId, Region, ServiceName, Zone
from verbenadeck.node._fleet_joiner import FleetJoiner
from verbenadeck.node._ownership_by_name import OwnershipByName
from verbenadeck.peers import PeerTransport
from verbenadeck.placement import LoadReporter, LoadTable, Planner
from verbenadeck.proxy import LimitOptions, UpstreamProxy
from verbenadeck.router import ProxyRouter
from verbenadeck.utils import Clock, always_true

MESSAGE_TYPES = (
    *proxy_package.MESSAGE_TYPES,
    *journal_package.MESSAGE_TYPES,
    *lease_package.MESSAGE_TYPES,
    *membership_package.MESSAGE_TYPES,
    *placement_package.MESSAGE_TYPES,
)
"""All message types between nodes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeLocation:
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
class NodeDependencies:
    """What a node touches: the log, its upstream, peers, time and chance.

    Parameters
    ----------
    log : LogAdapter
        Platform's log.
    upstream : UpstreamAdapter
        Upstream beside the node.
    peers : PeerTransport
        Other nodes.
    clock : Clock
        Clock of the VM.
    random_source : random.Random
        Source of random choices.
    """

    log: LogAdapter
    upstream: UpstreamAdapter
    peers: PeerTransport
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
    make_grants : GrantsFactory
        Makes the keeper of the upstream's grants.
    can_join : callable
        Whether there is an upstream to join with.
    are_earlier_grants_over : callable or None
        Whether what earlier processes of this node granted has ended.
    limits : LimitOptions
        How the door's concurrency limit reacts.
    """

    timing: LeaseTiming | None = None
    journal: JournalOptions | None = None
    checkpoints: CheckpointOptions | None = None
    make_grants: GrantsFactory = PushedGrants
    can_join: Callable[[], bool] = always_true
    are_earlier_grants_over: Callable[[], bool] | None = None
    limits: LimitOptions = LimitOptions()


_DEFAULTS = CoreOptions()


def register_core(
    kernel: Kernel,
    location: NodeLocation,
    dependencies: NodeDependencies,
    *,
    fleet_joiner: FleetJoiner,
    options: CoreOptions = _DEFAULTS,
) -> None:
    """Register the services that decide, in a kernel.

    Parameters
    ----------
    kernel : Kernel
        Kernel that gets the services.
    location : NodeLocation
        Name and place of the node.
    dependencies : NodeDependencies
        What the node touches.
    fleet_joiner : FleetJoiner
        What the node says of itself when it joins.
    options : CoreOptions
        What differs between surroundings.
    """
    kernel.register('journal', _make_journal(location, dependencies, options))
    kernel.register(
        'membership',
        _make_membership(kernel, dependencies, fleet_joiner, options),
        depends_on=('journal', 'peers', 'upstream'),
        is_auto_started=False,
    )
    kernel.register(
        'door',
        _make_proxy(kernel, location, dependencies, options),
        depends_on=('lease',),
    )
    kernel.register(
        'lease',
        _make_lease(kernel, location, dependencies, options),
        depends_on=('membership',),
    )
    kernel.register(
        'witness',
        _make_witness(kernel, dependencies),
        depends_on=('membership',),
    )
    kernel.register(
        'router',
        _make_router(kernel, location, dependencies),
        depends_on=('door',),
    )
    load_table = LoadTable(clock=dependencies.clock)
    load_table.register(dependencies.peers)
    kernel.register(
        'placement',
        _make_planner(kernel, dependencies, load_table),
        depends_on=('membership',),
    )
    kernel.register(
        'loads',
        _make_reporter(kernel, dependencies, load_table),
        depends_on=('door',),
    )
    kernel.register(
        'checkpoints',
        Checkpointer(
            client=kernel.find('journal', LogClient),
            clock=dependencies.clock,
            options=options.checkpoints,
        ),
        depends_on=('journal',),
    )
    fleet_joiner.attach(kernel)
    kernel.register(
        'joining',
        fleet_joiner,
        depends_on=('door', 'lease', 'witness', 'router'),
    )


def _make_journal(
    location: NodeLocation, dependencies: NodeDependencies, options: CoreOptions
) -> LogClient:
    return LogClient(
        adapter=dependencies.log,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
        node_id=location.node_id,
        transport=dependencies.peers,
        options=options.journal,
    )


def _make_membership(
    kernel: Kernel,
    dependencies: NodeDependencies,
    fleet_joiner: FleetJoiner,
    options: CoreOptions,
) -> Membership:
    return Membership(
        clock=dependencies.clock,
        random_source=dependencies.random_source,
        journal=kernel.find('journal', LogClient),
        transport=dependencies.peers,
        describe_node=fleet_joiner.describe,
        timing=options.timing,
        can_join=options.can_join,
        are_earlier_grants_over=options.are_earlier_grants_over,
    )


def _make_proxy(
    kernel: Kernel,
    location: NodeLocation,
    dependencies: NodeDependencies,
    options: CoreOptions,
) -> UpstreamProxy:
    membership = kernel.find('membership', Membership)
    return UpstreamProxy(
        node_id=location.node_id,
        zone=location.zone,
        incarnation=lambda: membership.incarnation,
        upstream=dependencies.upstream,
        ownership=OwnershipByName(kernel),
        fleet=kernel.find('journal', LogClient).fleet,
        peers=dependencies.peers,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
        limits=options.limits,
    )


def _make_lease(
    kernel: Kernel,
    location: NodeLocation,
    dependencies: NodeDependencies,
    options: CoreOptions,
) -> Ownership:
    return Ownership(
        clock=dependencies.clock,
        journal=kernel.find('journal', LogClient),
        transport=dependencies.peers,
        membership=kernel.find('membership', Membership),
        upstream=dependencies.upstream,
        service=location.service,
        proxy=kernel.find('door', UpstreamProxy),
        make_grants=options.make_grants,
    )


def _make_witness(
    kernel: Kernel, dependencies: NodeDependencies
) -> LeaseWitness:
    return LeaseWitness(
        clock=dependencies.clock,
        transport=dependencies.peers,
        journal=kernel.find('journal', LogClient),
        membership=kernel.find('membership', Membership),
        random_source=dependencies.random_source,
    )


def _make_reporter(
    kernel: Kernel, dependencies: NodeDependencies, load_table: LoadTable
) -> LoadReporter:
    proxy = kernel.find('door', UpstreamProxy)
    return LoadReporter(
        load_table=load_table,
        rates=proxy.shard_rates,
        load=lambda: proxy.load,
        fleet=kernel.find('journal', LogClient).fleet,
        membership=kernel.find('membership', Membership),
        transport=dependencies.peers,
        clock=dependencies.clock,
    )


def _make_planner(
    kernel: Kernel, dependencies: NodeDependencies, load_table: LoadTable
) -> Planner:
    journal = kernel.find('journal', LogClient)
    return Planner(
        clock=dependencies.clock,
        journal=journal,
        fleet=journal.fleet,
        membership=kernel.find('membership', Membership),
        load_table=load_table,
    )


def _make_router(
    kernel: Kernel, location: NodeLocation, dependencies: NodeDependencies
) -> ProxyRouter:
    return ProxyRouter(
        node_id=location.node_id,
        zone=location.zone,
        proxy=kernel.find('door', UpstreamProxy),
        fleet=kernel.find('journal', LogClient).fleet,
        peers=dependencies.peers,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
    )
