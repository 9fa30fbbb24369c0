"""The fleet's log in the store, and log clients that start from it."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.pipeline import is_successful
from returns.result import Success

from verbenadeck.adapters import LogFailure
from verbenadeck.config import encode_document
from verbenadeck.journal import Checkpointer, LogClient
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    Offset,
)
from verbenadeck.platform._log import (
    RECORDS_KEPT_PER_WRITER,
    TOPIC,
)
from verbenadeck.platform._store import StoreClient
from verbenadeck.platform.tests.builders import (
    CLOCK,
    make_deadline_s,
    make_log,
    make_log_client,
    running_store,
)
from verbenadeck.records import ConfigPublished
from verbenadeck.standins import StoreStandin

_Scenario = Callable[[StoreStandin, StoreClient], Awaitable[None]]


def _run_scenario(scenario: _Scenario, *, page: int = 500) -> None:
    async def main() -> None:
        async with running_store(page=page) as (store, client):
            await scenario(store, client)

    asyncio.run(main())


async def _publish_config(journal: LogClient, version: int) -> None:
    document = ConfigDocument(moves_per_minute=version + 1)
    record = ConfigPublished(
        ConfigVersion(version), encode_document(document), 'test'
    )
    assert is_successful(
        await journal.propose(record, deadline_s=make_deadline_s())
    )


def test_read_returns_records_without_their_keys() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        for record in (b'a', b'bc'):
            await log.append(record, deadline_s=make_deadline_s())
        page = (
            await log.read(Offset(1), limit=9, deadline_s=make_deadline_s())
        ).unwrap()
        assert page.records == (b'bc',)

    _run_scenario(scenario)


def test_page_tells_whether_the_log_ended_after_it() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        for record in (b'a', b'bc'):
            await log.append(record, deadline_s=make_deadline_s())
        part, whole = [
            (
                await log.read(
                    Offset(0), limit=limit, deadline_s=make_deadline_s()
                )
            ).unwrap()
            for limit in (1, 2)
        ]
        assert not part.reaches_end
        assert whole.reaches_end

    _run_scenario(scenario)


def test_failed_append_tells_whether_record_may_be_in_the_log() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        store.faults.is_down = True
        refused = await log.append(b'a', deadline_s=make_deadline_s())
        assert refused.failure().failure is LogFailure.NOT_APPENDED
        store.faults.is_down = False
        store.faults.lost_answers = 1
        lost = await log.append(b'a', deadline_s=make_deadline_s())
        assert lost.failure().failure is LogFailure.UNKNOWN

    _run_scenario(scenario)


def test_newest_returns_kept_records_of_several_pages() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        for number in range(RECORDS_KEPT_PER_WRITER + 6):
            await log.append(bytes([number]), deadline_s=make_deadline_s())
        newest = (await log.newest()).unwrap()
        assert newest is not None
        assert newest.end_offset == RECORDS_KEPT_PER_WRITER + 6
        offsets = [offset for offset, _ in newest.records]
        assert offsets == list(range(6, RECORDS_KEPT_PER_WRITER + 6))

    _run_scenario(scenario, page=10)


def test_client_starts_from_kept_records_after_older_ones_expired() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        first = make_log_client(client, 'n1')
        await first.start()
        await _publish_config(first, 0)
        assert await Checkpointer(client=first, clock=CLOCK).write()
        await _publish_config(first, 1)
        topic = store.topic(TOPIC)
        topic.first = len(topic.records)
        second = make_log_client(client, 'n2')
        await second.start()
        assert await second.wait_ready(deadline_s=make_deadline_s())
        assert second.fleet.config_version == 2
        assert second.fleet.config.moves_per_minute == 2
        await _publish_config(second, 2)
        await first.stop()
        await second.stop()

    _run_scenario(scenario)


def test_client_is_not_ready_without_checkpoint_after_records_expired() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        for number in range(RECORDS_KEPT_PER_WRITER + 1):
            await log.append(bytes([number]), deadline_s=make_deadline_s())
        topic = store.topic(TOPIC)
        topic.first = len(topic.records)
        late = make_log_client(client, 'n2')
        await late.start()
        assert not await late.wait_ready(deadline_s=make_deadline_s(0.5))
        assert 'checkpoint' in late.blocked_on
        await late.stop()

    _run_scenario(scenario)


def test_restarted_writer_replaces_its_oldest_records_first() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = make_log(client)
        for number in range(20):
            await first.append(bytes([number]), deadline_s=make_deadline_s())
        for _ in range(8):
            restarted = make_log(client)
            await restarted.newest()
            for number in range(4):
                await restarted.append(
                    bytes([number]), deadline_s=make_deadline_s()
                )
        newest = (await make_log(client).newest()).unwrap()
        assert newest is not None
        offsets = [offset for offset, _ in newest.records]
        assert offsets == list(range(52))

    _run_scenario(scenario)


def test_append_right_after_restart_replaces_no_record() -> None:
    """A node may append a record for a peer before it has read the store.

    That record must not replace one of the node's earlier process.
    """

    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = make_log(client)
        for number in range(4):
            await first.append(bytes([number]), deadline_s=make_deadline_s())
        await make_log(client).append(
            b'of a peer', deadline_s=make_deadline_s()
        )
        newest = (await first.newest()).unwrap()
        assert newest is not None
        assert [offset for offset, _ in newest.records] == [0, 1, 2, 3, 4]

    _run_scenario(scenario)


def test_append_fails_while_earlier_records_are_unknown() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        store.faults.is_down = True
        answer = await make_log(client).append(
            b'a', deadline_s=make_deadline_s()
        )
        assert answer.failure().failure is LogFailure.NOT_APPENDED

    _run_scenario(scenario)


def test_late_append_of_earlier_process_replaces_no_record() -> None:
    """The store may carry out an append seconds after its sender has ended."""

    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = make_log(client)
        await first.append(b'0', deadline_s=make_deadline_s())
        restarted = make_log(client)
        await restarted.newest()
        await restarted.append(b'1', deadline_s=make_deadline_s())
        await first.append(b'late', deadline_s=make_deadline_s())
        newest = (await restarted.newest()).unwrap()
        assert newest is not None
        assert [offset for offset, _ in newest.records] == [0, 1, 2]

    _run_scenario(scenario)


def test_checkpoint_does_not_replace_one_of_another_writer() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        for node in ('n1', 'n2'):
            await make_log(client, node).append(
                node.encode(), deadline_s=make_deadline_s(), name='checkpoint/0'
            )
        newest = (await make_log(client).newest()).unwrap()
        assert newest is not None
        assert [record for _, record in newest.records] == [b'n1', b'n2']

    _run_scenario(scenario)


def test_client_reads_records_that_are_not_kept_from_the_log() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        first = make_log_client(client, 'n1')
        await first.start()
        await _publish_config(first, 0)
        assert await Checkpointer(client=first, clock=CLOCK).write()
        for version in range(1, RECORDS_KEPT_PER_WRITER + 4):
            await _publish_config(first, version)
        second = make_log_client(client, 'n2')
        await second.start()
        assert await second.wait_ready(deadline_s=make_deadline_s())
        assert second.fleet.config_version == RECORDS_KEPT_PER_WRITER + 4
        await first.stop()
        await second.stop()

    _run_scenario(scenario)


def test_start_from_kept_records_does_not_wait_for_new_records() -> None:
    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        first = make_log_client(client, 'n1')
        await first.start()
        await _publish_config(first, 0)
        second = make_log_client(client, 'n2')
        await second.start()
        assert await second.wait_ready(deadline_s=make_deadline_s(0.4))
        await first.stop()
        await second.stop()

    _run_scenario(scenario)


def test_late_checkpoint_replaces_no_newer_one() -> None:
    """The store may carry out an append seconds after it was given up.

    The records between the two checkpoints may be gone by then, so that no
    node could start from the older one.
    """

    async def scenario(_store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        for generation in (20, 10):
            await log.append(
                bytes([generation]),
                deadline_s=make_deadline_s(),
                name='checkpoint-0',
                generation=generation,
            )
        newest = (await log.newest()).unwrap()
        assert newest is not None
        assert [record for _, record in newest.records] == [bytes([20])]

    _run_scenario(scenario)


def test_repeated_append_of_a_checkpoint_takes_effect_once() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        log = make_log(client)
        offsets = [
            await log.append(
                b'same',
                deadline_s=make_deadline_s(),
                name='checkpoint-0',
                generation=20,
            )
            for _ in range(2)
        ]
        assert offsets == [Success(Offset(0)), Success(Offset(0))]
        assert len(store.topic(TOPIC).records) == 1

    _run_scenario(scenario)
