"""Assembly of the services of a node on the platform."""

import random
from functools import partial

from verbenadeck.entry import EntryOptions, EntryServer, make_request_reader
from verbenadeck.journal import LogClient
from verbenadeck.kernel import Kernel
from verbenadeck.lease import HeartbeatGrants
from verbenadeck.membership import Membership
from verbenadeck.metrics import Metrics, make_exposition
from verbenadeck.model import AnswerResult, Request, ServicePolicy
from verbenadeck.node import (
    MESSAGE_TYPES,
    AdapterCloser,
    CoreOptions,
    DepartureHandler,
    DepartureLog,
    FleetJoiner,
    NodeDependencies,
    NodeLocation,
    PlannedStop,
    register_core,
)
from verbenadeck.peers import PeerAddress, StreamTransport
from verbenadeck.platform import _options
from verbenadeck.platform._callers import make_caller_format
from verbenadeck.platform._control import METRICS_PORT, ControlServer
from verbenadeck.platform._heartbeats import ExpectedUpstream
from verbenadeck.platform._log import StoreLog
from verbenadeck.platform._operator import OperatorTopic
from verbenadeck.platform._operator_records import (
    make_operator_follower,
    make_records_handler,
)
from verbenadeck.platform._settings import PlatformSettings
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import Address
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.proxy import PolicyCache, UpstreamProxy
from verbenadeck.records import NodeJoin
from verbenadeck.router import ProxyRouter
from verbenadeck.routes import (
    CallerLimits,
    ConfigSync,
    OperatorState,
    RouteStore,
    ServiceConfig,
    make_service_selector,
)
from verbenadeck.utils import Clock


class PlatformNode:
    """Services of a node on the platform, registered in a kernel.

    Parameters
    ----------
    settings : PlatformSettings
        Checked settings of the node.
    stop : PlannedStop
        Begins a planned stop of the process and tells whether one has begun.

    Attributes
    ----------
    kernel : Kernel
        Starts and stops the services of the node.
    control : ControlServer
        Server for readiness checks, heartbeats and metrics.
    """

    def __init__(self, settings: PlatformSettings, stop: PlannedStop) -> None:
        self.kernel = Kernel()
        self._settings = settings
        self._stop = stop
        self._clock = Clock()
        self._random = random.Random()
        self._route_store = RouteStore()
        self._store = StoreClient(
            settings.store,
            clock=self._clock,
            count=lambda name: self._metrics.count(name),
        )
        self._upstream = PlatformUpstream(
            clock=self._clock,
            route_store=self._route_store,
            heartbeat_interval_s=settings.heartbeat_interval_s,
            latest_deadline_s=self._latest_deadline_s,
        )
        self._grants: HeartbeatGrants | None = None
        self._is_started = False
        self._metrics = Metrics(
            zone=settings.zone,
            known_services=lambda: self._journal.fleet.config.services,
        )
        self.control = self._make_control_server()
        self._fleet_joiner = FleetJoiner(
            upstream=self._upstream,
            describe_node=lambda announcement: self._make_node_join(
                announcement.instance, announcement.slots
            ),
        )
        self._register_services()

    def why_unready(self) -> str:
        """Return why the node accepts no requests, empty when it does."""
        journal = self._journal
        if self._stop.is_begun():
            return 'the node is leaving'
        if not self._is_started:
            return 'the node is starting'
        if self._route_store.state is None:
            return 'no routes have been received'
        if not journal.is_ready:
            return f'waits for {journal.blocked_on}'
        if not journal.fleet.members:
            return 'no member has joined'
        return ''

    def mark_started(self) -> None:
        """Record that all services have started."""
        self._is_started = True

    @property
    def _journal(self) -> LogClient:
        return self.kernel.find('journal', LogClient)

    def _make_control_server(self) -> ControlServer:
        settings = self._settings
        return ControlServer(
            addresses=(
                settings.ready,
                settings.heartbeats,
                Address(settings.ready.host, METRICS_PORT),
            ),
            upstream=self._upstream,
            expected=ExpectedUpstream(
                service=settings.service,
                address=settings.upstream,
                zone=settings.zone,
                key_space=_options.KEY_SPACE,
            ),
            count=self._metrics.count,
            why_unready=self.why_unready,
            read_metrics=make_exposition(self._metrics),
            limits=_options.make_control_limits(),
        )

    def _register_services(self) -> None:
        dependencies = self._make_dependencies()
        kernel = self.kernel
        kernel.register('store', AdapterCloser(self._store))
        kernel.register('peers', dependencies.peers, depends_on=('journal',))
        kernel.register('upstream', AdapterCloser(self._upstream))
        # Stops after the lease: heartbeats end the last grants of the lease.
        kernel.register(
            'control', self.control, depends_on=('store', 'upstream')
        )
        register_core(
            kernel,
            NodeLocation(
                node_id=self._settings.node_id,
                zone=self._settings.zone,
                region=self._settings.region,
                service=self._settings.service,
            ),
            dependencies,
            fleet_joiner=self._fleet_joiner,
            options=self._make_core_options(),
        )
        self._departures = DepartureLog(
            journal=self._journal,
            node_id=self._settings.node_id,
            clock=self._clock,
        )
        self._upstream.record_departure = self._departures.record
        self._register_operator_services(dependencies)
        entry = self._make_entry_server(dependencies)
        kernel.register('entry', entry, depends_on=('router', 'control'))
        self._route_store.subscribe(
            lambda state: entry.apply_options(self._make_entry_options(state))
        )

    def _register_operator_services(
        self, dependencies: NodeDependencies
    ) -> None:
        kernel = self.kernel
        journal = self._journal
        membership = kernel.find('membership', Membership)
        kernel.register(
            'operators',
            make_operator_follower(
                adapter=OperatorTopic(self._store, clock=self._clock),
                clock=self._clock,
                random_source=self._random,
                transport=dependencies.peers,
                planner=journal.make_planner(
                    _options.OPERATOR_READS.direct_readers
                ),
                options=_options.OPERATOR_READS,
                on_records=make_records_handler(self._route_store),
            ),
            depends_on=('store', 'peers'),
        )
        kernel.register(
            'documents',
            ConfigSync(
                route_store=self._route_store,
                journal=journal,
                membership=membership,
                clock=self._clock,
                make_policy=_make_policy,
                moves_per_minute=_options.MOVES_PER_MINUTE,
            ),
            depends_on=('operators', 'membership'),
        )
        departure = DepartureHandler(
            proxy=kernel.find('door', UpstreamProxy),
            membership=membership,
            clock=self._clock,
            last_heartbeat_at_s=lambda: self._upstream.last_heartbeat_at_s,
            mark_lost=self._upstream.mark_lost,
            silence_timeout_s=max(
                _options.LEASE_TIMING.lease_s,
                _options.HEARTBEAT_TIMEOUT_INTERVALS
                * self._settings.heartbeat_interval_s,
            ),
            close_after_s=max(
                0,
                self._settings.drain_timeout_s - _options.LAST_SEND_MARGIN_S,
            ),
            move_timeout_s=self._settings.drain_timeout_s
            * _options.DRAIN_MOVE_SHARE,
            departures=self._departures,
        )
        journal.new_history_listeners.append(departure.on_new_history)
        self._route_store.subscribe(self._on_operator_state)
        self._upstream.on_announce(departure.on_announce)
        self._upstream.on_departure(departure.on_departure)
        kernel.register(
            'departure', departure, depends_on=('door', 'membership')
        )

    def _on_operator_state(self, state: OperatorState) -> None:
        proxy = self.kernel.find('door', UpstreamProxy)
        proxy.set_zone_out(is_out=self._settings.zone in state.zones_out)

    def _make_dependencies(self) -> NodeDependencies:
        settings = self._settings
        return NodeDependencies(
            log=StoreLog(
                self._store,
                node_id=settings.node_id,
                clock=self._clock,
            ),
            upstream=self._upstream,
            peers=StreamTransport(
                PeerAddress(*settings.peer),
                message_types=MESSAGE_TYPES,
                clock=self._clock,
            ),
            clock=self._clock,
            random_source=self._random,
        )

    def _make_core_options(self) -> CoreOptions:
        make_heartbeat_grants = partial(
            HeartbeatGrants,
            key_space=_options.KEY_SPACE,
            max_hold_s=self._settings.max_hold_s,
        )

        def make_grants(**dependencies: object) -> HeartbeatGrants:
            grants = make_heartbeat_grants(**dependencies)  # type: ignore[arg-type]
            self._grants = grants
            self._upstream.hold_handler = grants.holds_for
            return grants

        link_bytes_per_s = self._settings.link_bytes_per_s
        return CoreOptions(
            timing=_options.LEASE_TIMING,
            journal=_options.JOURNAL_OPTIONS,
            checkpoints=_options.CHECKPOINT_OPTIONS,
            make_grants=make_grants,
            can_join=self._can_join,
            are_earlier_grants_over=self._are_earlier_grants_over,
            limits=_options.LIMIT_OPTIONS,
            queue=_options.QUEUE_OPTIONS,
            link_bytes_per_s=None
            if link_bytes_per_s is None
            else link_bytes_per_s * _options.LINK_SHARE_FOR_BODIES,
            count=self._metrics.count,
            router=_options.make_router_options(self._settings),
        )

    def _can_join(self) -> bool:
        announcement = self._fleet_joiner.announcement
        return (
            self._upstream.is_usable
            and announcement is not None
            and not self._departures.has_left(announcement.instance)
        )

    def _are_earlier_grants_over(self) -> bool:
        return self._grants is not None and self._grants.are_earlier_grants_over

    def _make_node_join(self, instance: str, slots: int) -> NodeJoin:
        settings = self._settings
        return NodeJoin(
            node_id=settings.node_id,
            zone=settings.zone,
            region=settings.region,
            service=settings.service,
            slots=slots,
            host=settings.peer.host,
            peer_port=settings.peer.port,
            entry_port=settings.entry.port,
            upstream_instance=instance,
        )

    def _make_entry_server(self, dependencies: NodeDependencies) -> EntryServer:
        settings = self._settings
        metrics = self._metrics
        fleet = self._journal.fleet
        policies = PolicyCache(
            fleet=fleet,
            clock=dependencies.clock,
            zone=settings.zone,
            upstream=settings.node_id,
        )

        def record_request(
            request: Request, result: AnswerResult, time_s: float
        ) -> None:
            metrics.observe(request.service, result, time_s)

        return EntryServer(
            router=self.kernel.find('router', ProxyRouter),
            read_request=make_request_reader(
                policy_of=policies.policy,
                clock=dependencies.clock,
                source=dependencies.random_source,
                latest_deadline_s=self._latest_deadline_s,
            ),
            caller_format=make_caller_format(
                route_store=self._route_store,
                pick_service=make_service_selector(),
                own_service=lambda: settings.service,
            ),
            clock=dependencies.clock,
            on_result=record_request,
            is_leaving=self._stop.is_begun,
            count=metrics.count,
            options=self._make_entry_options(self._route_store.state),
        )

    def _latest_deadline_s(self) -> float:
        return self._stop.deadline_s - _options.LAST_ANSWER_MARGIN_S

    def _make_entry_options(self, state: OperatorState | None) -> EntryOptions:
        limits = CallerLimits() if state is None else state.limits
        return EntryOptions(
            host=self._settings.entry.host,
            port=self._settings.entry.port,
            body_limit_bytes=limits.max_body_bytes,
            held_bodies_limit_bytes=_options.HELD_BODIES_LIMIT_BYTES,
            idle_timeout_s=limits.idle_timeout_s,
            header_timeout_s=limits.header_timeout_s,
            header_limit_bytes=limits.max_header_bytes,
            close_after_s=_options.ENTRY_CLOSE_AFTER_S,
            refuses_when_stopping=True,
        )


def _make_policy(service_config: ServiceConfig) -> ServicePolicy:
    return ServicePolicy(
        is_keyed=service_config.is_keyed,
        shard_count=_options.SHARD_COUNT,
        key_space=_options.KEY_SPACE if service_config.is_keyed else 0,
        has_ledger_shards=False,
        has_ledger_copies=False,
        hedge_ratio=0,
        ledger_keep_s=60,
    )
