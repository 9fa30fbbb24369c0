"""Tests of the log stand-in through its HTTP adapter."""

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
async def _serve_log() -> AsyncIterator[tuple[LogStore, LogHttpAdapter]]:
    store = LogStore(now_s=_CLOCK.now_s)
    started = await start_app(make_log_app(store), host='127.0.0.1')
    url = f'http://127.0.0.1:{started.listening.port}'
    adapter = LogHttpAdapter(url=url, stream='fleet', clock=_CLOCK)
    try:
        yield store, adapter
    finally:
        await adapter.close()
        await started.runner.cleanup()


def _run_scenario(scenario: _Scenario) -> None:
    async def main() -> None:
        async with _serve_log() as (store, adapter):
            await scenario(store, adapter)

    asyncio.run(main())


def _deadline_after(timeout_s: float = 20) -> float:
    return _CLOCK.now_s() + timeout_s


def test_read_returns_records_in_append_order() -> None:
    async def scenario(_store: LogStore, adapter: LogHttpAdapter) -> None:
        for record in (b'a', b'\x00\xff', b''):
            await adapter.append(record, deadline_s=_deadline_after())
        found = await adapter.read(
            Offset(1), limit=9, deadline_s=_deadline_after()
        )
        page = found.unwrap()
        assert page.records == (b'\x00\xff', b'')
        assert (page.first_offset, page.start_offset) == (0, 1)

    _run_scenario(scenario)


def test_full_page_does_not_tell_whether_the_log_ended_after_it() -> None:
    async def scenario(_store: LogStore, adapter: LogHttpAdapter) -> None:
        for record in (b'a', b'b'):
            await adapter.append(record, deadline_s=_deadline_after())
        full, partial = [
            await adapter.read(
                Offset(0), limit=limit, deadline_s=_deadline_after()
            )
            for limit in (2, 3)
        ]
        assert not full.unwrap().reaches_end
        assert partial.unwrap().reaches_end

    _run_scenario(scenario)


def test_read_at_end_waits_for_next_append() -> None:
    async def scenario(_store: LogStore, adapter: LogHttpAdapter) -> None:
        reading = asyncio.ensure_future(
            adapter.read(Offset(0), limit=1, deadline_s=_deadline_after())
        )
        await asyncio.sleep(0.05)
        await adapter.append(b'late', deadline_s=_deadline_after())
        assert (await reading).unwrap().records == (b'late',)

    _run_scenario(scenario)


def test_append_with_lost_answer_takes_effect_and_is_unknown() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        store.faults = LogFaults(lost_answers=1)
        lost = await adapter.append(b'once', deadline_s=_deadline_after())
        assert lost.failure().failure is LogFailure.UNKNOWN
        found = await adapter.read(
            Offset(0), limit=9, deadline_s=_deadline_after()
        )
        assert found.unwrap().records == (b'once',)
        again = await adapter.append(b'next', deadline_s=_deadline_after())
        assert again.unwrap() == 1

    _run_scenario(scenario)


def test_append_during_outage_is_refused_without_effect() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        store.faults = LogFaults(is_out=True)
        refused = await adapter.append(b'no', deadline_s=_deadline_after())
        assert refused.failure().failure is LogFailure.NOT_APPENDED
        unread = await adapter.read(
            Offset(0), limit=1, deadline_s=_deadline_after()
        )
        assert unread.failure().failure is LogFailure.UNAVAILABLE
        assert store.get_stream('fleet').next_offset == 0

    _run_scenario(scenario)


def test_append_slower_than_deadline_is_unknown() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        store.faults = LogFaults(added_latency_s=30)
        slow = await adapter.append(b'slow', deadline_s=_deadline_after(0.2))
        assert slow.failure().failure is LogFailure.UNKNOWN

    _run_scenario(scenario)


def test_append_on_refused_connection_is_not_appended() -> None:
    async def scenario() -> None:
        url = 'http://127.0.0.1:9'
        adapter = LogHttpAdapter(url=url, stream='fleet', clock=_CLOCK)
        failed = await adapter.append(b'no', deadline_s=_deadline_after())
        await adapter.close()
        assert failed.failure().failure is LogFailure.NOT_APPENDED

    asyncio.run(scenario())


def test_read_of_expired_offset_returns_first_retained_offset() -> None:
    async def scenario(store: LogStore, adapter: LogHttpAdapter) -> None:
        for _ in range(5):
            store.get_stream('fleet').append(b'x')
        store.get_stream('fleet').expire_before(3)
        gone = await adapter.read(
            Offset(1), limit=9, deadline_s=_deadline_after()
        )
        assert gone.failure().failure is LogFailure.EXPIRED
        assert gone.failure().first_offset == 3
        kept = await adapter.read(
            Offset(3), limit=9, deadline_s=_deadline_after()
        )
        assert len(kept.unwrap().records) == 2

    _run_scenario(scenario)


@pytest.mark.parametrize('age_s', (0.0, 59.0))
def test_records_below_max_age_are_retained(age_s: float) -> None:
    clock = [100.0]
    store = LogStore(now_s=lambda: clock[0], keep_s=60)
    store.get_stream('fleet').append(b'x')
    clock[0] += age_s
    assert store.get_stream('fleet').first_offset == 0


def test_records_above_max_age_or_count_are_dropped() -> None:
    clock = [100.0]
    store = LogStore(now_s=lambda: clock[0], keep_s=60, keep_count=3)
    for _ in range(5):
        store.get_stream('fleet').append(b'x')
    assert store.get_stream('fleet').first_offset == 2
    clock[0] += 60
    stream = store.get_stream('fleet')
    assert (stream.first_offset, stream.next_offset) == (5, 5)
    assert stream.append(b'y') == 5
