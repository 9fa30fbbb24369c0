"""Fleet in virtual time, with an oracle that checks exclusive ownership."""

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

_CHECK_INTERVAL_S = 0.005
_POLL_INTERVAL_S = 0.01
_WAIT_TIMEOUT_S = 30.0


class TwoOwnersError(AssertionError):
    """Two nodes or two upstreams would serve the same shard at one time."""


class VirtualFleet:
    """Nodes that share one log and one network, checked by an oracle.

    Parameters
    ----------
    specs : iterable of NodeSpec
        Nodes to create.
    shard_count : int
        Number of shards of the one service.
    seed : int
        Seed of all random sources.
    document : ConfigDocument or None
        Configuration to publish; by default that of `keyed_document`.
    timing : LeaseTiming or None
        Time-outs of the lease protocol; by default those of `Membership`.
    is_watched : bool
        Whether the oracle checks ownership while the fleet runs.
    log : MemoryLog or None
        Log that the nodes share; by default one that retains the
        newest record of each name.
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
        log: MemoryLog | None = None,
    ) -> None:
        self.log = log or MemoryLog()
        self.network = FakeNetwork(seed=seed)
        self.shard_count = shard_count
        self.violations: list[str] = []
        self._seed = seed
        self._is_watched = is_watched
        self._start_count = 0
        self._timing = timing
        self.document = document or keyed_document(shard_count)
        self.nodes: dict[NodeId, FleetNode] = {}
        for spec in specs:
            self.nodes[spec.name] = self._make_node(spec)

    async def __aenter__(self) -> 'VirtualFleet':
        """Start all nodes and publish the configuration."""
        self._oracle = asyncio.ensure_future(self._run_oracle())
        for node in self.nodes.values():
            await node.start()
        await self.publish(self.document)
        return self

    async def __aexit__(self, kind: object, *_rest: object) -> None:
        """Kill all nodes and raise the failures that were recorded."""
        self._oracle.cancel()
        for node in self.nodes.values():
            await node.kill()
        if kind is None:
            self.raise_violations()

    def raise_violations(self) -> None:
        """Raise if a task failed or the oracle found two owners of a shard."""
        for node in self.nodes.values():
            for error in node.process.errors:
                raise error
        if self.violations:
            raise TwoOwnersError('; '.join(self.violations[:3]))

    async def publish(self, document: ConfigDocument) -> None:
        """Publish a configuration through the first running node."""
        running = [each for each in self.nodes.values() if each.is_running]
        if not running:
            raise ValueError('cannot publish: no node is running')
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
            raise ValueError('configuration document was refused')
        self.document = document

    async def add(self, spec: NodeSpec) -> None:
        """Create and start one more node."""
        self.nodes[spec.name] = self._make_node(spec)
        await self.nodes[spec.name].start()

    async def restart(self, name: NodeId, *, is_same_vm: bool = True) -> None:
        """Start a killed node again.

        Parameters
        ----------
        name : NodeId
            Node to start.
        is_same_vm : bool
            Whether the node keeps its upstream; otherwise it gets a new one.
        """
        old = self.nodes[name]
        upstream = old.upstream if is_same_vm else None
        self.nodes[name] = self._make_node(old.spec, upstream)
        await self.nodes[name].start()

    def serving_nodes(self, shard: int) -> list[NodeId]:
        """Return the nodes that would send a request for a shard now."""
        return [
            name for name, node in self.nodes.items() if node.would_serve(shard)
        ]

    def is_served(self) -> bool:
        """Return whether every shard has a node that would serve it."""
        return len(self._nodes_serving()) == self.shard_count

    async def wait_until(
        self, condition: Callable[[], bool], *, limit_s: float = _WAIT_TIMEOUT_S
    ) -> float:
        """Poll a condition until it holds and return the wait in seconds.

        Parameters
        ----------
        condition : callable
            Returns whether the wait is over.
        limit_s : float
            Virtual seconds after which `TimeoutError` is raised.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while not condition():
            self.raise_violations()
            if loop.time() - start_s > limit_s:
                raise TimeoutError(f'condition did not hold within {limit_s} s')
            await asyncio.sleep(_POLL_INTERVAL_S)
        return loop.time() - start_s

    def block_links(
        self, left: Iterable[NodeId], right: Iterable[NodeId]
    ) -> None:
        """Block the links from the left nodes to the right ones, one way."""
        for source in left:
            for target in right:
                link = self.nodes[source].address, self.nodes[target].address
                self.network.blocked_links.add(link)

    def _make_node(
        self, spec: NodeSpec, upstream: FakeUpstream | None = None
    ) -> FleetNode:
        # Each start of a node process gets a random source of its own.
        self._start_count += 1
        return FleetNode(
            spec,
            log=self.log,
            network=self.network,
            seed=f'{self._seed}/{self._start_count}',
            timing=self._timing,
            upstream=upstream,
        )

    async def _run_oracle(self) -> None:
        while self._is_watched:
            self._check_owners()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _nodes_serving(self) -> dict[int, list[NodeId]]:
        """Return the nodes that would serve each shard.

        A node is asked only about the shards that it considers its own: it
        refuses all others by the same check of its state.
        """
        found: dict[int, list[NodeId]] = defaultdict(list)
        for name, node in self.nodes.items():
            for shard in filter(node.would_serve, node.owned_shards()):
                found[shard].append(name)
        return found

    def _nodes_granted(self) -> dict[int, list[NodeId]]:
        """Return the nodes whose upstreams hold a grant for each shard."""
        found: dict[int, list[NodeId]] = defaultdict(list)
        for name, node in self.nodes.items():
            for shard in node.upstream.granted_shards():
                found[shard].append(name)
        return found

    def _check_owners(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for owners in (self._nodes_serving(), self._nodes_granted()):
            for shard, names in owners.items():
                if len(names) > 1:
                    violation = f'shard {shard} has several owners: {names}'
                    self.violations.append(f'{now_s:.3f} s: {violation}')


def keyed_document(
    shard_count: int, *, checks_fences: bool = True
) -> ConfigDocument:
    """Return a configuration with one keyed service.

    Parameters
    ----------
    shard_count : int
        Number of shards of the service.
    checks_fences : bool
        Whether the upstreams of the service check fences.
    """
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
    """Return specs of nodes `a0`, `a1`, ... in zones `a`, `b`, ...

    Parameters
    ----------
    *sizes : int
        Number of nodes in each zone.
    rates : tuple of float
        Clock rates, assigned to the nodes in turn.
    checks_fences : bool
        Whether the upstreams check fences.
    standby_delay_s : float
        Standby delay of the planners in seconds.
    """
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
