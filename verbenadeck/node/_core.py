"""Registration of the services of a node, apart from HTTP and adapters."""

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
from verbenadeck.node._late_bound_ownership import LateBoundOwnership
from verbenadeck.peers import PeerTransport
from verbenadeck.placement import LoadReporter, LoadTable, Planner
from verbenadeck.proxy import LimitOptions, QueueOptions, UpstreamProxy
from verbenadeck.router import ProxyRouter, RouterOptions
from verbenadeck.utils import Clock, always_true, ignore_name

MESSAGE_TYPES = (
    *proxy_package.MESSAGE_TYPES,
    *journal_package.MESSAGE_TYPES,
    *lease_package.MESSAGE_TYPES,
    *membership_package.MESSAGE_TYPES,
    *placement_package.MESSAGE_TYPES,
)
"""Types of all messages that nodes exchange."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeLocation:
    """Identity and location of a node.

    Parameters
    ----------
    node_id : NodeId
        Identifier of the node.
    zone, region : str
        Availability zone and region that the node runs in.
    service : ServiceName
        Service of the upstream of the node.
    """

    node_id: NodeId
    zone: Zone
    region: Region
    service: ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeDependencies:
    """External dependencies of the services of a node.

    Parameters
    ----------
    log : LogAdapter
        Adapter of the shared log.
    upstream : UpstreamAdapter
        Adapter of the upstream of the node.
    peers : PeerTransport
        Transport to other nodes.
    clock : Clock
        Clock of the VM.
    random_source : random.Random
        Random number generator.
    """

    log: LogAdapter
    upstream: UpstreamAdapter
    peers: PeerTransport
    clock: Clock
    random_source: random.Random


@dataclass(frozen=True, slots=True, kw_only=True)
class CoreOptions:
    """Options of the core services that depend on the deployment.

    Parameters
    ----------
    timing : LeaseTiming or None
        Durations of the lease protocol; defaults apply with None.
    journal : JournalOptions or None
        Options of the log client; defaults apply with None.
    checkpoints : CheckpointOptions or None
        Options of writing checkpoints; defaults apply with None.
    make_grants : GrantsFactory
        Returns the object that manages the grants of the upstream.
    can_join : callable
        Returns whether an upstream is present, so that the node can join.
    are_earlier_grants_over : callable or None
        Returns whether all grants by earlier processes of this node have
        ended; with None, they have one lease duration after the start.
    limits : LimitOptions
        Options of the concurrency limit of the proxy.
    queue : QueueOptions
        Options of the queue of the proxy.
    link_bytes_per_s : float or None
        Rate in bytes per second at which large bodies may arrive from other
        nodes. With a rate, this node reserves transfers of large bodies to
        other nodes; None for neither.
    count : callable
        Adds one to the counter with the given name.
    router : RouterOptions
        Options of the router.
    """

    timing: LeaseTiming | None = None
    journal: JournalOptions | None = None
    checkpoints: CheckpointOptions | None = None
    make_grants: GrantsFactory = PushedGrants
    can_join: Callable[[], bool] = always_true
    are_earlier_grants_over: Callable[[], bool] | None = None
    limits: LimitOptions = LimitOptions()
    queue: QueueOptions = QueueOptions()
    link_bytes_per_s: float | None = None
    count: Callable[[str], None] = ignore_name
    router: RouterOptions = RouterOptions()


_DEFAULT_CORE_OPTIONS = CoreOptions()


def register_core(
    kernel: Kernel,
    location: NodeLocation,
    dependencies: NodeDependencies,
    *,
    fleet_joiner: FleetJoiner,
    options: CoreOptions = _DEFAULT_CORE_OPTIONS,
) -> None:
    """Register the core services of a node in a kernel.

    Parameters
    ----------
    kernel : Kernel
        Kernel to register the services in.
    location : NodeLocation
        Identity and location of the node.
    dependencies : NodeDependencies
        External dependencies of the services.
    fleet_joiner : FleetJoiner
        Service that joins the fleet and describes the node.
    options : CoreOptions
        Options that depend on the deployment.
    """
    kernel.register(
        'journal', _make_log_client(location, dependencies, options)
    )
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
        _make_router(kernel, location, dependencies, options),
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
        _make_load_reporter(kernel, dependencies, load_table),
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


def _make_log_client(
    location: NodeLocation, dependencies: NodeDependencies, options: CoreOptions
) -> LogClient:
    return LogClient(
        adapter=dependencies.log,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
        node_id=location.node_id,
        transport=dependencies.peers,
        options=options.journal,
        count=options.count,
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
        ownership=LateBoundOwnership(kernel),
        fleet=kernel.find('journal', LogClient).fleet,
        peers=dependencies.peers,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
        limits=options.limits,
        queue=options.queue,
        link_bytes_per_s=options.link_bytes_per_s,
        count=options.count,
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
        random_source=dependencies.random_source,
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


def _make_load_reporter(
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
    log_client = kernel.find('journal', LogClient)
    return Planner(
        clock=dependencies.clock,
        journal=log_client,
        fleet=log_client.fleet,
        membership=kernel.find('membership', Membership),
        load_table=load_table,
    )


def _make_router(
    kernel: Kernel,
    location: NodeLocation,
    dependencies: NodeDependencies,
    options: CoreOptions,
) -> ProxyRouter:
    return ProxyRouter(
        node_id=location.node_id,
        zone=location.zone,
        proxy=kernel.find('door', UpstreamProxy),
        fleet=kernel.find('journal', LogClient).fleet,
        peers=dependencies.peers,
        clock=dependencies.clock,
        random_source=dependencies.random_source,
        reserves_transfers=options.link_bytes_per_s is not None,
        options=options.router,
    )
