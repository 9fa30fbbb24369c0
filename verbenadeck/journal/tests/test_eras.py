"""Log clients after the log has come back without its newest records."""

import asyncio
import random

import pytest
from returns.result import Result, Success

from verbenadeck.adapters import LogError, LogPage, NewestRecords
from verbenadeck.fleet import FleetState
from verbenadeck.fleet.tests.builders import make_join
from verbenadeck.journal import Checkpointer, LogClient
from verbenadeck.journal._checkpoint_search import CheckpointSearch
from verbenadeck.journal._recovery import assemble_state
from verbenadeck.journal._state_loader import StateLoader
from verbenadeck.journal.tests.builders import LogFleet, make_site
from verbenadeck.model import (
    Era,
    NodeId,
    Offset,
    WriterId,
    era_of,
    index_of,
)
from verbenadeck.records import (
    CheckpointChunk,
    Envelope,
    EraStart,
    Record,
    encode_envelope,
)
from verbenadeck.testing import (
    MemoryLog,
    MemoryLogAdapter,
    run_virtual,
    virtual_clock,
)

_SETTLING_S = 8.0


async def _lose_joins(site: LogFleet, *, count: int) -> None:
    """Let other nodes join, and let the log lose these joins."""
    copied_count = len(site.log.records)
    first = site.nodes[0]
    for index in range(count):
        await first.client.propose(
            make_join(f'lost-{index}'), deadline_s=first.deadline_in(5)
        )
    await site.settle()
    site.log.return_from_copy(copied_count)


async def _lose_joins_after_checkpoint(
    site: LogFleet, *, checkpoint_by: int, count: int
) -> None:
    node = site.nodes[checkpoint_by]
    checkpointer = Checkpointer(client=node.client, clock=node.clock)
    assert await checkpointer.write()
    await site.settle()
    await _lose_joins(site, count=count)


# Guards against records that follow the lost ones, not the loaded checkpoint.
@pytest.mark.parametrize('checkpoint_by', [0, 2])
@pytest.mark.parametrize('lost_count', [2, 6])
def test_node_that_learns_of_a_return_from_a_peer_loads_the_checkpoint(
    checkpoint_by: int, lost_count: int
) -> None:
    async def scenario() -> None:
        async with make_site(*('suva',) * 9) as site:
            await _lose_joins_after_checkpoint(
                site, checkpoint_by=checkpoint_by, count=lost_count
            )
            await site.settle(_SETTLING_S)
            assert all(node.client.is_ready for node in site.nodes)
            assert site.has_converged()
            assert site.nodes[-1].client.fleet.claims.log_era == site.log.era

    run_virtual(scenario())


# Guards against a process that ends because of what the log has returned.
def test_records_that_do_not_follow_the_state_are_refused_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        counted: list[str] = []
        clock = virtual_clock()
        log = MemoryLog()
        log.records.append(_encode(make_join('a'), era=Era(0), sequence=1))
        client = LogClient(
            adapter=MemoryLogAdapter(log, clock),
            clock=clock,
            random_source=random.Random(1),
            node_id=NodeId('node'),
            count=counted.append,
        )
        monkeypatch.setattr(StateLoader, 'load', _load_misplaced_tail)
        await client.start()
        await asyncio.sleep(2)
        assert counted == ['log_pages_out_of_order']
        assert client.is_ready
        assert index_of(client.fleet.applied_offset) == 0
        await client.stop()

    run_virtual(scenario())


async def _load_misplaced_tail(loader: StateLoader) -> None:
    loader.tail = LogPage(Offset(0), Offset(5), (b'record',))


async def _fresh_snapshot(site: LogFleet) -> bytes:
    node = await site.add(joins=False)
    await node.client.wait_ready(deadline_s=node.deadline_in(5))
    return node.client.fleet.snapshot()


# Guards against a read after the old end, which leaves out what was written.
@pytest.mark.parametrize('lost_count', [1, 9])
def test_reader_learns_of_a_return_when_the_log_is_longer_again(
    lost_count: int,
) -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi', 'lautoka', 'suva') as site:
            await _lose_joins(site, count=lost_count)
            unaware = site.nodes[0]
            unaware.adapter.is_cut = True
            unaware.transport.is_up = False
            writer = site.nodes[1]
            for index in range(12):
                await writer.client.propose(
                    make_join(f'new-{index}'), deadline_s=writer.deadline_in(5)
                )
            unaware.adapter.is_cut = False
            unaware.transport.is_up = True
            await site.settle(_SETTLING_S)
            assert site.has_converged()
            assert site.nodes[0].client.fleet.snapshot() == (
                await _fresh_snapshot(site)
            )

    run_virtual(scenario())


# Guards against a node that takes a peer's records of another era for its own.
def test_nodes_that_read_from_peers_learn_of_a_return() -> None:
    async def scenario() -> None:
        async with make_site(*('suva',) * 9) as site:
            await _lose_joins(site, count=3)
            await site.settle(_SETTLING_S)
            assert site.has_converged()
            fleet = site.nodes[-1].client.fleet
            assert era_of(fleet.applied_offset) == site.log.era
            assert all(
                not member.node_id.startswith('lost')
                for member in fleet.members.values()
            )

    run_virtual(scenario())


def test_log_that_comes_back_twice_is_followed() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi', 'lautoka') as site:
            copied_count = len(site.log.records)
            await _lose_joins(site, count=2)
            await asyncio.sleep(0.2)
            site.log.return_from_copy(copied_count)
            await site.settle(_SETTLING_S)
            assert site.has_converged()
            applied_offset = site.nodes[0].client.fleet.applied_offset
            assert era_of(applied_offset) == Era(2)

    run_virtual(scenario())


def test_proposal_waits_for_the_first_record_of_the_era() -> None:
    async def scenario() -> None:
        async with make_site('suva', 'nadi') as site:
            await _lose_joins(site, count=2)
            await site.settle(_SETTLING_S)
            first = site.nodes[0]
            answer = await first.client.propose(
                make_join('new'), deadline_s=first.deadline_in(5)
            )
            assert era_of(answer.unwrap().offset) == site.log.era

    run_virtual(scenario())


def _encode(
    record: Record, *, era: Era, sequence: int, seen: int = -1
) -> bytes:
    return encode_envelope(
        Envelope(1, WriterId('w'), sequence, record, Offset(seen), era)
    )


# Guards against a checkpoint of lost records that is appended late.
def test_late_checkpoint_of_lost_records_is_not_loaded() -> None:
    late = CheckpointChunk(Offset(1), 0, 1, FleetState().snapshot())
    records = (
        _encode(make_join('a'), era=Era(0), sequence=1),
        _encode(EraStart(Era(1)), era=Era(1), sequence=2),
        _encode(make_join('b'), era=Era(1), sequence=3),
        _encode(late, era=Era(0), sequence=4),
    )
    newest = NewestRecords(
        tuple((Offset(index), each) for index, each in enumerate(records)),
        Offset(len(records)),
    )
    recovered = assemble_state(newest, Offset(-1))
    assert recovered.checkpoint is None
    assert recovered.tail.records == records


class _DamagedLog(MemoryLogAdapter):
    """Client for a log of era 1 whose only checkpoint is damaged."""

    era = Era(1)

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        chunk = CheckpointChunk(Offset(0), 0, 1, b'damaged')
        record = _encode(chunk, era=Era(1), sequence=1)
        return Success(NewestRecords(((Offset(1), record),), Offset(2), Era(1)))


# Guards against a state of lost records that counts as one of the new era.
def test_state_stays_in_its_era_when_the_checkpoint_is_damaged() -> None:
    async def scenario() -> None:
        clock = virtual_clock()
        adapter = _DamagedLog(MemoryLog(), clock)
        fleet = FleetState()
        loader = StateLoader(
            adapter=adapter,
            search=CheckpointSearch(
                adapter=adapter, clock=clock, page_limit=512
            ),
            fleet=fleet,
            clock=clock,
            random_source=random.Random(1),
        )
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(3):
                await loader.load()
        assert fleet.claims.log_era == Era(0)

    run_virtual(scenario())


def test_offsets_of_a_new_era_continue_the_indices_of_the_copy() -> None:
    state = FleetState()
    state.follow(_encode(make_join('a'), era=Era(0), sequence=1))
    offset, _ = state.follow(_encode(EraStart(Era(1)), era=Era(1), sequence=2))
    assert (era_of(offset), index_of(offset)) == (1, 1)
