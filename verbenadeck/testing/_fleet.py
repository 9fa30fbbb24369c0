"""Fleet in virtual time with an oracle of ownership."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

from verbenadeck.config import encode_document
from verbenadeck.membership import LeaseTiming
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    NodeId,
    ServicePolicy,
    Zone,
)
from verbenadeck.records import ConfigPublished, Verdict
from verbenadeck.testing._fake_network import FakeNetwork
from verbenadeck.testing._fakes import FakeUpstream
from verbenadeck.testing._fleet_node import SERVICE, FleetNode, NodeSpec
from verbenadeck.testing._memory_log import MemoryLog

_ORACLE_S = 0.005
_POLL_S = 0.01
_PATIENCE_S = 30.0


class TwoOwnersError(AssertionError):
    """Two nodes or two upstreams would serve one shard at one moment."""


class VirtualFleet:
    """Nodes over one log and one network, watched by an oracle.

    Parameters
    ----------
    specs : iterable of NodeSpec
        Nodes.
    shard_count : int
        Shards of the one service.
    seed : int
        Seed of all random sources.
    policy : ServicePolicy or None
        Policy of the service; the shard count is set in it.
    timing : LeaseTiming or None
        Times of the lease protocol.
    is_watched : bool
        Whether the oracle looks.
    """

    def __init__(
        self,
        specs: Iterable[NodeSpec],
        *,
        shard_count: int = 16,
        seed: int = 1,
        document: ConfigDocument | None = None,
        timing: LeaseTiming | None = None,
        is_watched: bool = True,
    ) -> None:
        self.log = MemoryLog()
        self.network = FakeNetwork(seed=seed)
        self.shard_count = shard_count
        self.violations: list[str] = []
        self._seed = seed
        self._is_watched = is_watched
        self._lives = 0
        self._timing = timing
        self.document = document or keyed_document(shard_count)
        self.nodes: dict[NodeId, FleetNode] = {}
        for spec in specs:
            self.nodes[spec.name] = self._make(spec)

    async def __aenter__(self) -> 'VirtualFleet':
        """Publish the configuration and start all nodes."""
        self._oracle = asyncio.ensure_future(self._watch())
        for node in self.nodes.values():
            await node.start()
        await self.publish(self.document)
        return self

    async def __aexit__(self, kind: object, *_rest: object) -> None:
        """End all nodes and raise what the oracle saw."""
        self._oracle.cancel()
        for node in self.nodes.values():
            await node.kill()
        if kind is None:
            self.raise_violations()

    def raise_violations(self) -> None:
        """Raise when a task failed or the oracle saw two owners."""
        for node in self.nodes.values():
            for error in node.process.errors:
                raise error
        if self.violations:
            raise TwoOwnersError('; '.join(self.violations[:3]))

    async def publish(self, document: ConfigDocument) -> None:
        """Publish a configuration through any running node."""
        running = [each for each in self.nodes.values() if each.is_running]
        if not running:
            raise ValueError('no node runs')
        node = running[0]
        record = ConfigPublished(
            ConfigVersion(node.journal.fleet.config_version),
            encode_document(document),
            'test',
        )
        outcome = await node.process.spawn(
            node.journal.propose(record, deadline_s=node.clock.now_s() + 5)
        )
        if outcome.unwrap().verdict is not Verdict.ACCEPTED:
            raise ValueError('the document was refused')
        self.document = document

    async def add(self, spec: NodeSpec) -> None:
        """Start one more node."""
        self.nodes[spec.name] = self._make(spec)
        await self.nodes[spec.name].start()

    async def restart(self, name: NodeId, *, is_same_vm: bool = True) -> None:
        """Start a killed node again, with or without its upstream."""
        old = self.nodes[name]
        upstream = old.upstream if is_same_vm else None
        self.nodes[name] = self._make(old.spec, upstream)
        await self.nodes[name].start()

    def serving_nodes(self, shard: int) -> list[NodeId]:
        """Return the nodes that would serve a shard now."""
        return [
            name for name, node in self.nodes.items() if node.would_serve(shard)
        ]

    def is_served(self) -> bool:
        """Return whether every shard has one server."""
        return len(self._serving()) == self.shard_count

    async def wait_until(
        self, condition: Callable[[], bool], *, limit_s: float = _PATIENCE_S
    ) -> float:
        """Wait for a condition and return how long it took in seconds."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while not condition():
            self.raise_violations()
            if loop.time() - start_s > limit_s:
                raise TimeoutError(f'not so within {limit_s} s')
            await asyncio.sleep(_POLL_S)
        return loop.time() - start_s

    def block_links(
        self, left: Iterable[NodeId], right: Iterable[NodeId]
    ) -> None:
        """Cut all links from the left nodes to the right ones, one way."""
        for source in left:
            for target in right:
                pair = self.nodes[source].address, self.nodes[target].address
                self.network.blocked_links.add(pair)

    def _make(
        self, spec: NodeSpec, upstream: FakeUpstream | None = None
    ) -> FleetNode:
        # Each life of a process has a random source of its own.
        self._lives += 1
        return FleetNode(
            spec,
            log=self.log,
            network=self.network,
            seed=f'{self._seed}/{self._lives}',
            timing=self._timing,
            upstream=upstream,
        )

    async def _watch(self) -> None:
        while self._is_watched:
            self._look()
            await asyncio.sleep(_ORACLE_S)

    def _serving(self) -> dict[int, list[NodeId]]:
        """Return the servers of each shard.

        A node is asked about the shards that it takes for its own; it
        refuses all others by the same look at its state.
        """
        found: dict[int, list[NodeId]] = defaultdict(list)
        for name, node in self.nodes.items():
            for shard in filter(node.would_serve, node.own_shards()):
                found[shard].append(name)
        return found

    def _taking(self) -> dict[int, list[NodeId]]:
        """Return the nodes whose upstreams take orders for each shard."""
        found: dict[int, list[NodeId]] = defaultdict(list)
        for name, node in self.nodes.items():
            for shard in node.upstream.granted_shards():
                found[shard].append(name)
        return found

    def _look(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for side in (self._serving(), self._taking()):
            for shard, names in side.items():
                if len(names) > 1:
                    seen = f'shard {shard} at {names}'
                    self.violations.append(f'{now_s:.3f} s: {seen}')


def keyed_document(
    shard_count: int, *, checks_fences: bool = True
) -> ConfigDocument:
    """Return a document with one keyed service."""
    policy = ServicePolicy(
        is_keyed=True,
        shard_count=shard_count,
        checks_fences=checks_fences,
        request_timeout_s=3,
    )
    return ConfigDocument(services={SERVICE: policy})


def zoned_specs(
    *sizes: int,
    rates: tuple[float, ...] = (1,),
    checks_fences: bool = True,
    standby_delay_s: float = 0.4,
) -> list[NodeSpec]:
    """Return specs of nodes named `a0`, `a1`, ... by zones `a`, `b`, ..."""
    specs: list[NodeSpec] = []
    for zone_index, size in enumerate(sizes):
        zone = 'abcdefg'[zone_index]
        for index in range(size):
            spec = NodeSpec(
                name=NodeId(f'{zone}{index}'),
                host=f'10.0.{zone_index}.{index}',
                zone=Zone(zone),
                clock_rate=rates[len(specs) % len(rates)],
                checks_fences=checks_fences,
                standby_delay_s=standby_delay_s,
            )
            specs.append(spec)
    return specs
