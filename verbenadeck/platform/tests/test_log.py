"""The fleet's log in the store, and starting from what it keeps."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from returns.pipeline import is_successful

from verbenadeck.adapters import LogFailure
from verbenadeck.config import encode_document
from verbenadeck.journal import Checkpointer, LogClient
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    NodeId,
    Offset,
)
from verbenadeck.platform._log import KEPT_RECORDS, TOPIC, StoreLog
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform.tests.builders import (
    CLOCK,
    running_store,
    soon_s,
)
from verbenadeck.records import ConfigPublished
from verbenadeck.standins import StoreStandin

_Scenario = Callable[[StoreStandin, StoreClient], Awaitable[None]]


def _run(scenario: _Scenario, *, page: int = 500) -> None:
    async def main() -> None:
        async with running_store(page=page) as (store, client):
            await scenario(store, client)

    asyncio.run(main())


def _log(client: StoreClient, name: str = 'n1') -> StoreLog:
    return StoreLog(client, node_id=NodeId(name), clock=CLOCK)


def _client(store: StoreClient, name: str) -> LogClient:
    return LogClient(
        adapter=_log(store, name),
        clock=CLOCK,
        random_source=random.Random(name),
        node_id=NodeId(name),
    )


async def _publish(journal: LogClient, version: int) -> None:
    document = ConfigDocument(moves_per_minute=version + 1)
    record = ConfigPublished(
        ConfigVersion(version), encode_document(document), 'test'
    )
    assert is_successful(await journal.propose(record, deadline_s=soon_s()))


def test_records_come_back_without_their_keys() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        log = _log(client)
        for record in (b'a', b'bc'):
            await log.append(record, deadline_s=soon_s())
        page = (
            await log.read(Offset(1), limit=9, deadline_s=soon_s())
        ).unwrap()
        assert page.records == (b'bc',)

    _run(scenario)


def test_what_is_known_about_an_append_that_failed() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        log = _log(client)
        store.faults.is_down = True
        refused = await log.append(b'a', deadline_s=soon_s())
        assert refused.failure().failure is LogFailure.NOT_APPENDED
        store.faults.is_down = False
        store.faults.lost_answers = 1
        lost = await log.append(b'a', deadline_s=soon_s())
        assert lost.failure().failure is LogFailure.UNKNOWN

    _run(scenario)


def test_the_newest_records_are_kept_over_several_pages() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        log = _log(client)
        for number in range(KEPT_RECORDS + 6):
            await log.append(bytes([number]), deadline_s=soon_s())
        newest = (await log.newest()).unwrap()
        assert newest is not None
        assert newest.end_offset == KEPT_RECORDS + 6
        offsets = [offset for offset, _ in newest.records]
        assert offsets == list(range(6, KEPT_RECORDS + 6))

    _run(scenario, page=10)


def test_a_start_over_lost_history_takes_what_is_kept() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        first = _client(client, 'n1')
        await first.start()
        await _publish(first, 0)
        assert await Checkpointer(client=first, clock=CLOCK).write()
        await _publish(first, 1)
        topic = store.topic(TOPIC)
        topic.first = len(topic.records)
        second = _client(client, 'n2')
        await second.start()
        assert await second.wait_ready(deadline_s=soon_s())
        assert second.fleet.config_version == 2
        assert second.fleet.config.moves_per_minute == 2
        await _publish(second, 2)
        await first.stop()
        await second.stop()

    _run(scenario)


def test_a_gap_in_what_is_kept_is_no_start() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        log = _log(client)
        for number in range(KEPT_RECORDS + 1):
            await log.append(bytes([number]), deadline_s=soon_s())
        topic = store.topic(TOPIC)
        topic.first = len(topic.records)
        late = _client(client, 'n2')
        await late.start()
        assert not await late.wait_ready(deadline_s=soon_s(0.5))
        assert 'checkpoint' in late.blocked_on
        await late.stop()

    _run(scenario)


def test_a_restarted_writer_replaces_its_oldest_records_first() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = _log(client)
        for number in range(20):
            await first.append(bytes([number]), deadline_s=soon_s())
        for _ in range(8):
            again = _log(client)
            await again.newest()
            for number in range(4):
                await again.append(bytes([number]), deadline_s=soon_s())
        newest = (await _log(client).newest()).unwrap()
        assert newest is not None
        offsets = [offset for offset, _ in newest.records]
        assert offsets == list(range(52))

    _run(scenario)


def test_a_restarted_writer_that_knows_nothing_yet_replaces_nothing() -> None:
    """A peer's record that it appends at once must not replace its own."""

    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = _log(client)
        for number in range(4):
            await first.append(bytes([number]), deadline_s=soon_s())
        await _log(client).append(b'of a peer', deadline_s=soon_s())
        newest = (await first.newest()).unwrap()
        assert newest is not None
        assert [offset for offset, _ in newest.records] == [0, 1, 2, 3, 4]

    _run(scenario)


def test_a_writer_without_knowledge_of_its_records_appends_nothing() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        store.faults.is_down = True
        answer = await _log(client).append(b'a', deadline_s=soon_s())
        assert answer.failure().failure is LogFailure.NOT_APPENDED

    _run(scenario)


def test_a_late_append_of_an_earlier_process_replaces_nothing() -> None:
    """The store may carry out a call seconds after its caller has ended."""

    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = _log(client)
        await first.append(b'0', deadline_s=soon_s())
        again = _log(client)
        await again.newest()
        await again.append(b'1', deadline_s=soon_s())
        await first.append(b'late', deadline_s=soon_s())
        newest = (await again.newest()).unwrap()
        assert newest is not None
        assert [offset for offset, _ in newest.records] == [0, 1, 2]

    _run(scenario)


def test_an_older_checkpoint_does_not_replace_a_newer_one() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        for node in ('n1', 'n2'):
            await _log(client, node).append(
                node.encode(), deadline_s=soon_s(), name='checkpoint/0'
            )
        newest = (await _log(client).newest()).unwrap()
        assert newest is not None
        assert [record for _, record in newest.records] == [b'n1', b'n2']

    _run(scenario)


def test_a_gap_in_what_is_kept_is_read_from_the_log() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        first = _client(client, 'n1')
        await first.start()
        await _publish(first, 0)
        assert await Checkpointer(client=first, clock=CLOCK).write()
        for version in range(1, KEPT_RECORDS + 4):
            await _publish(first, version)
        second = _client(client, 'n2')
        await second.start()
        assert await second.wait_ready(deadline_s=soon_s())
        assert second.fleet.config_version == KEPT_RECORDS + 4
        await first.stop()
        await second.stop()

    _run(scenario)


def test_a_start_from_kept_records_waits_for_no_news() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = _client(client, 'n1')
        await first.start()
        await _publish(first, 0)
        second = _client(client, 'n2')
        await second.start()
        assert await second.wait_ready(deadline_s=soon_s(0.4))
        await first.stop()
        await second.stop()

    _run(scenario)
