import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import pytest

from verbenadeck.adapters import LogFailure, LogHttpAdapter
from verbenadeck.model import Offset
from verbenadeck.standins import LogFaults, LogStore, make_log_app, start_app
from verbenadeck.utils import Clock

_CLOCK = Clock()
_Scenario = Callable[[LogStore, LogHttpAdapter], Coroutine[Any, Any, None]]


@asynccontextmanager
async def _log() -> AsyncIterator[tuple[LogStore, LogHttpAdapter]]:
    store = LogStore(now_s=_CLOCK.now_s)
    started = await start_app(make_log_app(store), host='127.0.0.1')
    url = f'http://127.0.0.1:{started.listening.port}'
    adapter = LogHttpAdapter(url=url, stream='fleet', clock=_CLOCK)
    try:
        yield store, adapter
    finally:
        await adapter.close()
        await started.runner.cleanup()


def _run(scenario: _Scenario) -> None:
    async def main() -> None:
        async with _log() as (store, adapter):
            await scenario(store, adapter)

    asyncio.run(main())


def _soon_s(timeout_s: float = 20) -> float:
    return _CLOCK.now_s() + timeout_s


def test_records_come_back_in_order() -> None:
    async def scenario(_store: LogStore, adapter: LogHttpAdapter) -> None:
        for record in (b'a', b'\x00\xff', b''):
            await adapter.append(record, deadline_s=_soon_s())
        found = await adapter.read(Offset(1), limit=9, deadline_s=_soon_s())
        page = found.unwrap()
        assert page.records == (b'\x00\xff', b'')
        assert (page.first_offset, page.start_offset) == (0, 1)

    _run(scenario)


def test_a_reader_waits_for_the_next_record() -> None:
    async def scenario(_store: LogStore, adapter: LogHttpAdapter) -> None:
        reading = asyncio.ensure_future(
            adapter.read(Offset(0), limit=1, deadline_s=_soon_s())
        )
        await asyncio.sleep(0.05)
        await adapter.append(b'late', deadline_s=_soon_s())
        assert (await reading).unwrap().records == (b'late',)

    _run(scenario)


def test_a_lost_answer_took_effect_and_is_unknown() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        store.faults = LogFaults(lost_answers=1)
        lost = await adapter.append(b'once', deadline_s=_soon_s())
        assert lost.failure().failure is LogFailure.UNKNOWN
        found = await adapter.read(Offset(0), limit=9, deadline_s=_soon_s())
        assert found.unwrap().records == (b'once',)
        again = await adapter.append(b'next', deadline_s=_soon_s())
        assert again.unwrap() == 1

    _run(scenario)


def test_an_outage_appends_nothing() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        store.faults = LogFaults(is_out=True)
        refused = await adapter.append(b'no', deadline_s=_soon_s())
        assert refused.failure().failure is LogFailure.NOT_APPENDED
        unread = await adapter.read(Offset(0), limit=1, deadline_s=_soon_s())
        assert unread.failure().failure is LogFailure.UNAVAILABLE
        assert store.stream('fleet').next_offset == 0

    _run(scenario)


def test_a_slow_append_past_the_deadline_is_unknown() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        store.faults = LogFaults(added_latency_s=30)
        slow = await adapter.append(b'slow', deadline_s=_soon_s(0.2))
        assert slow.failure().failure is LogFailure.UNKNOWN

    _run(scenario)


def test_a_refused_connection_appended_nothing() -> None:
    async def scenario() -> None:
        url = 'http://127.0.0.1:9'
        adapter = LogHttpAdapter(url=url, stream='fleet', clock=_CLOCK)
        failed = await adapter.append(b'no', deadline_s=_soon_s())
        await adapter.close()
        assert failed.failure().failure is LogFailure.NOT_APPENDED

    asyncio.run(scenario())


def test_expired_offsets_are_told_with_the_first_kept() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        for _ in range(5):
            store.stream('fleet').append(b'x')
        store.stream('fleet').expire_before(3)
        gone = await adapter.read(Offset(1), limit=9, deadline_s=_soon_s())
        assert gone.failure().failure is LogFailure.EXPIRED
        assert gone.failure().first_offset == 3
        kept = await adapter.read(Offset(3), limit=9, deadline_s=_soon_s())
        assert len(kept.unwrap().records) == 2

    _run(scenario)


@pytest.mark.parametrize('age_s', (0.0, 59.0))
def test_young_records_stay(age_s: float) -> None:
    clock = [100.0]
    store = LogStore(now_s=lambda: clock[0], keep_s=60)
    store.stream('fleet').append(b'x')
    clock[0] += age_s
    assert store.stream('fleet').first_offset == 0


def test_old_and_too_many_records_go() -> None:
    clock = [100.0]
    store = LogStore(now_s=lambda: clock[0], keep_s=60, keep_count=3)
    for _ in range(5):
        store.stream('fleet').append(b'x')
    assert store.stream('fleet').first_offset == 2
    clock[0] += 60
    stream = store.stream('fleet')
    assert (stream.first_offset, stream.next_offset) == (5, 5)
    assert stream.append(b'y') == 5
