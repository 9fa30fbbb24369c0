"""Node of a virtual fleet: real control services over fakes."""

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
from verbenadeck.node import DepartureLog
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
_SLOT_COUNT = 6
_PEER_PORT = 7000
_CLOCK_START_S = 1000.0


class NodeSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Description of one node of a virtual fleet.

    Parameters
    ----------
    name : NodeId
        Name of the node.
    host : str
        IP address of the node.
    zone : Zone
        Availability zone in which the node runs.
    region : Region
        Region in which the node runs.
    clock_rate : float
        Seconds of the node's clock per second of the loop, for drift.
    checks_fences : bool
        Whether the node's upstream checks fences.
    standby_delay_s : float
        Seconds that planners of lower rank wait before they act.
    """

    name: NodeId
    host: str
    zone: Zone
    region: Region = Region('home')
    clock_rate: float = 1
    checks_fences: bool = True
    standby_delay_s: float = 0.4


class ProcessTransport(FakeTransport):
    """Transport whose handlers run inside the node's process.

    Messages in flight belong to no process, so that they arrive even while
    their sender is paused.

    Parameters
    ----------
    network : FakeNetwork
        Network that carries the messages.
    address : PeerAddress
        Address of the node.
    clock : Clock
        Clock of the node.
    process : VirtualProcess
        Process in which the handlers run.
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
        """Send a datagram, which is delivered even if the sender is paused."""
        Context().run(super().send_datagram, peer, message)

    async def receive(
        self, source: PeerAddress, message: Message
    ) -> Message | None:
        """Run the handler of a message in the process, return its reply."""
        handling = self._process.spawn(super().receive(source, message))
        # Cancelling the sender must not wait for a paused receiver.
        return await asyncio.shield(handling)

    async def _exchange(
        self, peer: PeerAddress, message: Message
    ) -> Result[Message, PeerError]:
        exchange = super()._exchange(peer, message)
        return await Context().run(asyncio.ensure_future, exchange)


class FleetNode:
    """Control services of one node, in a process that can be killed.

    The upstream is not part of the process and outlives it.

    Parameters
    ----------
    spec : NodeSpec
        Description of the node.
    log : MemoryLog
        Log that the nodes share.
    network : FakeNetwork
        Network that the nodes share.
    seed : str
        Seed of the node's random source; the node's name is added to it.
    timing : LeaseTiming or None
        Time-outs of the lease protocol; by default those of `Membership`.
    upstream : FakeUpstream or None
        Upstream of an earlier process of the node; by default a new one.
    """

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
        self.address = PeerAddress(spec.host, _PEER_PORT)
        clock = virtual_clock(offset_s=_CLOCK_START_S, rate=spec.clock_rate)
        self.clock = clock
        self.random = random.Random(f'{seed}/{spec.name}')
        self.adapter = MemoryLogAdapter(log, clock, writer=spec.name)
        self.transport = ProcessTransport(
            network, self.address, clock, self.process
        )
        network.transports[self.address] = self.transport
        self.upstream = upstream or FakeUpstream(
            clock, SERVICE, checks_fences=spec.checks_fences
        )
        self.proxy = FakeProxy()
        self.timing = timing
        self.process.run(self._make_services)

    async def start(self) -> None:
        """Start the control services in order."""
        self.is_running = True
        await self.process.spawn(self._start_services())

    async def stop(self) -> None:
        """Leave the fleet, then stop the control services in reverse order."""
        deadline_s = self.clock.now_s() + 10
        await self.process.spawn(self.membership.leave(deadline_s=deadline_s))
        await self.process.spawn(self._stop_services())
        self.is_running = False
        self.transport.is_up = False

    async def kill(self) -> None:
        """Kill the process and cut its network and log connections."""
        self.is_running = False
        self.transport.is_up = False
        self.adapter.is_cut = True
        await self.process.kill()

    def owned_shards(self) -> list[int]:
        """Return the shards that the node considers its own."""
        incarnation = self.membership.incarnation
        if not self.is_running or incarnation == NO_MEMBER:
            return []
        ranges = self.journal.fleet.owned_by(incarnation)
        return [shard for _, shard in shards_in(ranges)]

    def would_serve(self, shard: int) -> bool:
        """Return whether the node would send a request for a shard now."""
        if not self.is_running or self.process.is_paused:
            return False
        return is_successful(self.ownership.permit(SERVICE, Shard(shard)))

    def _make_services(self) -> None:
        self.journal = LogClient(
            adapter=self.adapter,
            clock=self.clock,
            random_source=self.random,
            node_id=self.spec.name,
        )
        self.departures = DepartureLog(
            journal=self.journal, node_id=self.spec.name, clock=self.clock
        )
        self.membership = Membership(
            clock=self.clock,
            random_source=self.random,
            journal=self.journal,
            transport=self.transport,
            describe_node=self._describe_node,
            timing=self.timing,
            can_join=self._can_join,
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
            random_source=self.random,
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

    async def _start_services(self) -> None:
        for service in self.services:
            await service.start()

    async def _stop_services(self) -> None:
        for service in reversed(self.services):
            await service.stop()

    def _can_join(self) -> bool:
        return not self.departures.has_left(self.upstream.instance)

    def _describe_node(self) -> NodeJoin:
        return NodeJoin(
            node_id=self.spec.name,
            zone=self.spec.zone,
            region=self.spec.region,
            service=SERVICE,
            slots=_SLOT_COUNT,
            host=self.spec.host,
            peer_port=_PEER_PORT,
            entry_port=_PEER_PORT + 1,
            upstream_instance=self.upstream.instance,
        )
