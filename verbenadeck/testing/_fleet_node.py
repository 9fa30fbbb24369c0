"""One node of a virtual fleet: control services over fakes."""

import asyncio
import random
from contextvars import Context

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from verbenadeck.journal import LogClient
from verbenadeck.lease import LeaseWitness, Ownership, shards_in
from verbenadeck.membership import LeaseTiming, Membership
from verbenadeck.model import (
    NO_MEMBER,
    NodeId,
    Region,
    ServiceName,
    Shard,
    Zone,
)
from verbenadeck.peers import Message, PeerAddress, PeerError
from verbenadeck.placement import Planner
from verbenadeck.records import NodeJoin
from verbenadeck.testing._fake_network import FakeNetwork, FakeTransport
from verbenadeck.testing._fakes import FakeProxy, FakeUpstream
from verbenadeck.testing._memory_log import MemoryLog, MemoryLogAdapter
from verbenadeck.testing._process import VirtualProcess
from verbenadeck.testing._virtual_loop import virtual_clock
from verbenadeck.utils import Clock

SERVICE = ServiceName('specdesk')
_SLOTS = 6
_PORT = 7000
_BOOT_S = 1000.0


class NodeSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Node of a virtual fleet.

    Parameters
    ----------
    name : NodeId
        Name.
    host : str
        IP address.
    zone, region : str
        Where it runs.
    clock_rate : float
        Seconds of its clock per second.
    checks_fences : bool
        Whether its upstream checks fences.
    standby_delay_s : float
        How long lower planners hold back.
    """

    name: NodeId
    host: str
    zone: Zone
    region: Region = Region('home')
    clock_rate: float = 1
    checks_fences: bool = True
    standby_delay_s: float = 0.4


class ProcessTransport(FakeTransport):
    """Port whose handlers run inside of the node's process.

    Messages on their way belong to no process: they arrive while their
    sender is paused.
    """

    def __init__(
        self,
        network: FakeNetwork,
        address: PeerAddress,
        clock: Clock,
        process: VirtualProcess,
    ) -> None:
        super().__init__(network, address, clock)
        self._process = process

    def send_datagram(self, peer: PeerAddress, message: Message) -> None:
        """Send a datagram."""
        Context().run(super().send_datagram, peer, message)

    async def receive(
        self, source: PeerAddress, message: Message
    ) -> Message | None:
        """Run the handler of an arrived message."""
        handling = self._process.spawn(super().receive(source, message))
        # A sender that ends does not wait for a paused receiver.
        return await asyncio.shield(handling)

    async def _exchange(
        self, peer: PeerAddress, message: Message
    ) -> Result[Message, PeerError]:
        exchange = super()._exchange(peer, message)
        return await Context().run(asyncio.ensure_future, exchange)


class FleetNode:
    """Control services of one node; the upstream outlives the process."""

    def __init__(
        self,
        spec: NodeSpec,
        *,
        log: MemoryLog,
        network: FakeNetwork,
        seed: str,
        timing: LeaseTiming | None = None,
        upstream: FakeUpstream | None = None,
    ) -> None:
        self.spec = spec
        self.is_running = False
        self.process = VirtualProcess()
        self.address = PeerAddress(spec.host, _PORT)
        clock = virtual_clock(offset_s=_BOOT_S, rate=spec.clock_rate)
        self.clock = clock
        self.random = random.Random(f'{seed}/{spec.name}')
        self.adapter = MemoryLogAdapter(log, clock)
        self.transport = ProcessTransport(
            network, self.address, clock, self.process
        )
        network.transports[self.address] = self.transport
        self.upstream = upstream or FakeUpstream(
            clock, SERVICE, checks_fences=spec.checks_fences
        )
        self.proxy = FakeProxy()
        self.timing = timing
        self.process.run(self._build)

    async def start(self) -> None:
        """Start all services."""
        self.is_running = True
        await self.process.spawn(self._start())

    async def stop(self) -> None:
        """Leave and stop all services."""
        deadline_s = self.clock.now_s() + 10
        await self.process.spawn(self.membership.leave(deadline_s=deadline_s))
        await self.process.spawn(self._stop())
        self.is_running = False
        self.transport.is_up = False

    async def kill(self) -> None:
        """End the process at once."""
        self.is_running = False
        self.transport.is_up = False
        self.adapter.is_cut = True
        await self.process.kill()

    def own_shards(self) -> list[int]:
        """Return the shards that the node takes for its own."""
        own = self.membership.incarnation
        if not self.is_running or own == NO_MEMBER:
            return []
        ranges = self.journal.fleet.owned_by(own)
        return [shard for _, shard in shards_in(ranges)]

    def would_serve(self, shard: int) -> bool:
        """Return whether the node would send an order now."""
        if not self.is_running or self.process.is_paused:
            return False
        return is_successful(self.ownership.permit(SERVICE, Shard(shard)))

    def _build(self) -> None:
        self.journal = LogClient(
            adapter=self.adapter,
            clock=self.clock,
            random_source=self.random,
            node_id=self.spec.name,
        )
        self.membership = Membership(
            clock=self.clock,
            random_source=self.random,
            journal=self.journal,
            transport=self.transport,
            describe_node=self._describe,
            timing=self.timing,
        )
        self.witness = LeaseWitness(
            clock=self.clock,
            transport=self.transport,
            journal=self.journal,
            membership=self.membership,
            random_source=self.random,
        )
        self.ownership = Ownership(
            clock=self.clock,
            journal=self.journal,
            transport=self.transport,
            membership=self.membership,
            upstream=self.upstream,
            service=SERVICE,
            proxy=self.proxy,
        )
        self.planner = Planner(
            clock=self.clock,
            journal=self.journal,
            fleet=self.journal.fleet,
            membership=self.membership,
            standby_delay_s=self.spec.standby_delay_s,
        )
        self.services = (
            self.journal,
            self.membership,
            self.witness,
            self.ownership,
            self.planner,
        )

    async def _start(self) -> None:
        for service in self.services:
            await service.start()

    async def _stop(self) -> None:
        for service in reversed(self.services):
            await service.stop()

    def _describe(self) -> NodeJoin:
        return NodeJoin(
            node_id=self.spec.name,
            zone=self.spec.zone,
            region=self.spec.region,
            service=SERVICE,
            slots=_SLOTS,
            host=self.spec.host,
            peer_port=_PORT,
            entry_port=_PORT + 1,
            upstream_instance=self.upstream.instance,
        )
