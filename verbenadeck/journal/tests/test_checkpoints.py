"""Checkpoints: writing, loading, and starts on a log with expired records."""

import asyncio
import random
from contextlib import AbstractAsyncContextManager

from verbenadeck.fleet.tests.builders import (
    HOLDS,
    SHARD_COUNT,
    make_join,
    make_published,
)
from verbenadeck.journal import Checkpointer, CheckpointOptions
from verbenadeck.journal.tests.builders import LogFleet, Node, make_site
from verbenadeck.model import (
    NO_FENCE,
    ConfigVersion,
    Offset,
    Shard,
    WriterId,
)
from verbenadeck.records import (
    Assign,
    CheckpointChunk,
    Envelope,
    ShardMove,
    Verdict,
    decode_envelope,
    encode_envelope,
)
from verbenadeck.testing import MemoryLog, run_virtual

_FAST_OPTIONS = CheckpointOptions(
    interval_s=60, max_records=50, check_interval_s=1, turn_s=5
)


async def _publish(node: Node) -> None:
    version = node.client.fleet.config_version
    published = make_published(expected_version=version)
    answer = await node.client.propose(
        published, deadline_s=node.deadline_in(10)
    )
    assert answer.unwrap().verdict is Verdict.ACCEPTED


async def _assign_all(node: Node) -> None:
    owner = node.client.incarnation
    assert owner is not None
    move = ShardMove(HOLDS, 0, SHARD_COUNT, NO_FENCE, owner)
    record = Assign((move,))
    answer = await node.client.propose(record, deadline_s=node.deadline_in(10))
    assert answer.unwrap().verdict is Verdict.ACCEPTED


def _make_site(*zones: str) -> AbstractAsyncContextManager[LogFleet]:
    """Return a site whose log retains nothing but what has not expired."""
    return make_site(*zones, log=MemoryLog(retains_newest=False))


def _make_checkpointer(node: Node) -> Checkpointer:
    return Checkpointer(
        client=node.client, clock=node.clock, options=_FAST_OPTIONS
    )


def _read_chunks(site: LogFleet) -> list[CheckpointChunk]:
    records = [
        decode_envelope(payload).unwrap().record for payload in site.log.records
    ]
    return [record for record in records if isinstance(record, CheckpointChunk)]


def test_new_node_loads_state_from_checkpoint() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            first_node = site.nodes[0]
            await _publish(first_node)
            await _assign_all(first_node)
            assert await _make_checkpointer(first_node).write()
            await _publish(first_node)
            site.expire(keep=2)
            joining_node = await site.add(zone='nadi')
            await site.settle()
            assert joining_node.client.fleet.config_version == 2
            view = joining_node.client.fleet.shard(HOLDS, Shard(3))
            assert view.owner == first_node.client.incarnation
            assert site.has_converged()

    run_virtual(scenario())


def test_new_node_without_checkpoint_does_not_start_empty_on_expired_log() -> (
    None
):
    async def scenario() -> None:
        async with _make_site('suva') as site:
            await _publish(site.nodes[0])
            site.expire(keep=1)
            joining_node = await site.add(joins=False)
            await site.settle(30)
            assert not joining_node.client.is_ready
            assert 'a checkpoint' in joining_node.client.blocked_on
            assert joining_node.client.fleet.applied_offset == -1
            refused = await joining_node.client.propose(
                joining_node.join_record(),
                deadline_s=joining_node.deadline_in(3),
            )
            assert 'a checkpoint' in refused.failure().detail

    run_virtual(scenario())


def test_checkpoint_is_written_after_outage_longer_than_retention() -> None:
    async def scenario() -> None:
        async with _make_site('suva', 'nadi') as site:
            first_node = site.nodes[0]
            await _publish(first_node)
            await _assign_all(first_node)
            await site.settle()
            site.log.is_up = False
            await site.settle(60)
            site.expire()
            site.log.is_up = True
            checkpointer = _make_checkpointer(first_node)
            await checkpointer.start()
            joining_node = await site.add(zone='lautoka')
            await site.settle()
            view = joining_node.client.fleet.shard(HOLDS, Shard(0))
            assert view.owner == first_node.client.incarnation
            assert site.has_converged()
            await checkpointer.stop()

    run_virtual(scenario())


def test_checkpoint_is_rejected_when_next_record_has_expired() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            first_node = site.nodes[0]
            snapshot_offset = first_node.client.fleet.applied_offset
            await _publish(first_node)
            assert await _make_checkpointer(first_node).write()
            chunk = len(_read_chunks(site))
            assert chunk == 1
            await _publish(first_node)
            site.log.first_offset = snapshot_offset + 3
            joining_node = await site.add(joins=False)
            await site.settle(10)
            assert not joining_node.client.is_ready

    run_virtual(scenario())


def test_incomplete_checkpoint_is_ignored() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            first_node = site.nodes[0]
            await _publish(first_node)
            assert await _make_checkpointer(first_node).write()
            complete_at = first_node.client.fleet.applied_offset
            await _publish(first_node)
            incomplete = CheckpointChunk(
                as_of_offset=first_node.client.fleet.applied_offset,
                index=0,
                count=2,
                part=b'half',
            )
            await first_node.client.propose(
                incomplete, deadline_s=first_node.deadline_in(5)
            )
            site.log.first_offset = complete_at
            joining_node = await site.add(zone='nadi')
            await site.settle()
            assert joining_node.client.fleet.config_version == 2
            assert site.has_converged()

    run_virtual(scenario())


def test_node_does_not_start_from_corrupt_checkpoint() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            first_node = site.nodes[0]
            await _publish(first_node)
            as_of = first_node.client.fleet.applied_offset
            corrupt = CheckpointChunk(as_of, 0, 1, b'damaged')
            await first_node.client.propose(
                corrupt, deadline_s=first_node.deadline_in(5)
            )
            site.expire(keep=1)
            joining_node = await site.add(joins=False)
            await site.settle(10)
            assert not joining_node.client.is_ready
            assert joining_node.client.fleet.applied_offset == -1

    run_virtual(scenario())


def test_concurrent_checkpoints_leave_nodes_consistent() -> None:
    async def scenario() -> None:
        async with _make_site('suva', 'nadi') as site:
            await _publish(site.nodes[0])
            await site.settle()
            written = await asyncio.gather(
                *(_make_checkpointer(node).write() for node in site.nodes)
            )
            assert written == [True, True]
            site.expire(keep=2)
            await site.add(zone='lautoka')
            await site.settle()
            assert site.has_converged()

    run_virtual(scenario())


def test_only_oldest_member_writes_checkpoints_until_it_stops() -> None:
    async def scenario() -> None:
        async with _make_site('suva', 'nadi', 'lautoka') as site:
            checkpointers = [_make_checkpointer(node) for node in site.nodes]
            for checkpointer in checkpointers:
                await checkpointer.start()
            await site.settle(200)
            assert 3 <= len(_read_chunks(site)) <= 4
            await checkpointers[0].stop()
            count = len(_read_chunks(site))
            await site.settle(200)
            assert len(_read_chunks(site)) >= count + 2
            for checkpointer in checkpointers:
                await checkpointer.stop()

    run_virtual(scenario())


def test_checkpoint_is_written_after_max_records() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            first_node = site.nodes[0]
            checkpointer = _make_checkpointer(first_node)
            await checkpointer.start()
            for version in range(100, 350):
                await first_node.client.propose(
                    make_published(expected_version=version),
                    deadline_s=first_node.deadline_in(5),
                )
            assert len(_read_chunks(site)) >= 2
            await site.settle(2 * _FAST_OPTIONS.check_interval_s)
            newest = first_node.client.applier.checkpoints.newest
            assert newest is not None
            unsaved_count = (
                first_node.client.fleet.applied_offset - newest.as_of_offset
            )
            assert unsaved_count <= _FAST_OPTIONS.max_records
            await checkpointer.stop()

    run_virtual(scenario())


def test_node_disconnected_beyond_retention_loads_checkpoint() -> None:
    async def scenario() -> None:
        async with _make_site('suva', 'nadi') as site:
            first_node, disconnected = site.nodes
            replaced: list[Offset] = []

            def record_replacement(
                offset: Offset, record: object, _verdict: object
            ) -> None:
                if isinstance(record, CheckpointChunk) and not record.count:
                    replaced.append(offset)

            disconnected.client.fleet.subscribe(record_replacement)
            disconnected.adapter.is_cut = True
            site.network.isolate(disconnected.address)
            await _publish(first_node)
            await _assign_all(first_node)
            assert await _make_checkpointer(first_node).write()
            site.expire(keep=1)
            disconnected.adapter.is_cut = False
            site.network.heal()
            await site.settle(10)
            assert site.has_converged()
            assert replaced

    run_virtual(scenario())


def test_newest_checkpoint_of_long_log_is_found_in_few_reads() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            first_node = site.nodes[0]
            await _publish(first_node)
            assert await _make_checkpointer(first_node).write()
            source = random.Random(7)
            for sequence in range(1, 40_000):
                envelope = Envelope(
                    format_version=1,
                    writer=WriterId('filler'),
                    sequence=sequence,
                    record=make_published(expected_version=99),
                    seen_offset=Offset(len(site.log.records) - 1),
                )
                site.log.records.append(encode_envelope(envelope))
                if source.randrange(50_000) == 0:
                    site.log.records.append(b'noise')
            last = Offset(len(site.log.records) - 1)
            assert await first_node.client.wait_applied(last, deadline_s=1000)
            await _publish(first_node)
            assert await _make_checkpointer(first_node).write()
            site.log.first_offset = 2
            joining_node = await site.add(zone='nadi')
            assert joining_node.client.fleet.config_version == ConfigVersion(2)
            assert joining_node.adapter.reads < 60
            assert site.has_converged()

    run_virtual(scenario())


def test_start_waits_while_log_is_down() -> None:
    async def scenario() -> None:
        async with _make_site('suva') as site:
            await _publish(site.nodes[0])
            site.log.is_up = False
            joining_node = await site.add(joins=False)
            await site.settle(20)
            assert 'the log' in joining_node.client.blocked_on
            site.log.is_up = True
            assert await joining_node.client.wait_ready(
                deadline_s=joining_node.deadline_in(5)
            )
            joined = await joining_node.client.propose(
                make_join('late'), deadline_s=joining_node.deadline_in(5)
            )
            assert joined.unwrap().verdict is Verdict.ACCEPTED

    run_virtual(scenario())
