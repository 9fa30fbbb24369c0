"""Assembly of a node from its settings."""

import random
from collections.abc import Callable

from returns.result import Result

from verbenadeck.adapters import (
    CALLER_FORMATS,
    LOG_FORMATS,
    UPSTREAM_FORMATS,
    AnnouncedUpstream,
    Announcement,
)
from verbenadeck.admin import (
    AdminOptions,
    AdminServer,
    AdminViews,
    NodeIdentity,
    OwnerError,
    OwnerStatus,
    UpstreamStatus,
    find_owner,
    make_owner_hint,
    make_status_gauges,
    make_status_reader,
    upstream_status,
)
from verbenadeck.door import PolicyReader, UpstreamDoor
from verbenadeck.entry import Entry, EntryOptions, make_request_reader
from verbenadeck.fleet import FleetState
from verbenadeck.journal import LogClient
from verbenadeck.kernel import Kernel
from verbenadeck.membership import LeaseTiming, Membership
from verbenadeck.metrics import Metrics, make_exposition
from verbenadeck.model import AnswerResult, Request
from verbenadeck.node._closing import Closing
from verbenadeck.node._core import (
    MESSAGES,
    CoreOptions,
    NodeEdges,
    NodePlace,
    register_core,
)
from verbenadeck.node._joining import Joining
from verbenadeck.node._planned_stop import PlannedStop
from verbenadeck.peers import PeerAddress, StreamPort
from verbenadeck.records import NodeJoin
from verbenadeck.router import DoorRouter
from verbenadeck.settings import LeaseSettings, NodeSettings
from verbenadeck.utils import Clock

_LEASE_SHARE_FRESH = 0.6


def build_node(settings: NodeSettings, *, stop: PlannedStop) -> Kernel:
    """Return the kernel of a node with all its services registered.

    Parameters
    ----------
    settings : NodeSettings
        Settings; ports of 0 take free ones.
    stop : PlannedStop
        Planned stop of the process.
    """
    kernel = Kernel()
    place = NodePlace(
        node_id=settings.node_id,
        zone=settings.zone,
        region=settings.region,
        service=settings.service,
    )
    upstream = UPSTREAM_FORMATS[settings.upstream.adapter](clock=Clock())
    edges = _make_edges(settings, upstream)
    kernel.register('peers', edges.peers, needs=('journal',))
    kernel.register('upstream', Closing(upstream))
    joining = Joining(
        upstream=upstream, describe_node=_make_describe(kernel, settings)
    )
    register_core(
        kernel,
        place,
        edges,
        joining=joining,
        options=CoreOptions(timing=_timing(settings.lease)),
    )
    metrics = _make_metrics(kernel, settings)
    views = _make_views(kernel, settings, joining, upstream, metrics, stop)
    kernel.register(
        'admin',
        AdminServer(views=views, options=_admin_options(settings)),
        needs=('membership', 'lease'),
    )
    kernel.register(
        'entry',
        _make_entry(kernel, settings, edges, metrics, stop),
        needs=('router', 'admin'),
    )
    return kernel


def _make_edges(
    settings: NodeSettings, upstream: AnnouncedUpstream
) -> NodeEdges:
    clock = Clock()
    make_log = LOG_FORMATS[settings.log.adapter]
    return NodeEdges(
        log=make_log(
            url=settings.log.url, stream=settings.log.stream, clock=clock
        ),
        upstream=upstream,
        peers=StreamPort(
            PeerAddress(settings.host, settings.peer_port),
            kinds=MESSAGES,
            clock=clock,
        ),
        clock=clock,
        random_source=random.Random(),
    )


def _timing(lease: LeaseSettings) -> LeaseTiming:
    return LeaseTiming(
        lease_s=lease.lease_s,
        drift_margin=lease.drift_margin_s / lease.lease_s,
        heartbeat_s=lease.heartbeat_interval_s,
        fresh_s=lease.lease_s * _LEASE_SHARE_FRESH,
    )


def _make_describe(
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
            peer_port=kernel.find('peers', StreamPort).address.port,
            entry_port=kernel.find('entry', Entry).port,
            upstream_instance=announcement.instance,
            admin_port=kernel.find('admin', AdminServer).port,
        )

    return describe


def _fleet(kernel: Kernel) -> FleetState:
    return kernel.find('journal', LogClient).fleet


def _make_metrics(kernel: Kernel, settings: NodeSettings) -> Metrics:
    fleet = _fleet(kernel)
    return Metrics(
        zone=settings.zone, known_services=lambda: fleet.config.services
    )


def _make_views(
    kernel: Kernel,
    settings: NodeSettings,
    joining: Joining,
    upstream: AnnouncedUpstream,
    metrics: Metrics,
    stop: PlannedStop,
) -> AdminViews:
    journal = kernel.find('journal', LogClient)
    fleet = journal.fleet
    membership = kernel.find('membership', Membership)
    door = kernel.find('door', UpstreamDoor)

    def read_upstream() -> UpstreamStatus:
        announcement = joining.announcement
        if announcement is None:
            return upstream_status('', None)
        return upstream_status(announcement.instance, door.load)

    def why_unready() -> str:
        if stop.is_begun():
            return 'the node is leaving'
        if journal.waits_for:
            return f'waits for {journal.waits_for}'
        if joining.announcement is None:
            return 'the upstream has not announced itself'
        if membership.member is None:
            return 'the node has not joined'
        if not fleet.config_version:
            return 'no configuration is published'
        return ''

    def find(service: str, key: str) -> Result[OwnerStatus, OwnerError]:
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
        why_unready=why_unready,
    )
    metrics.gauge_group(make_status_gauges(read_status, lambda: journal.age_s))
    return AdminViews(
        read_status=read_status,
        read_metrics=make_exposition(metrics),
        find_owner=find,
        announce=upstream.announce,
        drain=stop.begin,
    )


def _admin_options(settings: NodeSettings) -> AdminOptions:
    return AdminOptions(
        host=settings.host,
        port=settings.admin_port,
        announce_path=settings.upstream.announce_path,
    )


def _make_entry(
    kernel: Kernel,
    settings: NodeSettings,
    edges: NodeEdges,
    metrics: Metrics,
    stop: PlannedStop,
) -> Entry:
    fleet = _fleet(kernel)
    policies = PolicyReader(
        fleet=fleet,
        clock=edges.clock,
        zone=settings.zone,
        upstream=settings.node_id,
    )

    vocabulary = CALLER_FORMATS[settings.callers.adapter]

    def observe(request: Request, result: AnswerResult, time_s: float) -> None:
        metrics.observe(request.service, result, time_s)

    return Entry(
        router=kernel.find('router', DoorRouter),
        read_request=make_request_reader(
            policy_of=policies.policy,
            clock=edges.clock,
            source=edges.random_source,
        ),
        vocabulary=vocabulary,
        clock=edges.clock,
        observe=observe,
        owner_hint=make_owner_hint(fleet, vocabulary.write_owner),
        is_leaving=lambda: (
            stop.is_begun() or settings.zone in fleet.config.zones_out
        ),
        options=EntryOptions(
            host=settings.host,
            port=settings.entry_port,
            body_limit_bytes=settings.callers.body_limit_bytes,
            idle_timeout_s=settings.callers.idle_timeout_s,
        ),
    )
