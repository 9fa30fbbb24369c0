"""Parts that the door's jobs share."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from verbenadeck.adapters import UpstreamAdapter
from verbenadeck.door._cold_pace import ColdPace
from verbenadeck.door._copies import CopyClient, CopyKeeper
from verbenadeck.door._crashes import CrashWatch
from verbenadeck.door._gate import Gate
from verbenadeck.door._history import OwnerHistory
from verbenadeck.door._ledger import Ledger
from verbenadeck.door._limit import ConcurrencyLimit, LimitOptions
from verbenadeck.door._once import OnceGuard
from verbenadeck.door._poison import Quarantine
from verbenadeck.door._runs import Runs
from verbenadeck.door._sender import Sender
from verbenadeck.door._shard_rates import ShardRates
from verbenadeck.door._slots import SlotQueue
from verbenadeck.door._takeovers import Takeovers
from verbenadeck.fleet import FleetView
from verbenadeck.lease import OwnershipView
from verbenadeck.model import Incarnation, NodeId, Zone
from verbenadeck.peers import PeerPort
from verbenadeck.utils import Clock

DEFAULT_KEEP_S = 600.0
"""Time in seconds to keep ledger entries before there is a policy."""


@dataclass(frozen=True, kw_only=True)
class Surroundings:
    """What the door needs from the rest of the node.

    Parameters
    ----------
    node_id, zone : str
        Place of the door.
    incarnation : callable returning Incarnation
        Incarnation of this node, `NO_MEMBER` before it has joined.
    upstream : UpstreamAdapter
        The upstream.
    ownership : OwnershipView
        Leases.
    fleet : FleetView
        Members, shards and configuration.
    peers : PeerPort
        Way to other nodes.
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
    peers: PeerPort
    clock: Clock
    random_source: random.Random


class Parts:
    """State of one door, wired together.

    Parameters
    ----------
    around : Surroundings
        The rest of the node.
    ledger : Ledger
        Request ledger.
    limits : LimitOptions
        How the concurrency limit reacts.
    """

    def __init__(
        self, around: Surroundings, *, ledger: Ledger, limits: LimitOptions
    ) -> None:
        clock = around.clock
        self.around = around
        self.ledger = ledger
        self.runs = Runs()
        self.quarantine = Quarantine()
        self.keeper = CopyKeeper(clock=clock)
        self.history = OwnerHistory(fleet=around.fleet, clock=clock)
        self.takeovers = Takeovers(history=self.history, clock=clock)
        self.limit = ConcurrencyLimit(options=limits)
        self.gate = Gate(
            node_id=around.node_id,
            zone=around.zone,
            fleet=around.fleet,
            clock=clock,
            quarantine=self.quarantine,
        )
        self.pace = ColdPace(clock=clock)
        self.rates = ShardRates(clock=clock)
        self.slots = SlotQueue(
            pace=self.pace,
            clock=clock,
            limit=lambda: self.limit.limit,
            service_time_s=lambda: self.limit.service_time_s,
        )
        self.crashes = CrashWatch(
            node_id=around.node_id,
            fleet=around.fleet,
            peers=around.peers,
            clock=clock,
            quarantine=self.quarantine,
        )
        self.sender = Sender(
            upstream=around.upstream,
            clock=clock,
            limit=self.limit,
            slots=self.slots,
            on_broken=self.crashes.on_broken,
        )
        self.once = OnceGuard(
            fleet=around.fleet,
            incarnation=around.incarnation,
            copies=CopyClient(fleet=around.fleet, peers=around.peers),
            takeovers=self.takeovers,
            keep_s=self.keep_s,
        )

    def keep_s(self) -> float:
        """Return the time in seconds for which ledger entries stay."""
        policy = self.gate.policy
        return DEFAULT_KEEP_S if policy is None else policy.ledger_keep_s
