import asyncio
import random

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
from verbenadeck.testing import run_virtual

_FAST = CheckpointOptions(
    interval_s=60, max_records=50, check_interval_s=1, turn_s=5
)


async def _publish(node: Node) -> None:
    version = node.client.fleet.config_version
    published = make_published(expected_version=version)
    answer = await node.client.propose(published, deadline_s=node.in_s(10))
    assert answer.unwrap().verdict is Verdict.ACCEPTED


async def _assign_all(node: Node) -> None:
    owner = node.client.incarnation
    assert owner is not None
    move = ShardMove(HOLDS, 0, SHARD_COUNT, NO_FENCE, owner)
    record = Assign((move,))
    answer = await node.client.propose(record, deadline_s=node.in_s(10))
    assert answer.unwrap().verdict is Verdict.ACCEPTED


def _checkpointer(node: Node) -> Checkpointer:
    return Checkpointer(client=node.client, clock=node.clock, options=_FAST)


def _chunks(site: LogFleet) -> list[CheckpointChunk]:
    records = [
        decode_envelope(payload).unwrap().record for payload in site.log.records
    ]
    return [record for record in records if isinstance(record, CheckpointChunk)]


def test_a_new_node_starts_from_a_checkpoint() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            old = site.nodes[0]
            await _publish(old)
            await _assign_all(old)
            assert await _checkpointer(old).write()
            await _publish(old)
            site.expire(keep=2)
            new = await site.add(zone='nadi')
            await site.settle()
            assert new.client.fleet.config_version == 2
            view = new.client.fleet.shard(HOLDS, Shard(3))
            assert view.owner == old.client.incarnation
            assert site.agree()

    run_virtual(scenario())


def test_a_new_node_never_starts_empty_over_lost_history() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            await _publish(site.nodes[0])
            site.expire(keep=1)
            new = await site.add(joins=False)
            await site.settle(30)
            assert not new.client.is_ready
            assert 'a checkpoint' in new.client.blocked_on
            assert new.client.fleet.applied_offset == -1
            refused = await new.client.propose(
                new.join_record(), deadline_s=new.in_s(3)
            )
            assert 'a checkpoint' in refused.failure().detail

    run_virtual(scenario())


def test_state_is_republished_after_an_outage_beyond_retention() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            old = site.nodes[0]
            await _publish(old)
            await _assign_all(old)
            await site.settle()
            site.log.is_up = False
            await site.settle(60)
            site.expire()
            site.log.is_up = True
            checkpointer = _checkpointer(old)
            await checkpointer.start()
            new = await site.add(zone='lautoka')
            await site.settle()
            view = new.client.fleet.shard(HOLDS, Shard(0))
            assert view.owner == old.client.incarnation
            assert site.agree()
            await checkpointer.stop()

    run_virtual(scenario())


def test_a_checkpoint_that_the_log_does_not_continue_is_refused() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            old = site.nodes[0]
            packed_at = old.client.fleet.applied_offset
            await _publish(old)
            assert await _checkpointer(old).write()
            chunk = len(_chunks(site))
            assert chunk == 1
            await _publish(old)
            site.log.first_offset = packed_at + 3
            new = await site.add(joins=False)
            await site.settle(10)
            assert not new.client.is_ready

    run_virtual(scenario())


def test_half_a_checkpoint_is_ignored() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            old = site.nodes[0]
            await _publish(old)
            assert await _checkpointer(old).write()
            whole_at = old.client.fleet.applied_offset
            await _publish(old)
            half = CheckpointChunk(
                as_of_offset=old.client.fleet.applied_offset,
                index=0,
                count=2,
                part=b'half',
            )
            await old.client.propose(half, deadline_s=old.in_s(5))
            site.log.first_offset = whole_at
            new = await site.add(zone='nadi')
            await site.settle()
            assert new.client.fleet.config_version == 2
            assert site.agree()

    run_virtual(scenario())


def test_a_damaged_checkpoint_is_no_start() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            old = site.nodes[0]
            await _publish(old)
            as_of = old.client.fleet.applied_offset
            bad = CheckpointChunk(as_of, 0, 1, b'damaged')
            await old.client.propose(bad, deadline_s=old.in_s(5))
            site.expire(keep=1)
            new = await site.add(joins=False)
            await site.settle(10)
            assert not new.client.is_ready
            assert new.client.fleet.applied_offset == -1

    run_virtual(scenario())


def test_two_that_write_at_once_do_no_harm() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            await _publish(site.nodes[0])
            await site.settle()
            written = await asyncio.gather(
                *(_checkpointer(node).write() for node in site.nodes)
            )
            assert written == [True, True]
            site.expire(keep=2)
            await site.add(zone='lautoka')
            await site.settle()
            assert site.agree()

    run_virtual(scenario())


def test_only_the_oldest_writes_until_it_is_lost() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi', 'lautoka') as site:
            checkpointers = [_checkpointer(node) for node in site.nodes]
            for checkpointer in checkpointers:
                await checkpointer.start()
            await site.settle(200)
            assert 3 <= len(_chunks(site)) <= 4
            await checkpointers[0].stop()
            count = len(_chunks(site))
            await site.settle(200)
            assert len(_chunks(site)) >= count + 2
            for checkpointer in checkpointers:
                await checkpointer.stop()

    run_virtual(scenario())


def test_many_records_call_for_a_checkpoint() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            old = site.nodes[0]
            checkpointer = _checkpointer(old)
            await checkpointer.start()
            for version in range(100, 350):
                await old.client.propose(
                    make_published(expected_version=version),
                    deadline_s=old.in_s(5),
                )
            assert len(_chunks(site)) >= 2
            await site.settle(2 * _FAST.check_interval_s)
            newest = old.client.intake.checkpoints.newest
            assert newest is not None
            behind = old.client.fleet.applied_offset - newest.as_of_offset
            assert behind <= _FAST.max_records
            await checkpointer.stop()

    run_virtual(scenario())


def test_a_node_that_was_away_beyond_retention_takes_a_checkpoint() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            old, away = site.nodes
            replaced: list[Offset] = []

            def note(offset: Offset, record: object, _verdict: object) -> None:
                if isinstance(record, CheckpointChunk) and not record.count:
                    replaced.append(offset)

            away.client.fleet.subscribe(note)
            away.adapter.is_cut = True
            site.network.isolate(away.address)
            await _publish(old)
            await _assign_all(old)
            assert await _checkpointer(old).write()
            site.expire(keep=1)
            away.adapter.is_cut = False
            site.network.heal()
            await site.settle(10)
            assert site.agree()
            assert replaced

    run_virtual(scenario())


def test_the_newest_checkpoint_of_a_long_log_is_found() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            old = site.nodes[0]
            await _publish(old)
            assert await _checkpointer(old).write()
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
            assert await old.client.wait_applied(last, deadline_s=1000)
            await _publish(old)
            assert await _checkpointer(old).write()
            site.log.first_offset = 2
            new = await site.add(zone='nadi')
            assert new.client.fleet.config_version == ConfigVersion(2)
            assert new.adapter.reads < 60
            assert site.agree()

    run_virtual(scenario())


def test_a_start_waits_for_a_log_that_is_down() -> None:
    async def scenario() -> None:
        async with make_site('suva') as site:
            await _publish(site.nodes[0])
            site.log.is_up = False
            new = await site.add(joins=False)
            await site.settle(20)
            assert 'the log' in new.client.blocked_on
            site.log.is_up = True
            assert await new.client.wait_ready(deadline_s=new.in_s(5))
            joined = await new.client.propose(
                make_join('late'), deadline_s=new.in_s(5)
            )
            assert joined.unwrap().verdict is Verdict.ACCEPTED

    run_virtual(scenario())
