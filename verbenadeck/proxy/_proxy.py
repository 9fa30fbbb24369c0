"""Door: the only sender to the upstream beside this node."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from verbenadeck.adapters import UpstreamAdapter
from verbenadeck.fleet import FleetView
from verbenadeck.lease import OwnershipView
from verbenadeck.model import (
    AnswerResult,
    AttemptId,
    Incarnation,
    NodeId,
    RefusalReason,
    Request,
    Zone,
)
from verbenadeck.peers import PeerTransport
from verbenadeck.proxy._admission import Admission
from verbenadeck.proxy._components import ProxyComponents, ProxyDependencies
from verbenadeck.proxy._endpoint import Endpoint
from verbenadeck.proxy._handover import Handover
from verbenadeck.proxy._interface import ProxyLoad
from verbenadeck.proxy._ledger import Ledger
from verbenadeck.proxy._limit import LimitOptions
from verbenadeck.proxy._monitor import UpstreamMonitor
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._shard_rates import ShardRates
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

_log = logger.bind(part='door')
_DRAIN_POLL_S = 0.01
_STOP_DRAIN_TIMEOUT_S = 15.0
_DEFAULT_LIMITS = LimitOptions()


class UpstreamProxy:
    """Admits requests to the upstream beside this node.

    It implements `Proxy` for routers and `ProxyHandover` for planned moves.

    Parameters
    ----------
    node_id, zone : str
        Place of the door.
    incarnation : callable returning Incarnation
        Incarnation of this node, `NO_MEMBER` before it has joined.
    upstream : UpstreamAdapter
        The upstream.
    ownership : OwnershipView
        Leases of this node.
    fleet : FleetView
        Members, shards and configuration.
    peers : PeerTransport
        Way to other nodes; handlers are registered at once.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Source of jitter.
    ledger : Ledger or None
        Request ledger; None makes one with the default bounds.
    limits : LimitOptions
        How the concurrency limit reacts.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        zone: Zone,
        incarnation: Callable[[], Incarnation],
        upstream: UpstreamAdapter,
        ownership: OwnershipView,
        fleet: FleetView,
        peers: PeerTransport,
        clock: Clock,
        random_source: random.Random,
        ledger: Ledger | None = None,
        limits: LimitOptions = _DEFAULT_LIMITS,
    ) -> None:
        dependencies = ProxyDependencies(
            node_id=node_id,
            zone=zone,
            incarnation=incarnation,
            upstream=upstream,
            ownership=ownership,
            fleet=fleet,
            peers=peers,
            clock=clock,
            random_source=random_source,
        )
        self._clock = clock
        request_ledger = Ledger() if ledger is None else ledger
        self._components = ProxyComponents(
            dependencies, ledger=request_ledger, limits=limits
        )
        self._admission = Admission(self._components)
        self._handover = Handover(self._components)
        self._monitor = UpstreamMonitor(self._components)
        self._drain_task: asyncio.Task[None] | None = None
        endpoint = Endpoint(
            self._components, proxy=self, admission=self._admission
        )
        endpoint.register(peers)

    @property
    def load(self) -> ProxyLoad:
        """Load of the door now."""
        components = self._components
        return ProxyLoad(
            components.slots.in_use,
            components.slots.queued,
            self._effective_limit(),
            components.limit.service_time_s,
            components.gate.is_admitting,
        )

    @property
    def shard_rates(self) -> ShardRates:
        """Measured requests a second by shard."""
        return self._components.rates

    def _effective_limit(self) -> int:
        """Return the concurrency that slots and a cold start allow."""
        limit = self._components.limit
        rate_per_s = self._components.cold_start_rate.rate_per_s
        return max(1, int(min(limit.limit, rate_per_s * limit.service_time_s)))

    def set_draining(self, *, is_draining: bool) -> None:
        """Refuse new requests while the upstream leaves, or no longer."""
        self._components.gate.is_draining = is_draining

    def set_zone_out(self, *, is_out: bool) -> None:
        """Take the operators' word that the zone of this door is out."""
        self._components.gate.set_zone_out(is_out=is_out)

    async def start(self) -> None:
        """Follow the log and the upstream's reports."""
        self._components.departed_owners.start()
        await self._monitor.start()

    async def stop(self) -> None:
        """Drain, then stop."""
        deadline_s = self._clock.now_s() + _STOP_DRAIN_TIMEOUT_S
        await self.drain(deadline_s=deadline_s)
        await self._monitor.stop()

    async def drain(self, *, deadline_s: float) -> None:
        """Refuse new work and wait until what was admitted has ended.

        Requests that still wait for a slot at the deadline are refused as
        not run; those that run are waited for until their own deadlines. A
        later call waits for the first one.
        """
        self._components.gate.is_draining = True
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(self._drain(deadline_s))
        await asyncio.shield(self._drain_task)

    async def _drain(self, deadline_s: float) -> None:
        components = self._components
        _log.info('draining {} requests', len(components.runs))
        while len(components.runs) and self._clock.now_s() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        components.slots.refuse(
            not_run(RefusalReason.DRAINING, 'the node is leaving'),
            shards=None,
        )
        while len(components.runs):
            await asyncio.sleep(_DRAIN_POLL_S)
        await components.dependencies.upstream.drain()
        _log.info('drained')

    async def admit(
        self, attempt_id: AttemptId, request: Request
    ) -> AnswerResult:
        """Answer a request; the same attempt or id never runs twice."""
        return await self._admission.admit(attempt_id, request)

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Give up an attempt that nobody waits for."""
        self._admission.cancel(attempt_id)

    async def close_shards(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Stop admitting shards and return their ledger entries."""
        return await self._handover.close(ranges, deadline_s=deadline_s)

    def open_shards(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Admit shards again with the earlier owner's ledger entries."""
        self._handover.open(ranges, ledger_entries)
