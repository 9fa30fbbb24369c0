"""A stream beside the log: few nodes read it, all know it in time."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure, NewestRecords
from verbenadeck.journal import ReadOptions, StreamFollower
from verbenadeck.journal.tests.builders import (
    FaultyAdapter,
    LogFleet,
    make_site,
)
from verbenadeck.model import Offset
from verbenadeck.testing import MemoryLog, run_virtual

_IN_FORCE_S = 2.0
"""Time within which a record is to be known everywhere, as stated by the
users' bound on a configuration."""

_DIRECT = 2
_ZONES = ('suva',) * 9 + ('nadi',) * 9
_OPTIONS = ReadOptions(
    wait_s=1.0, max_age_s=1.5, reply_margin_s=0.3, direct_per_zone=_DIRECT
)


class _KeptStream(FaultyAdapter):
    """Way to a stream that keeps its records from some position on."""

    kept_from = 0

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        if not self._log.is_up:
            return Failure(LogError(LogFailure.UNAVAILABLE, 'down'))
        records = tuple(enumerate(self._log.records))[self.kept_from :]
        return Success(
            NewestRecords(
                tuple((Offset(offset), record) for offset, record in records),
                Offset(len(self._log.records)),
            )
        )


class _Reader:
    """Follower of the stream at one node of a site."""

    def __init__(self, site: LogFleet, index: int, stream: MemoryLog) -> None:
        node = site.nodes[index]
        self.records: list[bytes] = []
        self.adapter = _KeptStream(stream, node.clock)
        self.follower = StreamFollower(
            adapter=self.adapter,
            clock=node.clock,
            random_source=random.Random(index),
            transport=node.transport,
            planner=node.client.make_planner(_DIRECT),
            options=_OPTIONS,
            on_records=self._take,
        )

    def _take(self, records: tuple[bytes, ...], is_snapshot: bool) -> None:
        if is_snapshot:
            self.records.clear()
        self.records.extend(records)


_Stage = tuple[LogFleet, list[_Reader]]


@asynccontextmanager
async def _make_readers(stream: MemoryLog) -> AsyncIterator[_Stage]:
    async with make_site(*_ZONES) as site:
        readers = [_Reader(site, index, stream) for index in range(len(_ZONES))]
        for reader in readers:
            await reader.follower.start()
        await site.settle(10)
        yield site, readers
        for reader in readers:
            await reader.follower.stop()


def test_few_nodes_of_a_zone_read_the_stream_and_all_know_it() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            before = [reader.adapter.reads for reader in readers]
            await site.settle(20)
            stream.records.append(b'news')
            await site.settle(0.5)
            assert all(reader.records == [b'news'] for reader in readers)
            asked = [
                reader.adapter.reads - earlier
                for reader, earlier in zip(readers, before, strict=True)
            ]
            assert sum(count > 1 for count in asked) == 2 * _DIRECT

    run_virtual(scenario())


def test_readers_without_an_answer_delay_nobody_beyond_the_bound() -> None:
    """The two that read for a zone lose the answer with the news."""

    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            for reader in readers[:_DIRECT]:
                reader.adapter.is_silent = True
            # The read that is out now still ends with what it began with.
            await site.settle(1.1)
            stream.records.append(b'news')
            await site.settle(_IN_FORCE_S)
            late = [each for each in readers if each.records != [b'news']]
            assert not late

    run_virtual(scenario())


def test_a_storm_of_records_arrives_whole_and_in_order() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            sent = [bytes([number]) for number in range(60)]
            for record in sent:
                stream.records.append(record)
                await asyncio.sleep(0.03)
            await site.settle(1)
            assert all(reader.records == sent for reader in readers)

    run_virtual(scenario())


def test_a_follower_that_fell_behind_loads_what_is_kept() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            stream.is_up = False
            await site.settle(5)
            stream.records.extend((b'a', b'b'))
            stream.first_offset = 1
            for reader in readers:
                reader.adapter.kept_from = 1
            stream.is_up = True
            await site.settle(5)
            assert all(reader.records == [b'b'] for reader in readers)

    run_virtual(scenario())
