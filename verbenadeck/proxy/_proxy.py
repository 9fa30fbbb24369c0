"""Proxy, the only sender to the upstream of this node."""

import asyncio
import math
import random
from collections.abc import Callable
from functools import partial

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
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.proxy._admission import Admission
from verbenadeck.proxy._components import ProxyComponents, ProxyDependencies
from verbenadeck.proxy._endpoint import Endpoint
from verbenadeck.proxy._gate import leaving_refusal, zone_out_refusal
from verbenadeck.proxy._handover import Handover
from verbenadeck.proxy._interface import ProxyLoad
from verbenadeck.proxy._ledger import Ledger
from verbenadeck.proxy._limit import LimitOptions
from verbenadeck.proxy._monitor import UpstreamMonitor
from verbenadeck.proxy._queue_options import QueueOptions
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._shard_rates import ShardRates
from verbenadeck.proxy._waiter import LOCAL_ORIGIN, NO_SHARD
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock, ignore_name

_log = logger.bind(part='door')
_DRAIN_POLL_S = 0.01
_STOP_DRAIN_TIMEOUT_S = 15.0
_DEFAULT_LIMITS = LimitOptions()
_DEFAULT_QUEUE = QueueOptions()


class UpstreamProxy:
    """Proxy that admits requests to the upstream of this node.

    It implements `Proxy` for routers and `ProxyHandover` for planned moves.

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
        Transport to other nodes; the constructor registers its handlers.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Source of jitter.
    ledger : Ledger or None
        Ledger of non-repeatable requests; None creates one of default size.
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
        queue: QueueOptions = _DEFAULT_QUEUE,
        link_bytes_per_s: float | None = None,
        count: Callable[[str], None] = ignore_name,
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
            dependencies,
            ledger=request_ledger,
            limits=limits,
            queue=queue,
            link_bytes_per_s=link_bytes_per_s,
            count=count,
        )
        self._admission = Admission(self._components)
        self._handover = Handover(self._components)
        self._monitor = UpstreamMonitor(self._components)
        self._drain_task: asyncio.Task[None] | None = None
        self._closing_timer: asyncio.TimerHandle | None = None
        endpoint = Endpoint(
            self._components, proxy=self, admission=self._admission
        )
        endpoint.register(peers)

    @property
    def load(self) -> ProxyLoad:
        """Current load of the proxy."""
        components = self._components
        return ProxyLoad(
            components.slots.in_use,
            components.slots.queued,
            self._effective_limit(),
            components.limit.service_time_s,
            components.gate.is_admitting,
            components.limit.is_measured,
            components.success_share.share(self._clock.now_s()),
        )

    @property
    def shard_rates(self) -> ShardRates:
        """Measured requests per second by shard."""
        return self._components.rates

    def _effective_limit(self) -> int:
        """Return the number of running requests that a cold start sustains.

        By Little's law, it is the rate times the service time, within the
        concurrency limit.
        """
        limit = self._components.limit
        rate_per_s = self._components.cold_start_rate.rate_per_s
        return max(1, int(min(limit.limit, rate_per_s * limit.service_time_s)))

    def close_at(self, closes_at_s: float) -> None:
        """Send nothing from a time on, since the upstream leaves then.

        Waiting requests that can't start before are refused now, the others
        at that time, so that they can still be answered elsewhere.

        Parameters
        ----------
        closes_at_s : float
            The time, in seconds; infinite for an upstream that stays.
        """
        components = self._components
        components.gate.closes_at_s = closes_at_s
        if self._closing_timer is not None:
            self._closing_timer.cancel()
            self._closing_timer = None
        if math.isinf(closes_at_s):
            return
        refusal = leaving_refusal()
        components.slots.refuse_unstartable(refusal, stops_at_s=closes_at_s)
        self._closing_timer = asyncio.get_running_loop().call_later(
            self._clock.remaining_s(closes_at_s),
            partial(components.slots.refuse, refusal, shards=None),
        )

    def set_draining(self, *, is_draining: bool) -> None:
        """Set whether new requests are refused since the upstream is leaving."""
        self._components.gate.is_draining = is_draining

    def set_zone_out(self, *, is_out: bool) -> None:
        """Apply an operator's change to this zone before it is in the log."""
        self._components.gate.set_zone_out(is_out=is_out)
        if is_out:
            self._components.slots.refuse(
                zone_out_refusal(), shards=frozenset((NO_SHARD,))
            )

    async def start(self) -> None:
        """Subscribe to the log and start polling load reports."""
        self._components.departed_owners.start()
        await self._monitor.start()

    async def stop(self) -> None:
        """Drain, then stop polling load reports."""
        deadline_s = self._clock.now_s() + _STOP_DRAIN_TIMEOUT_S
        await self.drain(deadline_s=deadline_s)
        await self._monitor.stop()

    async def drain(self, *, deadline_s: float) -> None:
        """Refuse new requests and wait until the admitted ones have ended.

        Requests in the queue at the deadline are refused as not run; running
        requests may continue until their own deadlines. A second call waits
        for the first one.

        Parameters
        ----------
        deadline_s : float
            Time at which the queue is refused, in seconds.
        """
        self._components.gate.is_draining = True
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(self._drain(deadline_s))
        await asyncio.shield(self._drain_task)

    async def _drain(self, deadline_s: float) -> None:
        components = self._components
        _log.info(
            'draining: waiting for {} admitted requests', len(components.runs)
        )
        while len(components.runs) and self._clock.now_s() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        components.slots.refuse(
            not_run(RefusalReason.DRAINING, 'the node is leaving'),
            shards=None,
        )
        while len(components.runs):
            await asyncio.sleep(_DRAIN_POLL_S)
        await components.dependencies.upstream.drain()
        _log.info('drained: all admitted requests have ended')

    async def admit(
        self,
        attempt_id: AttemptId,
        request: Request,
        *,
        origin: PeerAddress = LOCAL_ORIGIN,
    ) -> AnswerResult:
        """Answer a request; never run the same attempt or request id twice."""
        return await self._admission.admit(attempt_id, request, origin=origin)

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt that no caller waits for."""
        self._admission.cancel(attempt_id)

    async def close_shards(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Stop admitting requests for shards and export their state.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards to close.
        deadline_s : float
            Time up to which running requests may end, in seconds.
        """
        return await self._handover.close(ranges, deadline_s=deadline_s)

    def open_shards(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Admit requests for shards and load the earlier owner's state.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards to open.
        ledger_entries : bytes or None
            State that the earlier owner exported; None if it was lost.
        """
        self._handover.open(ranges, ledger_entries)
