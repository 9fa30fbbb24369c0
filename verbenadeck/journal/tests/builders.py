"""Builders of log clients and sites for tests."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from returns.result import Failure, Result

from verbenadeck.adapters import LogError, LogFailure, LogPage
from verbenadeck.fleet.tests.builders import make_join
from verbenadeck.journal import JournalOptions, LogClient
from verbenadeck.model import Incarnation, NodeId, Offset, Zone
from verbenadeck.peers import PeerAddress
from verbenadeck.records import NodeJoin
from verbenadeck.testing import (
    FakeNetwork,
    FakeTransport,
    MemoryLog,
    MemoryLogAdapter,
    virtual_clock,
)
from verbenadeck.utils import Clock

FIRST_PORT = 7000


class FaultyAdapter(MemoryLogAdapter):
    """Client for a `MemoryLog` that can fail or delay reads and appends.

    Attributes
    ----------
    fails_reads, fails_appends : bool
        Whether that operation fails with certainty.
    is_silent : bool
        Whether operations get no answer before their deadline.
    holds_appends : bool
        Whether appends are kept in `held` until `release_appends`.
    held : list of (bytes, str, int)
        Records, names and generations of appends that were kept back.
    names : list of (str, int)
        Names and generations under which records were to be retained.
    reads, appends : int
        Number of reads and of appends so far.
    """

    def __init__(self, log: MemoryLog, clock: Clock) -> None:
        super().__init__(log, clock)
        self.fails_reads = False
        self.fails_appends = False
        self.is_silent = False
        self.holds_appends = False
        self.held: list[tuple[bytes, str, int]] = []
        self.reads = 0
        self.appends = 0
        self.names: list[tuple[str, int]] = []

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
        generation: int = 0,
    ) -> Result[Offset, LogError]:
        self.appends += 1
        self.names.append((name, generation))
        if self.fails_appends:
            await asyncio.sleep(0.01)
            return Failure(LogError(LogFailure.NOT_APPENDED, 'cut'))
        if self.holds_appends:
            self.held.append((record, name, generation))
        if self.is_silent or self.holds_appends:
            await self._clock.sleep_until(deadline_s)
            return Failure(LogError(LogFailure.UNKNOWN, 'silent'))
        return await super().append(
            record, deadline_s=deadline_s, name=name, generation=generation
        )

    def release_appends(self) -> None:
        """Append the held records, as a log does that answers late."""
        self.holds_appends = False
        for held in self.held:
            self._append_now(*held)
        self.held.clear()

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        self.reads += 1
        if self.is_silent:
            await self._clock.sleep_until(deadline_s)
        if self.fails_reads or self.is_silent:
            await asyncio.sleep(0.01)
            return Failure(LogError(LogFailure.UNAVAILABLE, 'cut'))
        return await super().read(
            start_offset, limit=limit, deadline_s=deadline_s
        )


class Node:
    """Log client with its adapter, peer transport and clock."""

    def __init__(
        self,
        log: MemoryLog,
        network: FakeNetwork,
        index: int,
        *,
        zone: str = 'suva',
        run_number: int = 1,
        options: JournalOptions | None = None,
    ) -> None:
        self.clock = virtual_clock(offset_s=index * 1000)
        self.node_id = NodeId(f'node-{index}')
        self.zone = Zone(zone)
        self.address = PeerAddress('127.0.0.1', FIRST_PORT + index)
        self.adapter = self.make_adapter(log)
        self.transport: FakeTransport = network.transport(
            self.address, self.clock
        )
        self.client = LogClient(
            adapter=self.adapter,
            clock=self.clock,
            random_source=random.Random(f'{index}/{run_number}'),
            node_id=self.node_id,
            transport=self.transport,
            options=options,
        )

    def make_adapter(self, log: MemoryLog) -> FaultyAdapter:
        """Return the client for the log."""
        return FaultyAdapter(log, self.clock)

    def join_record(self) -> NodeJoin:
        """Return the record with which this node joins."""
        return make_join(
            self.node_id, zone=self.zone, peer_port=self.address.port
        )

    async def join(self) -> Incarnation:
        """Propose the join of this node and return its incarnation."""
        answer = await self.client.propose(
            self.join_record(), deadline_s=self.deadline_in(20)
        )
        return Incarnation(answer.unwrap().offset)

    def deadline_in(self, wait_s: float) -> float:
        """Return the deadline that is `wait_s` seconds from now."""
        return self.clock.now_s() + wait_s

    async def stop(self) -> None:
        """Stop without notice to peers, as a crashed process does."""
        self.transport.is_up = False
        await self.client.stop()


class LogFleet:
    """Nodes that share one log."""

    def __init__(
        self,
        *,
        options: JournalOptions | None = None,
        log: MemoryLog | None = None,
    ) -> None:
        self.log = log or MemoryLog()
        self.network = FakeNetwork()
        self.nodes: list[Node] = []
        self._options = options

    async def add(self, *, zone: str = 'suva', joins: bool = True) -> Node:
        """Start another node, which joins the fleet unless `joins` is False."""
        node = Node(
            self.log,
            self.network,
            len(self.nodes),
            zone=zone,
            options=self._options,
        )
        self.nodes.append(node)
        await node.client.start()
        if joins:
            await node.join()
        return node

    async def settle(self, wait_s: float = 1) -> None:
        """Let the site run for `wait_s` seconds."""
        await asyncio.sleep(wait_s)

    def expire(self, *, keep: int = 0) -> None:
        """Expire all but the newest `keep` records."""
        self.log.first_offset = len(self.log.records) - keep

    def has_converged(self) -> bool:
        """Return whether all nodes have the same fleet state."""
        states = {node.client.fleet.snapshot() for node in self.nodes}
        return len(states) == 1


@asynccontextmanager
async def make_site(
    *zones: str,
    options: JournalOptions | None = None,
    log: MemoryLog | None = None,
) -> AsyncIterator[LogFleet]:
    """Start a site with one joined node per entry of `zones`."""
    site = LogFleet(options=options, log=log)
    try:
        for zone in zones:
            await site.add(zone=zone)
        await site.settle()
        yield site
    finally:
        for node in site.nodes:
            await node.client.stop()


def name_by_content(record: bytes) -> tuple[str, bytes]:
    """Return the name and content of a record that no other one replaces."""
    return record.hex(), record


def make_client(
    log: MemoryLog,
    clock: Clock,
    *,
    node_id: str = 'node-0',
    seed: int = 1,
    options: JournalOptions | None = None,
) -> tuple[LogClient, MemoryLogAdapter]:
    """Return a log client without peers, and its adapter."""
    adapter = MemoryLogAdapter(log, clock)
    client = LogClient(
        adapter=adapter,
        clock=clock,
        random_source=random.Random(f'{node_id}/{seed}'),
        node_id=NodeId(node_id),
        options=options,
    )
    return client, adapter
