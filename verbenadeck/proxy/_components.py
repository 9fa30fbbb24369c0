"""Components of one proxy and the dependencies between them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from verbenadeck.adapters import UpstreamAdapter
from verbenadeck.fleet import FleetView
from verbenadeck.lease import OwnershipView
from verbenadeck.model import Incarnation, NodeId, Zone
from verbenadeck.peers import PeerTransport
from verbenadeck.proxy._cold_start_rate import ColdStartRateLimiter
from verbenadeck.proxy._copies import CopyClient, CopyStore
from verbenadeck.proxy._crashes import CrashTracker
from verbenadeck.proxy._deduplication import DuplicateRunGuard
from verbenadeck.proxy._departed_owners import DepartedOwners
from verbenadeck.proxy._gate import Gate
from verbenadeck.proxy._ledger import Ledger
from verbenadeck.proxy._limit import ConcurrencyLimit, LimitOptions
from verbenadeck.proxy._poison import Quarantine
from verbenadeck.proxy._queue_options import QueueOptions
from verbenadeck.proxy._runs import RunRegistry
from verbenadeck.proxy._sender import Sender
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._shard_rates import ShardRates
from verbenadeck.proxy._slots import SlotQueue
from verbenadeck.proxy._success_share import SuccessShare
from verbenadeck.proxy._takeovers import Takeovers
from verbenadeck.proxy._transfers import Transfers
from verbenadeck.utils import Clock

DEFAULT_KEEP_S = 600.0
"""Retention of ledger entries while there is no policy, in seconds."""


@dataclass(frozen=True, kw_only=True)
class ProxyDependencies:
    """Dependencies of the proxy on other packages of the node.

    Parameters
    ----------
    node_id, zone : str
        Node and availability zone of the proxy.
    incarnation : callable returning Incarnation
        Returns the incarnation of this node, `NO_MEMBER` before it has joined.
    upstream : UpstreamAdapter
        Adapter through which requests are sent to the upstream.
    ownership : OwnershipView
        Shards that this node owns under its lease.
    fleet : FleetView
        Members, shards and configuration.
    peers : PeerTransport
        Transport to other nodes.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Source of jitter.
    """

    node_id: NodeId
    zone: Zone
    incarnation: Callable[[], Incarnation]
    upstream: UpstreamAdapter
    ownership: OwnershipView
    fleet: FleetView
    peers: PeerTransport
    clock: Clock
    random_source: random.Random


class ProxyComponents:
    """Container that creates the components of one proxy.

    Parameters
    ----------
    dependencies : ProxyDependencies
        Dependencies on other packages of the node.
    ledger : Ledger
        Ledger of non-repeatable requests.
    limits : LimitOptions
        Options of the concurrency limit.
    queue : QueueOptions
        Options of the queue.
    link_bytes_per_s : float or None
        Rate at which large bodies may arrive, in bytes per second; None for
        no limit.
    count : callable
        Adds one to the counter with the given name.
    """

    def __init__(
        self,
        dependencies: ProxyDependencies,
        *,
        ledger: Ledger,
        limits: LimitOptions,
        queue: QueueOptions,
        link_bytes_per_s: float | None,
        count: Callable[[str], None],
    ) -> None:
        clock = dependencies.clock
        self.dependencies = dependencies
        self.ledger = ledger
        self.runs = RunRegistry()
        self.quarantine = Quarantine()
        self.copy_store = CopyStore(clock=clock)
        self.departed_owners = DepartedOwners(
            fleet=dependencies.fleet, clock=clock
        )
        self.takeovers = Takeovers(
            departed_owners=self.departed_owners, clock=clock
        )
        self.limit = ConcurrencyLimit(options=limits)
        self.gate = Gate(
            node_id=dependencies.node_id,
            zone=dependencies.zone,
            fleet=dependencies.fleet,
            clock=clock,
            quarantine=self.quarantine,
        )
        self.cold_start_rate = ColdStartRateLimiter(clock=clock)
        self.rates = ShardRates(clock=clock)
        self.service_times = ServiceTimes(
            overall_s=lambda: self.limit.service_time_s
        )
        self.slots = SlotQueue(
            cold_start_rate=self.cold_start_rate,
            clock=clock,
            limit=lambda: self.limit.limit,
            service_time_s=lambda: self.limit.service_time_s,
            service_times=self.service_times,
            slots=lambda: self.limit.slots,
            options=queue,
            count=count,
        )
        self.transfers = Transfers(
            clock=clock,
            slots=self.slots,
            service_times=self.service_times,
            link_bytes_per_s=link_bytes_per_s,
            count=count,
        )
        self.crash_tracker = CrashTracker(
            node_id=dependencies.node_id,
            fleet=dependencies.fleet,
            peers=dependencies.peers,
            clock=clock,
            quarantine=self.quarantine,
        )
        self.success_share = SuccessShare()
        self.sender = Sender(
            upstream=dependencies.upstream,
            clock=clock,
            limit=self.limit,
            slots=self.slots,
            service_times=self.service_times,
            success_share=self.success_share,
            on_broken=self.crash_tracker.on_broken,
        )
        self.duplicate_guard = DuplicateRunGuard(
            fleet=dependencies.fleet,
            incarnation=dependencies.incarnation,
            copies=CopyClient(
                fleet=dependencies.fleet, peers=dependencies.peers
            ),
            takeovers=self.takeovers,
            keep_s=self.keep_s,
            has_copies=self._has_copies,
        )

    def keep_s(self) -> float:
        """Return the retention of ledger entries, in seconds."""
        policy = self.gate.policy
        return DEFAULT_KEEP_S if policy is None else policy.ledger_keep_s

    def _has_copies(self) -> bool:
        policy = self.gate.policy
        return policy is None or policy.has_ledger_copies
