"""A node whose tail of the log broke must not go on."""

import asyncio
import random

from verbenadeck.config import encode_document
from verbenadeck.journal import LogClient
from verbenadeck.model import ConfigDocument, ConfigVersion, NodeId, Offset
from verbenadeck.node._invariants import (
    BROKEN_STATUS,
    make_loop_exception_handler,
)
from verbenadeck.records import ConfigPublished, Record, Verdict
from verbenadeck.testing import MemoryLog, MemoryLogAdapter
from verbenadeck.utils import Clock


def _nothing() -> None:
    """Stand for a writer without pending lines."""


def _break(_offset: Offset, _record: Record, _verdict: Verdict) -> None:
    raise ValueError('a listener is broken')


async def _run(log: MemoryLog, ended: 'asyncio.Future[int]') -> None:
    asyncio.get_running_loop().set_exception_handler(
        make_loop_exception_handler(
            flush_logs=_nothing, exit_process=ended.set_result
        )
    )
    clock = Clock()
    client = LogClient(
        adapter=MemoryLogAdapter(log, clock),
        clock=clock,
        random_source=random.Random(1),
        node_id=NodeId('n1'),
    )
    client.fleet.subscribe(_break)
    await client.start()
    record = ConfigPublished(
        ConfigVersion(0), encode_document(ConfigDocument()), 'test'
    )
    proposal = asyncio.create_task(
        client.propose(record, deadline_s=clock.now_s() + 30)
    )
    async with asyncio.timeout(30):
        assert await ended == BROKEN_STATUS
    proposal.cancel()
    await client.stop()


def test_a_broken_tail_ends_the_process() -> None:
    async def scenario() -> None:
        ended = asyncio.get_running_loop().create_future()
        await _run(MemoryLog(), ended)

    asyncio.run(scenario())


def test_other_errors_do_not() -> None:
    async def scenario() -> None:
        statuses: list[int] = []
        handle = make_loop_exception_handler(
            flush_logs=_nothing, exit_process=statuses.append
        )
        loop = asyncio.get_running_loop()
        handle(loop, {'message': 'other', 'exception': ValueError('other')})
        assert not statuses

    asyncio.run(scenario())
