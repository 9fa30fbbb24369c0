"""Following of a stream: few nodes read it, all receive it in time."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from returns.result import Failure, Result

from verbenadeck.adapters import (
    LogError,
    LogFailure,
    LogPage,
    NewestRecords,
)
from verbenadeck.journal import ReadOptions, RecordsKind, StreamFollower
from verbenadeck.journal.tests.builders import (
    FaultyAdapter,
    LogFleet,
    Node,
    make_site,
    name_by_content,
)
from verbenadeck.model import Offset
from verbenadeck.testing import MemoryLog, MemoryLogAdapter, run_virtual

_MAX_APPLY_S = 2.0
"""Maximum time in seconds until every node knows a record.

It is the bound that users set for a configuration to take effect.
"""

_DIRECT_READERS = 2
_ZONES = ('suva',) * 9 + ('nadi',) * 9
_OPTIONS = ReadOptions(
    wait_s=1.0,
    max_age_s=1.5,
    reply_margin_s=0.3,
    source_hold_s=2.0,
    stale_hold_s=0.3,
    log_backoff_s=0.3,
    direct_readers=_DIRECT_READERS,
)


class _StreamReader:
    """Follower of the stream on one node of a site."""

    def __init__(self, site: LogFleet, index: int, stream: MemoryLog) -> None:
        node = site.nodes[index]
        self.records: list[bytes] = []
        self.adapter = FaultyAdapter(stream, node.clock)
        self.follower = StreamFollower(
            adapter=self.adapter,
            clock=node.clock,
            random_source=random.Random(index),
            transport=node.transport,
            planner=node.client.make_planner(_DIRECT_READERS),
            options=_OPTIONS,
            split_record=name_by_content,
            on_records=self._on_records,
        )

    def _on_records(
        self, records: tuple[bytes, ...], kind: RecordsKind
    ) -> None:
        if kind is not RecordsKind.FOLLOWING:
            self.records.clear()
        self.records.extend(records)


_SiteAndReaders = tuple[LogFleet, list[_StreamReader]]


@asynccontextmanager
async def _make_readers(stream: MemoryLog) -> AsyncIterator[_SiteAndReaders]:
    async with make_site(*_ZONES) as site:
        readers = [
            _StreamReader(site, index, stream) for index in range(len(_ZONES))
        ]
        for reader in readers:
            await reader.follower.start()
        await site.settle(10)
        yield site, readers
        for reader in readers:
            await reader.follower.stop()


def test_only_direct_readers_read_stream_and_all_nodes_receive_it() -> None:
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
            assert sum(count > 1 for count in asked) == _DIRECT_READERS

    run_virtual(scenario())


def test_silent_stream_delays_records_within_bound() -> None:
    """Guard against direct readers that get no answer to their reads."""

    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            for reader in readers[:_DIRECT_READERS]:
                reader.adapter.is_silent = True
            # Reads in flight still return an answer, as they began before the fault.
            await site.settle(1.1)
            stream.records.append(b'news')
            await site.settle(_MAX_APPLY_S)
            late = [each for each in readers if each.records != [b'news']]
            assert not late

    run_virtual(scenario())


@pytest.mark.parametrize('index', [5, 11, 17])
@pytest.mark.parametrize('lost_after_s', [0.2, 0.5, 0.8, 1.1])
def test_lost_answer_of_the_log_delays_records_within_bound(
    index: int, lost_after_s: float
) -> None:
    """Guard against stale peers that are asked while the log would answer.

    All peers of a node are cut off from the log, and it reads the log itself.
    One answer of the log is lost, at the moment of a new record.
    """

    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            cut_off = readers.pop(index)
            for reader in readers:
                reader.adapter.fails_reads = True
            await site.settle(8 + lost_after_s)
            cut_off.adapter.is_silent = True
            await site.settle(0.05)
            stream.records.append(b'news')
            await site.settle(1.0)
            cut_off.adapter.is_silent = False
            await site.settle(_MAX_APPLY_S - 1.0)
            assert cut_off.records == [b'news']

    run_virtual(scenario())


def test_burst_of_records_arrives_complete_and_in_order() -> None:
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


def test_follower_reloads_retained_records_after_expiry() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            stream.is_up = False
            await site.settle(5)
            stream.append(b'a', 'name')
            stream.append(b'b', 'name')
            stream.expire_all()
            stream.is_up = True
            await site.settle(5)
            assert all(reader.records == [b'b'] for reader in readers)

    run_virtual(scenario())


def _make_follower(
    node: Node, adapter: MemoryLogAdapter, passed_on: list[bytes]
) -> StreamFollower:
    return StreamFollower(
        adapter=adapter,
        clock=node.clock,
        random_source=random.Random(1),
        transport=node.transport,
        planner=node.client.make_planner(_DIRECT_READERS),
        options=_OPTIONS,
        split_record=name_by_content,
        on_records=lambda records, _kind: passed_on.extend(records),
    )


class _OvertakenAdapter(MemoryLogAdapter):
    """Client of which another call sees a later era before `newest` returns."""

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        answer = await super().newest()
        if not self._log.era:
            self._log.return_from_copy(0)
            self._log.append(b'new', 'new')
            await self.read(Offset(0), limit=1, deadline_s=0)
        return answer


# Guards against records that count as those of a later answer's era, so that
# the return of the log is never noticed.
def test_loaded_records_belong_to_the_era_of_their_answer() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        stream.append(b'lost', 'lost')
        async with make_site('suva') as site:
            node = site.nodes[0]
            passed_on: list[bytes] = []
            follower = _make_follower(
                node, _OvertakenAdapter(stream, node.clock), passed_on
            )
            await follower.start()
            await site.settle(3)
            await follower.stop()
            assert b'new' in passed_on

    run_virtual(scenario())


async def _forget_history_unread(
    site: LogFleet, readers: list[_StreamReader], behind: int, stream: MemoryLog
) -> None:
    """Let all nodes but one load the newest records of a shortened history."""
    site.network.isolate(site.nodes[behind].address)
    for reader in readers:
        reader.adapter.is_cut = True
    await site.settle(3)
    stream.append(b'first', 'name')
    stream.append(b'news', 'name')
    stream.expire_all()
    for index, reader in enumerate(readers):
        reader.adapter.is_cut = index == behind
    await site.settle(6)
    site.network.heal()


# Guards against a node that only the log can help, while the log rejects it.
@pytest.mark.parametrize('behind', [0, 5, 17])
def test_peers_send_their_state_when_records_have_expired(behind: int) -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            await _forget_history_unread(site, readers, behind, stream)
            await site.settle(_MAX_APPLY_S)
            assert readers[behind].records == [b'news']

    run_virtual(scenario())


# Guards against a node that waits for the log to learn of its return.
def test_peers_send_their_state_after_a_return() -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        stream.append(b'lost', 'lost')
        async with _make_readers(stream) as (site, readers):
            readers[5].adapter.is_cut = True
            stream.return_from_copy(0)
            stream.append(b'news', 'name')
            await site.settle(_MAX_APPLY_S)
            assert readers[5].records == [b'lost', b'news']

    run_virtual(scenario())


# Guards against a back-off that goes on after the log has answered.
@pytest.mark.parametrize('index', [5, 11, 17])
def test_expired_records_end_the_back_off_from_the_log(index: int) -> None:
    async def scenario() -> None:
        stream = MemoryLog()
        async with _make_readers(stream) as (site, readers):
            for reader in readers:
                reader.adapter.is_cut = True
            await site.settle(20)
            stream.append(b'first', 'name')
            stream.append(b'second', 'name')
            stream.expire_all()
            alone = readers[index]
            site.network.isolate(site.nodes[index].address)
            alone.adapter.is_cut = False
            await site.settle(10)
            assert alone.records == [b'second']
            for number in range(8):
                stream.append(b'skipped', 'name')
                stream.append(bytes([number]), 'name')
                stream.expire_all()
                await site.settle(_MAX_APPLY_S)
                assert alone.records[-1] == bytes([number])

    run_virtual(scenario())


class _ExpiringAdapter(FaultyAdapter):
    """Client for a log that says of every record that it has expired."""

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        self.reads += 1
        return Failure(LogError(LogFailure.EXPIRED, 'always'))


# Guards against reads without a pause of a log that contradicts itself.
def test_read_rate_is_bounded_when_every_record_has_expired() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            node = site.nodes[0]
            adapter = _ExpiringAdapter(MemoryLog(), node.clock)
            follower = _make_follower(node, adapter, [])
            await follower.start()
            await site.settle(20)
            await follower.stop()
            assert adapter.reads + adapter.newest_calls < 200

    run_virtual(scenario())
