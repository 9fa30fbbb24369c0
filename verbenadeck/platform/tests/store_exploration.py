"""Random disorder of the store under nodes that follow it, in virtual time.

The store behaves as the platform describes it: it retains the newest record of
each key, forgets its history, turns some nodes away and comes back from a copy.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from verbenadeck.fleet.tests.builders import make_join, make_published
from verbenadeck.journal import Checkpointer, LogClient, StreamFollower
from verbenadeck.model import NodeId, Zone
from verbenadeck.peers import PeerAddress
from verbenadeck.platform import _options
from verbenadeck.platform._frames import make_record, split_record
from verbenadeck.platform._operator_records import (
    make_operator_follower,
    make_records_handler,
)
from verbenadeck.platform.tests.builders import make_config
from verbenadeck.routes import RouteStore
from verbenadeck.testing import (
    FakeNetwork,
    MemoryLog,
    MemoryLogAdapter,
    run_virtual,
    virtual_clock,
)

ZONES = ('suva', 'nadi', 'lautoka')

_TOUCH_S = 3.0
"""Time in seconds after the last disorder from which bounds hold."""

_APPLY_S = 2.0
"""Time in seconds within which operators' records must be in force."""

_CONVERGENCE_S = 20.0
_CHECK_INTERVAL_S = 0.05
_COPY_INTERVAL_S = 0.25
_MAX_COPY_AGE_S = 5.0
_AWAY_S = 1.0
_TURNED_AWAY_SHARE = 0.35
_KEEP_S = 20.0
_FIRST_PORT = 7000


class BrokenPromiseError(AssertionError):
    """A node has not kept what is promised to operators."""


class _Node:
    """Node that follows the fleet's log and the operators' records."""

    def __init__(
        self,
        log: MemoryLog,
        stream: MemoryLog,
        network: FakeNetwork,
        index: int,
    ) -> None:
        self.name = NodeId(f'node-{index}')
        self.zone = Zone(ZONES[index % len(ZONES)])
        self.clock = virtual_clock(offset_s=index * 1000)
        self.random = random.Random(f'node/{index}')
        self.address = PeerAddress('127.0.0.1', _FIRST_PORT + index)
        self.adapters = (
            MemoryLogAdapter(log, self.clock, writer=self.name),
            MemoryLogAdapter(stream, self.clock),
        )
        transport = network.transport(self.address, self.clock)
        self.client = LogClient(
            adapter=self.adapters[0],
            clock=self.clock,
            random_source=self.random,
            node_id=self.name,
            transport=transport,
            options=_options.JOURNAL_OPTIONS,
        )
        self.checkpointer = Checkpointer(
            client=self.client,
            clock=self.clock,
            options=_options.CHECKPOINT_OPTIONS,
        )
        self.route_store = RouteStore()
        self.follower: StreamFollower = make_operator_follower(
            adapter=self.adapters[1],
            clock=self.clock,
            random_source=self.random,
            transport=transport,
            planner=self.client.make_planner(
                _options.OPERATOR_READS.direct_readers
            ),
            options=_options.OPERATOR_READS,
            on_records=make_records_handler(self.route_store),
        )
        self.confirmed_writes: dict[Zone, int] = {}
        self.versions = [0]
        self.route_store.subscribe(
            lambda state: self.versions.append(state.version)
        )

    async def start(self) -> None:
        """Start, and join the fleet."""
        await self.client.start()
        await self.checkpointer.start()
        await self.follower.start()
        join = make_join(self.name, zone=self.zone, peer_port=self.address.port)
        await self.client.propose(join, deadline_s=self.clock.now_s() + 20)

    async def stop(self) -> None:
        """Stop all parts."""
        await self.checkpointer.stop()
        await self.follower.stop()
        await self.client.stop()

    @property
    def has_ended(self) -> bool:
        """Whether a task has ended that a process can't be without."""
        tasks = (self.client._task, self.follower._task)
        return any(task is None or task.done() for task in tasks)

    def is_in_force(self, version: int, zones_out: frozenset[Zone]) -> bool:
        """Return whether this node acts as operators want it."""
        state = self.route_store.state
        if state is None:
            return False
        return state.version == version and state.zones_out == zones_out

    def describe_state(self) -> str:
        """Describe what is in force on this node."""
        state = self.route_store.state
        if state is None:
            return 'nothing'
        return f'{state.version} without {sorted(state.zones_out)}'


class StoreExploration:
    """Nodes of three zones, their store and its operators.

    Parameters
    ----------
    seed : int
        Seed of the disorder.
    node_count : int
        Number of nodes.
    answer_delay_s : float
        Time in seconds that answers to reads are on their way.
    """

    def __init__(
        self, seed: int, *, node_count: int = 9, answer_delay_s: float = 0.02
    ) -> None:
        self.random = random.Random(seed)
        self.log = MemoryLog(keep_s=_KEEP_S, newest_page_size=20)
        self.stream = MemoryLog(keep_s=_KEEP_S)
        self.logs = (self.log, self.stream)
        for each in self.logs:
            each.answer_delay_s = answer_delay_s
        network = FakeNetwork(seed=seed)
        self.nodes = [
            _Node(self.log, self.stream, network, index)
            for index in range(node_count)
        ]
        self._version = 0
        self._zones_out: frozenset[Zone] = frozenset()
        self._write_count = 0
        self._written: dict[str, bytes] = {}
        self._zone_writes: dict[Zone, int] = {}
        self._written_at_s = 0.0
        self._calm_since_s = 0.0
        self._copies: list[tuple[float, int, int]] = []
        self._background: list[asyncio.Task[None]] = []

    async def run(self, step_count: int) -> None:
        """Lead the nodes through some steps and check the promises.

        Parameters
        ----------
        step_count : int
            Number of steps of disorder.
        """
        self.write_version()
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(_TOUCH_S)
        for work in (self._publish(), self._take_copies(), self._check()):
            self._background.append(asyncio.ensure_future(work))
        try:
            for _ in range(step_count):
                await self._run_step()
                self._raise_failures()
            await asyncio.sleep(_CONVERGENCE_S)
            self._raise_failures()
            self._check_convergence()
        finally:
            for task in self._background:
                task.cancel()
            for node in self.nodes:
                await node.stop()

    async def _run_step(self) -> None:
        step: Callable[[], Awaitable[None]] = self.random.choice(
            (
                self.write_often,
                self.turn_away,
                self.turn_away_and_forget,
                self.return_from_copy,
                self.return_from_copy,
                self.rest,
            )
        )
        await step()
        await asyncio.sleep(self.random.choice((0.2, 1.0, 3.0, 6.0)))

    async def write_often(self) -> None:
        """Write several records in a row."""
        for _ in range(self.random.randint(1, 5)):
            self.write_anything()
            await asyncio.sleep(self.random.choice((0.05, 0.3, 1.0)))

    async def turn_away(self) -> None:
        """Turn some nodes away for some seconds while operators write."""
        await self._turn_away(forgets=False)

    async def turn_away_and_forget(self) -> None:
        """Turn some nodes away, and forget the history meanwhile."""
        await self._turn_away(forgets=True)

    async def rest(self) -> None:
        """Let the bounds hold for a while, with writes."""
        await asyncio.sleep(_TOUCH_S)
        for _ in range(3):
            self.write_anything()
            await asyncio.sleep(_APPLY_S / 2)

    async def return_from_copy(self) -> None:
        """Come back from a copy that is up to five seconds old.

        Operators write what was lost again, at once or seconds later, and may
        write something new right after the return.
        """
        now_s = asyncio.get_running_loop().time()
        age_s = self.random.uniform(0.2, _MAX_COPY_AGE_S)
        copied = [each for each in self._copies if each[0] <= now_s - age_s]
        if not copied:
            return
        self._disturb()
        for each in self.logs:
            each.is_up = False
        await asyncio.sleep(_AWAY_S)
        _, log_count, stream_count = copied[-1]
        self._copies.clear()
        lost = self.stream.records[stream_count:]
        self.log.return_from_copy(log_count)
        self.stream.return_from_copy(stream_count)
        for each in self.logs:
            each.is_up = True
        self._disturb()
        await asyncio.sleep(self.random.choice((0, 0.05, 0.2, 1.0, 5.0)))
        self._disturb()
        self._write_again({split_record(record)[0] for record in lost})
        if self.random.choice((True, True, False)):
            self.write_anything()

    def write_anything(self) -> None:
        """Write a new version, an evacuation or its end."""
        if self.random.choice((True, False)):
            self.write_version()
            return
        zone = Zone(self.random.choice(ZONES))
        self._zones_out = self._zones_out.symmetric_difference({zone})
        self._write_count += 1
        self._zone_writes[zone] = self._write_count
        content = b''
        if zone in self._zones_out:
            # Content of its own: an evacuation that is equal to a lost one at
            # the same index can't be told from that one.
            content = msgspec.json.encode({'number': self._write_count})
        self._write(f'evacuate/{zone}', content)

    def write_version(self) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        self._write('config', make_config(f'{self._version:08x}'))

    def _write_again(self, keys: set[str]) -> None:
        for key in sorted(keys):
            self._write(key, self._written[key])

    def _write(self, key: str, content: bytes) -> None:
        self._written[key] = content
        self.stream.append(make_record(key, content), key, is_drop=not content)
        self._written_at_s = asyncio.get_running_loop().time()

    async def _turn_away(self, *, forgets: bool) -> None:
        turned_away = self.random.sample(
            self.nodes, round(len(self.nodes) * _TURNED_AWAY_SHARE)
        )
        self._set_cut(turned_away, is_cut=True)
        for number in range(self.random.randint(2, 8)):
            self._disturb()
            if forgets and number == 1:
                for each in self.logs:
                    each.expire_all()
            self.write_anything()
            await asyncio.sleep(1)
        self._set_cut(turned_away, is_cut=False)
        self._disturb()

    def _set_cut(self, nodes: list[_Node], *, is_cut: bool) -> None:
        for node in nodes:
            for adapter in node.adapters:
                adapter.is_cut = is_cut

    def _disturb(self) -> None:
        self._calm_since_s = asyncio.get_running_loop().time()

    async def _publish(self) -> None:
        """Write into the fleet's log all the while."""
        while True:
            node = self.random.choice(self.nodes)
            record = make_published(
                expected_version=node.client.fleet.config_version
            )
            await node.client.propose(record, deadline_s=node.clock.now_s() + 1)
            await asyncio.sleep(0.2)

    async def _take_copies(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            counts = [len(each.records) for each in self.logs]
            if all(each.is_up for each in self.logs):
                self._copies.append((now_s, counts[0], counts[1]))
            await asyncio.sleep(_COPY_INTERVAL_S)

    async def _check(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            if any(node.has_ended for node in self.nodes):
                raise BrokenPromiseError(f'{now_s:.2f} s: a process ended')
            for node in self.nodes:
                if node.versions != sorted(node.versions):
                    raise BrokenPromiseError('a version went back')
            is_calm = now_s >= self._calm_since_s + _TOUCH_S
            if is_calm and now_s >= self._written_at_s + _APPLY_S:
                self._check_in_force(now_s)
                for node in self.nodes:
                    node.confirmed_writes = dict(self._zone_writes)
            self._check_evacuations(now_s)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _check_in_force(self, now_s: float) -> None:
        late = [
            f'{node.name} ({node.describe_state()})'
            for node in self.nodes
            if not node.is_in_force(self._version, self._zones_out)
        ]
        if late:
            raise BrokenPromiseError(
                f'{now_s:.2f} s: version {self._version} without '
                f'{sorted(self._zones_out)} is not in force at {late}'
            )

    def _check_evacuations(self, now_s: float) -> None:
        """Fail if an evacuation has ended that operators still want."""
        for node in self.nodes:
            state = node.route_store.state
            for zone in self._zones_out:
                number = self._zone_writes[zone]
                is_known = node.confirmed_writes.get(zone) == number
                if is_known and state and zone not in state.zones_out:
                    raise BrokenPromiseError(
                        f'{now_s:.2f} s: the evacuation of {zone} has ended '
                        f'by itself at {node.name}'
                    )

    def _check_convergence(self) -> None:
        for node in self.nodes:
            if not node.client.is_ready:
                raise BrokenPromiseError(
                    f'{node.name} waits for {node.client.blocked_on}'
                )
        eras = {node.client.fleet.claims.log_era for node in self.nodes}
        if eras != {self.log.era}:
            raise BrokenPromiseError(f'nodes are in eras {eras}')

    def _raise_failures(self) -> None:
        for task in self._background:
            if task.done():
                task.result()


def explore_store(seed: int, *, step_count: int = 10) -> None:
    """Lead nodes through random disorder of the store.

    Raises `BrokenPromiseError` when a process ends, a version goes back, or a
    record of operators is not in force in time.

    Parameters
    ----------
    seed : int
        Seed of the disorder.
    step_count : int
        Number of steps.
    """

    async def main() -> None:
        await StoreExploration(seed).run(step_count)

    run_virtual(main())
