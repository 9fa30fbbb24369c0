"""Assembly of the services of a node from its settings."""

import random
from collections.abc import Callable

from returns.result import Result

from verbenadeck.adapters import (
    CALLER_FORMATS,
    LOG_ADAPTERS,
    UPSTREAM_ADAPTERS,
    AnnouncedUpstream,
    Announcement,
)
from verbenadeck.admin import (
    AdminHandlers,
    AdminOptions,
    AdminServer,
    NodeIdentity,
    OwnerError,
    OwnerStatus,
    UpstreamStatus,
    find_owner,
    make_owner_hint,
    make_status_gauges,
    make_status_reader,
    make_upstream_status,
)
from verbenadeck.entry import EntryOptions, EntryServer, make_request_reader
from verbenadeck.fleet import FleetState
from verbenadeck.journal import LogClient
from verbenadeck.kernel import Kernel
from verbenadeck.membership import LeaseTiming, Membership
from verbenadeck.metrics import Metrics, make_exposition
from verbenadeck.model import AnswerResult, Request
from verbenadeck.node import (
    MESSAGE_TYPES,
    AdapterCloser,
    CoreOptions,
    FleetJoiner,
    NodeDependencies,
    NodeLocation,
    PlannedStop,
    register_core,
)
from verbenadeck.peers import PeerAddress, StreamTransport
from verbenadeck.proxy import PolicyCache, UpstreamProxy
from verbenadeck.records import NodeJoin
from verbenadeck.router import ProxyRouter
from verbenadeck.settings import LeaseSettings, NodeSettings
from verbenadeck.utils import Clock

_MAX_VOTER_LEASE_AGE_RATIO = 0.6
"""Maximum age of the lease of a node that votes, as a ratio of `lease_s`."""


def build_node(settings: NodeSettings, *, stop: PlannedStop) -> Kernel:
    """Return the kernel of a node with all its services registered.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings; a port of 0 selects a free one.
    stop : PlannedStop
        Handle of the planned stop of the process.

    Returns
    -------
    Kernel
        The kernel, not started yet.
    """
    kernel = Kernel()
    location = NodeLocation(
        node_id=settings.node_id,
        zone=settings.zone,
        region=settings.region,
        service=settings.service,
    )
    upstream = UPSTREAM_ADAPTERS[settings.upstream.adapter](clock=Clock())
    dependencies = _make_dependencies(settings, upstream)
    kernel.register('peers', dependencies.peers, depends_on=('journal',))
    kernel.register('upstream', AdapterCloser(upstream))
    fleet_joiner = FleetJoiner(
        upstream=upstream,
        describe_node=_make_join_record_factory(kernel, settings),
    )
    register_core(
        kernel,
        location,
        dependencies,
        fleet_joiner=fleet_joiner,
        options=CoreOptions(timing=_make_lease_timing(settings.lease)),
    )
    metrics = _make_metrics(kernel, settings)
    handlers = _make_handlers(
        kernel, settings, fleet_joiner, upstream, metrics, stop
    )
    kernel.register(
        'admin',
        AdminServer(
            handlers=handlers,
            options=_make_admin_options(settings),
            count=metrics.count,
        ),
        depends_on=('membership', 'lease'),
    )
    kernel.register(
        'entry',
        _make_entry(kernel, settings, dependencies, metrics, stop),
        depends_on=('router', 'admin'),
    )
    return kernel


def _make_dependencies(
    settings: NodeSettings, upstream: AnnouncedUpstream
) -> NodeDependencies:
    clock = Clock()
    make_log = LOG_ADAPTERS[settings.log.adapter]
    return NodeDependencies(
        log=make_log(
            url=settings.log.url, stream=settings.log.stream, clock=clock
        ),
        upstream=upstream,
        peers=StreamTransport(
            PeerAddress(settings.host, settings.peer_port),
            message_types=MESSAGE_TYPES,
            clock=clock,
        ),
        clock=clock,
        random_source=random.Random(),
    )


def _make_lease_timing(lease: LeaseSettings) -> LeaseTiming:
    return LeaseTiming(
        lease_s=lease.lease_s,
        drift_margin=lease.drift_margin_s / lease.lease_s,
        heartbeat_interval_s=lease.heartbeat_interval_s,
        max_voter_lease_age_s=lease.lease_s * _MAX_VOTER_LEASE_AGE_RATIO,
    )


def _make_join_record_factory(
    kernel: Kernel, settings: NodeSettings
) -> Callable[[Announcement], NodeJoin]:
    def describe(announcement: Announcement) -> NodeJoin:
        return NodeJoin(
            node_id=settings.node_id,
            zone=settings.zone,
            region=settings.region,
            service=settings.service,
            slots=announcement.slots,
            host=settings.host,
            peer_port=kernel.find('peers', StreamTransport).address.port,
            entry_port=kernel.find('entry', EntryServer).port,
            upstream_instance=announcement.instance,
            admin_port=kernel.find('admin', AdminServer).port,
        )

    return describe


def _find_fleet_state(kernel: Kernel) -> FleetState:
    return kernel.find('journal', LogClient).fleet


def _make_metrics(kernel: Kernel, settings: NodeSettings) -> Metrics:
    fleet = _find_fleet_state(kernel)
    return Metrics(
        zone=settings.zone, known_services=lambda: fleet.config.services
    )


def _make_handlers(
    kernel: Kernel,
    settings: NodeSettings,
    fleet_joiner: FleetJoiner,
    upstream: AnnouncedUpstream,
    metrics: Metrics,
    stop: PlannedStop,
) -> AdminHandlers:
    log_client = kernel.find('journal', LogClient)
    fleet = log_client.fleet
    membership = kernel.find('membership', Membership)
    proxy = kernel.find('door', UpstreamProxy)

    def read_upstream() -> UpstreamStatus:
        announcement = fleet_joiner.announcement
        if announcement is None:
            return make_upstream_status('', None)
        return make_upstream_status(announcement.instance, proxy.load)

    def get_unready_reason() -> str:
        if stop.is_begun():
            return 'the node is leaving'
        if log_client.blocked_on:
            return f'waits for {log_client.blocked_on}'
        if fleet_joiner.announcement is None:
            return 'the upstream has not announced itself'
        if membership.member is None:
            return 'the node has not joined'
        if not fleet.config_version:
            return 'no configuration is published'
        return ''

    def find_key_owner(
        service: str, key: str
    ) -> Result[OwnerStatus, OwnerError]:
        return find_owner(fleet, service, key)

    read_status = make_status_reader(
        identity=NodeIdentity(
            settings.node_id,
            settings.zone,
            settings.region,
            settings.service,
        ),
        fleet=fleet,
        clock=Clock(),
        incarnation=lambda: membership.incarnation,
        lease_deadline_s=lambda: membership.lease_deadline_s,
        upstream=read_upstream,
        why_unready=get_unready_reason,
    )
    metrics.register_gauge_group(
        make_status_gauges(read_status, lambda: log_client.age_s)
    )
    return AdminHandlers(
        read_status=read_status,
        read_metrics=make_exposition(metrics),
        find_owner=find_key_owner,
        announce=upstream.announce,
        drain=stop.begin,
    )


def _make_admin_options(settings: NodeSettings) -> AdminOptions:
    return AdminOptions(
        host=settings.host,
        port=settings.admin_port,
        announce_path=settings.upstream.announce_path,
    )


def _make_entry(
    kernel: Kernel,
    settings: NodeSettings,
    dependencies: NodeDependencies,
    metrics: Metrics,
    stop: PlannedStop,
) -> EntryServer:
    fleet = _find_fleet_state(kernel)
    policies = PolicyCache(
        fleet=fleet,
        clock=dependencies.clock,
        zone=settings.zone,
        upstream=settings.node_id,
    )

    caller_format = CALLER_FORMATS[settings.callers.adapter]

    def observe(request: Request, result: AnswerResult, time_s: float) -> None:
        metrics.observe(request.service, result, time_s)

    return EntryServer(
        router=kernel.find('router', ProxyRouter),
        read_request=make_request_reader(
            policy_of=policies.policy,
            clock=dependencies.clock,
            source=dependencies.random_source,
        ),
        caller_format=caller_format,
        clock=dependencies.clock,
        on_result=observe,
        owner_hint=make_owner_hint(fleet, caller_format.write_owner_hint),
        is_leaving=lambda: (
            stop.is_begun() or settings.zone in fleet.config.zones_out
        ),
        count=metrics.count,
        options=EntryOptions(
            host=settings.host,
            port=settings.entry_port,
            body_limit_bytes=settings.callers.body_limit_bytes,
            idle_timeout_s=settings.callers.idle_timeout_s,
        ),
    )
