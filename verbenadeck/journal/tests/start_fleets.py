"""Builder of large fleets whose nodes start at the same time."""

import asyncio
import random
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure, NewestRecords
from verbenadeck.fleet.tests.builders import make_published
from verbenadeck.journal import JournalOptions, ReadOptions, StreamFollower
from verbenadeck.journal.tests.builders import (
    FaultyAdapter,
    Node,
    name_by_content,
)
from verbenadeck.model import Offset
from verbenadeck.testing import FakeNetwork, MemoryLog

ZONES = ('suva', 'nadi', 'lautoka', 'ba', 'sigatoka')
LOG_READS = ReadOptions(
    wait_s=2.0,
    max_age_s=4.0,
    reply_margin_s=0.4,
    min_read_interval_s=0.1,
    direct_readers=2,
)
STREAM_READS = ReadOptions(
    wait_s=1.0,
    max_age_s=1.5,
    reply_margin_s=0.3,
    min_read_interval_s=0.05,
    direct_readers=2,
)

_START_SPREAD_S = 0.3
_ANNOUNCE_SPREAD_S = 1.0
_RESTART_S = 0.3


class RetainingAdapter(FaultyAdapter):
    """Client for a log that returns all its records with one call."""

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        self.reads += 1
        if not self._log.is_up or self.is_cut:
            return Failure(LogError(LogFailure.UNAVAILABLE, 'down'))
        return Success(
            NewestRecords(
                tuple(
                    (Offset(offset), record)
                    for offset, record in enumerate(self._log.records)
                ),
                Offset(len(self._log.records)),
            )
        )


class StartNode(Node):
    """Log client and stream follower of one process of a node."""

    def __init__(
        self,
        log: MemoryLog,
        stream: MemoryLog,
        network: FakeNetwork,
        index: int,
        *,
        run_number: int,
    ) -> None:
        super().__init__(
            log,
            network,
            index,
            zone=ZONES[index % len(ZONES)],
            run_number=run_number,
            options=JournalOptions(reads=LOG_READS),
        )
        self.stream_adapter = RetainingAdapter(stream, self.clock)
        self.records: list[bytes] = []
        self.follower = StreamFollower(
            adapter=self.stream_adapter,
            clock=self.clock,
            random_source=random.Random(f'stream/{index}/{run_number}'),
            transport=self.transport,
            planner=self.client.make_planner(STREAM_READS.direct_readers),
            options=STREAM_READS,
            split_record=name_by_content,
            on_records=lambda records, _kind: self.records.extend(records),
        )

    def make_adapter(self, log: MemoryLog) -> FaultyAdapter:
        return RetainingAdapter(log, self.clock)

    @property
    def call_count(self) -> int:
        """Number of calls to the log and to the stream."""
        adapters = (self.adapter, self.stream_adapter)
        return sum(each.reads + each.appends for each in adapters)

    async def run(self, delay_s: float, announce_s: float) -> None:
        """Start, and join when the upstream has announced itself."""
        await asyncio.sleep(delay_s)
        await self.client.start()
        await self.follower.start()
        await asyncio.sleep(announce_s)
        await self.join()

    async def stop(self) -> None:
        await self.follower.stop()
        await super().stop()


class StartFleet:
    """Nodes of five zones that can be started and killed together.

    Parameters
    ----------
    size : int
        Number of nodes.
    """

    def __init__(self, size: int, *, seed: int = 1) -> None:
        self.log = MemoryLog()
        self.stream = MemoryLog()
        self.network = FakeNetwork(seed=seed)
        self.nodes: dict[int, StartNode] = {}
        self.size = size
        self._random = random.Random(seed)
        self._run_number = 0
        self._starts: list[asyncio.Task[None]] = []
        self._finished_calls = 0

    @property
    def call_count(self) -> int:
        """Number of calls of all processes so far."""
        running = sum(node.call_count for node in self.nodes.values())
        return running + self._finished_calls

    async def start(self, indices: Iterable[int]) -> None:
        """Start processes within the spread of one power-on."""
        self._run_number += 1
        for index in indices:
            node = StartNode(
                self.log,
                self.stream,
                self.network,
                index,
                run_number=self._run_number,
            )
            self.nodes[index] = node
            self._starts.append(
                asyncio.ensure_future(
                    node.run(
                        self._random.uniform(0, _START_SPREAD_S),
                        self._random.uniform(0, _ANNOUNCE_SPREAD_S),
                    )
                )
            )

    async def wait_joined(self) -> None:
        """Wait until all started nodes have joined."""
        await asyncio.gather(*self._starts)
        self._starts.clear()

    async def kill(self, indices: Iterable[int]) -> None:
        """Kill processes; their records stay in the log."""
        for index in indices:
            node = self.nodes.pop(index)
            await node.stop()
            self._finished_calls += node.call_count

    async def restart(self, indices: Iterable[int]) -> None:
        """Kill processes and start them again a moment later."""
        chosen = tuple(indices)
        await self.kill(chosen)
        await asyncio.sleep(_RESTART_S)
        await self.start(chosen)
        await self.wait_joined()

    async def publish(self) -> Offset:
        """Publish a configuration through the first node."""
        node = next(iter(self.nodes.values()))
        record = make_published(
            expected_version=node.client.fleet.config_version
        )
        answer = await node.client.propose(
            record, deadline_s=node.deadline_in(5)
        )
        return answer.unwrap().offset

    async def stop(self) -> None:
        """Stop all processes."""
        await self.kill(tuple(self.nodes))
