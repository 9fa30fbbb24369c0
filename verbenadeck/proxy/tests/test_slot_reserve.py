"""Slots that long requests leave to short, more urgent ones."""

import asyncio
from types import MappingProxyType

from verbenadeck.proxy._queue_options import QueueOptions
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.testing import run_virtual, virtual_clock

_SLOTS = 3
_RUN_TIMES_S = MappingProxyType({'ledger': 0.4, 'check': 0.04})
_PRIORITIES = MappingProxyType({'ledger': 2, 'check': 0})
_CHECK_INTERVAL_S = 0.05
_DURATION_S = 6.0


class _Queue:
    """Queue of an upstream with three slots, used by two kinds of requests."""

    def __init__(self, *, few_slots: int) -> None:
        clock = virtual_clock()
        service_times = ServiceTimes(overall_s=lambda: 0.1)
        for kind, run_s in _RUN_TIMES_S.items():
            service_times.record(kind, run_s)
        self.clock = clock
        self.most_ledgers = 0
        self.waits_s: list[float] = []
        self._ledgers = 0
        self._slots = SlotQueue(
            clock=clock,
            limit=lambda: _SLOTS,
            service_time_s=lambda: 0.1,
            service_times=service_times,
            slots=lambda: _SLOTS,
            options=QueueOptions(few_slots=few_slots),
        )

    async def run(
        self, kind: str, *, run_s: float | None = None, timeout_s: float = 5
    ) -> None:
        now_s = self.clock.now_s()
        waiter = Waiter(
            now_s + timeout_s, -1, priority=_PRIORITIES[kind], kind=kind
        )
        assert await self._slots.acquire(waiter) is None
        if kind == 'ledger':
            self._ledgers += 1
            self.most_ledgers = max(self.most_ledgers, self._ledgers)
        else:
            self.waits_s.append(self.clock.now_s() - now_s)
        await asyncio.sleep(run_s or _RUN_TIMES_S[kind])
        self._ledgers -= kind == 'ledger'
        self._slots.release(waiter)


async def _long_requests_beside_short_calls(few_slots: int) -> _Queue:
    """Serve three callers of ledgers in a row beside 20 checks a second."""
    queue = _Queue(few_slots=few_slots)

    async def read_ledgers() -> None:
        while queue.clock.now_s() < ends_at_s:
            await queue.run('ledger')

    ends_at_s = queue.clock.now_s() + _DURATION_S
    async with asyncio.TaskGroup() as group:
        for _ in range(_SLOTS):
            group.create_task(read_ledgers())
        while queue.clock.now_s() < ends_at_s:
            group.create_task(queue.run('check'))
            await asyncio.sleep(_CHECK_INTERVAL_S)
    return queue


def test_short_calls_do_not_wait_for_slots_full_of_long_requests() -> None:
    """Guards against steps of other requests that are late behind ledgers."""
    before = run_virtual(_long_requests_beside_short_calls(0))
    after = run_virtual(_long_requests_beside_short_calls(_SLOTS))
    assert before.most_ledgers == _SLOTS
    assert max(before.waits_s) > _RUN_TIMES_S['check']
    # The first ledgers started before any check had arrived.
    settled_s = after.waits_s[len(after.waits_s) // 4 :]
    assert max(settled_s) <= _RUN_TIMES_S['check']


def test_long_requests_use_all_slots_without_more_urgent_ones() -> None:
    """Guards against slots that stay free although nobody else needs them."""

    async def scenario() -> int:
        queue = _Queue(few_slots=_SLOTS)
        async with asyncio.TaskGroup() as group:
            for _ in range(2 * _SLOTS):
                group.create_task(queue.run('ledger'))
        return queue.most_ledgers

    assert run_virtual(scenario()) == _SLOTS


def test_free_slot_is_used_after_the_last_urgent_request() -> None:
    """Guards against a long request that waits beside a free slot.

    The others are occupied by ledgers that take long, so that no slot is
    released after the checks have ceased.
    """

    async def scenario() -> tuple[float, int]:
        queue = _Queue(few_slots=_SLOTS)
        stuck_s = 30.0
        async with asyncio.TaskGroup() as group:
            for _ in range(20):
                await queue.run('check')
            for _ in range(_SLOTS - 1):
                group.create_task(queue.run('ledger', run_s=stuck_s))
            await asyncio.sleep(0)
            began_s = queue.clock.now_s()
            last = group.create_task(queue.run('ledger', timeout_s=stuck_s))
            await asyncio.sleep(_CHECK_INTERVAL_S)
            running_at_first = queue.most_ledgers
            await last
            waited_s = queue.clock.now_s() - began_s
        return waited_s, running_at_first

    waited_s, running_at_first = run_virtual(scenario())
    assert running_at_first == _SLOTS - 1
    # 20 checks of 0.04 s decay from 0.3 to 0.05 slots within 4 s.
    assert waited_s < 4 + _RUN_TIMES_S['ledger'] + 0.1
