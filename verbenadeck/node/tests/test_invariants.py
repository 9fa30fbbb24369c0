"""A process ends when it can no longer apply records of the log.

Otherwise it would go on serving from stale state while its lease is renewed.
"""

import asyncio
import random

from verbenadeck.config import encode_document
from verbenadeck.journal import LogClient
from verbenadeck.model import ConfigDocument, ConfigVersion, NodeId, Offset
from verbenadeck.node._invariants import (
    BROKEN_INVARIANT_EXIT_STATUS,
    make_loop_exception_handler,
)
from verbenadeck.records import ConfigPublished, Record, Verdict
from verbenadeck.testing import MemoryLog, MemoryLogAdapter
from verbenadeck.utils import Clock


def _flush_nothing() -> None:
    """Do nothing, as a log writer without pending lines does."""


def _raise_in_listener(
    _offset: Offset, _record: Record, _verdict: Verdict
) -> None:
    raise ValueError('a listener is broken')


async def _run_log_client_with_broken_listener(
    log: MemoryLog, ended: 'asyncio.Future[int]'
) -> None:
    asyncio.get_running_loop().set_exception_handler(
        make_loop_exception_handler(
            flush_logs=_flush_nothing, exit_process=ended.set_result
        )
    )
    clock = Clock()
    client = LogClient(
        adapter=MemoryLogAdapter(log, clock),
        clock=clock,
        random_source=random.Random(1),
        node_id=NodeId('n1'),
    )
    client.fleet.subscribe(_raise_in_listener)
    await client.start()
    record = ConfigPublished(
        ConfigVersion(0), encode_document(ConfigDocument()), 'test'
    )
    proposal = asyncio.create_task(
        client.propose(record, deadline_s=clock.now_s() + 30)
    )
    async with asyncio.timeout(30):
        assert await ended == BROKEN_INVARIANT_EXIT_STATUS
    proposal.cancel()
    await client.stop()


def test_failed_log_listener_ends_the_process() -> None:
    async def scenario() -> None:
        ended = asyncio.get_running_loop().create_future()
        await _run_log_client_with_broken_listener(MemoryLog(), ended)

    asyncio.run(scenario())


def test_other_exceptions_do_not_end_the_process() -> None:
    async def scenario() -> None:
        statuses: list[int] = []
        handle = make_loop_exception_handler(
            flush_logs=_flush_nothing, exit_process=statuses.append
        )
        loop = asyncio.get_running_loop()
        handle(loop, {'message': 'other', 'exception': ValueError('other')})
        assert not statuses

    asyncio.run(scenario())
