"""Assembly of a node on the platform."""

import random
from functools import partial

from verbenadeck.door import PolicyReader, UpstreamDoor
from verbenadeck.entry import Entry, EntryOptions, make_request_reader
from verbenadeck.journal import LogClient, StreamFollower
from verbenadeck.kernel import Kernel
from verbenadeck.lease import BeatGrants
from verbenadeck.membership import Membership
from verbenadeck.metrics import Metrics, make_exposition
from verbenadeck.model import AnswerResult, Request, ServicePolicy
from verbenadeck.node import (
    MESSAGES,
    Closing,
    CoreOptions,
    Departure,
    Joining,
    NodeEdges,
    NodePlace,
    PlannedStop,
    register_core,
)
from verbenadeck.peers import PeerAddress, StreamPort
from verbenadeck.platform import _options
from verbenadeck.platform._callers import make_caller_format
from verbenadeck.platform._control import METRICS_PORT, ControlServer
from verbenadeck.platform._log import StoreLog
from verbenadeck.platform._operator import OperatorTopic, make_records_taker
from verbenadeck.platform._settings import PlatformSettings
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform._units import Address
from verbenadeck.platform._upstream import PlatformUpstream
from verbenadeck.records import NodeJoin
from verbenadeck.router import DoorRouter
from verbenadeck.routes import (
    DocumentSync,
    OperatorState,
    RouteBook,
    ServiceTerms,
    make_splitter,
)
from verbenadeck.utils import Clock


class PlatformNode:
    """Kernel of a node on the platform, with what its daemon needs.

    Parameters
    ----------
    settings : PlatformSettings
        Settings.
    stop : PlannedStop
        Planned stop of the process.
    """

    def __init__(self, settings: PlatformSettings, stop: PlannedStop) -> None:
        self.kernel = Kernel()
        self._settings = settings
        self._stop = stop
        self._clock = Clock()
        self._random = random.Random()
        self._book = RouteBook()
        self._store = StoreClient(settings.store, clock=self._clock)
        self._upstream = PlatformUpstream(clock=self._clock, book=self._book)
        self._grants: BeatGrants | None = None
        self._is_started = False
        self._metrics = Metrics(
            zone=settings.zone,
            known_services=lambda: self._journal.fleet.config.services,
        )
        self.control = self._make_control()
        self._joining = Joining(
            upstream=self._upstream,
            describe_node=lambda told: self._describe(
                told.instance, told.slots
            ),
        )
        self._register()

    def why_unready(self) -> str:
        """Return why the node takes no requests, empty when it does."""
        journal = self._journal
        if self._stop.is_begun():
            return 'the node is leaving'
        if not self._is_started:
            return 'the node starts'
        if self._book.state is None:
            return 'no routes are known'
        if not journal.is_ready:
            return f'waits for {journal.waits_for}'
        if not journal.fleet.members:
            return 'no member has joined'
        return ''

    def note_started(self) -> None:
        """Note that all services have started."""
        self._is_started = True

    @property
    def _journal(self) -> LogClient:
        return self.kernel.find('journal', LogClient)

    def _make_control(self) -> ControlServer:
        settings = self._settings
        return ControlServer(
            addresses=(
                settings.ready,
                settings.heartbeats,
                Address(settings.ready.host, METRICS_PORT),
            ),
            upstream=self._upstream,
            expected=settings.upstream,
            why_unready=self.why_unready,
            read_metrics=make_exposition(self._metrics),
        )

    def _register(self) -> None:
        edges = self._edges()
        kernel = self.kernel
        kernel.register('store', Closing(self._store))
        kernel.register('peers', edges.peers, needs=('journal',))
        kernel.register('upstream', Closing(self._upstream))
        # Stops after the lease, whose last grants end by heartbeats.
        kernel.register('control', self.control, needs=('store', 'upstream'))
        register_core(
            kernel,
            NodePlace(
                node_id=self._settings.node_id,
                zone=self._settings.zone,
                region=self._settings.region,
                service=self._settings.service,
            ),
            edges,
            joining=self._joining,
            options=self._core_options(),
        )
        self._register_operators(edges)
        kernel.register(
            'entry', self._entry(edges), needs=('router', 'control')
        )

    def _register_operators(self, edges: NodeEdges) -> None:
        kernel = self.kernel
        journal = self._journal
        membership = kernel.find('membership', Membership)
        kernel.register(
            'operators',
            StreamFollower(
                adapter=OperatorTopic(self._store, clock=self._clock),
                clock=self._clock,
                random_source=self._random,
                port=edges.peers,
                planner=journal.make_planner(
                    _options.OPERATORS.direct_per_zone
                ),
                options=_options.OPERATORS,
                take=make_records_taker(self._book),
            ),
            needs=('store', 'peers'),
        )
        kernel.register(
            'documents',
            DocumentSync(
                book=self._book,
                journal=journal,
                membership=membership,
                clock=self._clock,
                policy_of=_policy_of,
                moves_per_minute=_options.MOVES_PER_MINUTE,
            ),
            needs=('operators', 'membership'),
        )
        departure = Departure(
            door=kernel.find('door', UpstreamDoor),
            membership=membership,
            clock=self._clock,
            heard_at_s=lambda: self._upstream.heard_at_s,
            forget=self._upstream.forget,
            silence_s=max(
                _options.TIMING.lease_s,
                _options.SILENT_BEATS * self._settings.heartbeat_s,
            ),
            move_s=self._settings.drain_s * _options.MOVE_SHARE,
        )
        self._book.subscribe(self._on_operators)
        self._upstream.on_announce(departure.on_announce)
        self._upstream.on_end(departure.on_end)
        kernel.register('departure', departure, needs=('door', 'membership'))

    def _on_operators(self, state: OperatorState) -> None:
        door = self.kernel.find('door', UpstreamDoor)
        door.tell_out(is_out=self._settings.zone in state.zones_out)

    def _edges(self) -> NodeEdges:
        settings = self._settings
        return NodeEdges(
            log=StoreLog(
                self._store,
                node_id=settings.node_id,
                clock=self._clock,
            ),
            upstream=self._upstream,
            peers=StreamPort(
                PeerAddress(*settings.peer), kinds=MESSAGES, clock=self._clock
            ),
            clock=self._clock,
            random_source=self._random,
        )

    def _core_options(self) -> CoreOptions:
        make = partial(
            BeatGrants,
            key_space=_options.KEY_SPACE,
            most_hold_s=self._settings.most_hold_s,
        )

        def make_grants(**known: object) -> BeatGrants:
            grants = make(**known)  # type: ignore[arg-type]
            self._grants = grants
            self._upstream.answer_holds = grants.answer
            return grants

        return CoreOptions(
            timing=_options.TIMING,
            journal=_options.JOURNAL,
            checkpoints=_options.CHECKPOINTS,
            make_grants=make_grants,
            can_join=lambda: self._upstream.is_known,
            is_past_over=self._is_past_over,
            limits=_options.LIMITS,
        )

    def _is_past_over(self) -> bool:
        return self._grants is not None and self._grants.is_past_settled

    def _describe(self, instance: str, slots: int) -> NodeJoin:
        settings = self._settings
        return NodeJoin(
            node_id=settings.node_id,
            zone=settings.zone,
            region=settings.region,
            service=self._upstream.service or settings.service,
            slots=slots,
            host=settings.peer.host,
            peer_port=settings.peer.port,
            entry_port=settings.entry.port,
            upstream_instance=instance,
        )

    def _entry(self, edges: NodeEdges) -> Entry:
        settings = self._settings
        metrics = self._metrics
        fleet = self._journal.fleet
        policies = PolicyReader(
            fleet=fleet,
            clock=edges.clock,
            zone=settings.zone,
            upstream=settings.node_id,
        )

        def observe(
            request: Request, result: AnswerResult, time_s: float
        ) -> None:
            metrics.observe(request.service, result, time_s)

        return Entry(
            router=self.kernel.find('router', DoorRouter),
            read_request=make_request_reader(
                policy_of=policies.policy,
                clock=edges.clock,
                source=edges.random_source,
            ),
            vocabulary=make_caller_format(
                book=self._book,
                pick_service=make_splitter(),
                own_service=lambda: settings.service,
            ),
            clock=edges.clock,
            observe=observe,
            is_leaving=self._stop.is_begun,
            options=EntryOptions(
                host=settings.entry.host,
                port=settings.entry.port,
                body_limit_bytes=67_108_864,
                idle_timeout_s=15,
                close_after_s=_options.CLOSE_AFTER_S,
                refuses_when_stopping=True,
            ),
        )


def _policy_of(terms: ServiceTerms) -> ServicePolicy:
    return ServicePolicy(
        is_keyed=terms.is_keyed,
        shard_count=_options.SHARD_COUNT,
        key_space=_options.KEY_SPACE if terms.is_keyed else 0,
        has_ledger_shards=False,
        hedge_ratio=0,
        ledger_keep_s=60,
    )
