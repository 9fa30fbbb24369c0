"""Order of the queue by priority, latency objective and deadline."""

import asyncio

import pytest

from verbenadeck.model import RefusalReason
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.testing import run_virtual, virtual_clock
from verbenadeck.utils import Clock

_SERVICE_TIME_S = 0.2


class _BusyQueue:
    """Queue whose slots are all in use; it records the order of waiters."""

    def __init__(self, *, slots: int = 1) -> None:
        self.clock: Clock = virtual_clock()
        self.order: list[str] = []
        self.slots = SlotQueue(
            clock=self.clock,
            limit=lambda: slots,
            service_time_s=lambda: _SERVICE_TIME_S,
        )
        for _ in range(slots):
            self.slots.try_acquire()

    def waiter(
        self, *, timeout_s: float, objective_s: float = 0, priority: int = 1
    ) -> Waiter:
        now_s = self.clock.now_s()
        objective_at_s = now_s + objective_s if objective_s else 0
        return Waiter(
            now_s + timeout_s,
            -1,
            priority=priority,
            objective_at_s=objective_at_s,
        )

    def enter(self, name: str, waiter: Waiter) -> 'asyncio.Task[None]':
        async def wait() -> None:
            if await self.slots.acquire(waiter) is None:
                self.order.append(name)
                await asyncio.sleep(_SERVICE_TIME_S)
                self.slots.release()

        return asyncio.create_task(wait())


def test_step_of_another_request_goes_before_new_request_of_equal_priority() -> (
    None
):
    async def scenario() -> None:
        queue = _BusyQueue()
        tasks = [
            queue.enter('deposit', queue.waiter(timeout_s=2, objective_s=0.6)),
            queue.enter('check', queue.waiter(timeout_s=0.5, objective_s=0.2)),
        ]
        await asyncio.sleep(0.01)
        queue.slots.release()
        await asyncio.gather(*tasks)
        assert queue.order == ['check', 'deposit']

    run_virtual(scenario())


def test_higher_priority_goes_first_whatever_its_objective() -> None:
    async def scenario() -> None:
        queue = _BusyQueue()
        tasks = [
            queue.enter('low', queue.waiter(timeout_s=2, objective_s=0.3)),
            queue.enter(
                'high', queue.waiter(timeout_s=4, objective_s=1.2, priority=0)
            ),
        ]
        await asyncio.sleep(0.01)
        queue.slots.release()
        await asyncio.gather(*tasks)
        assert queue.order == ['high', 'low']

    run_virtual(scenario())


def test_request_that_can_meet_its_objective_goes_before_a_late_one() -> None:
    async def scenario() -> None:
        queue = _BusyQueue()
        late = queue.enter('late', queue.waiter(timeout_s=2, objective_s=0.25))
        await asyncio.sleep(0.3)
        fresh = queue.enter('fresh', queue.waiter(timeout_s=2, objective_s=0.5))
        await asyncio.sleep(0.01)
        queue.slots.release()
        await asyncio.gather(late, fresh)
        assert queue.order == ['fresh', 'late']

    run_virtual(scenario())


def test_request_that_would_miss_its_objective_is_refused_at_once() -> None:
    async def scenario() -> None:
        queue = _BusyQueue()
        tasks = [
            queue.enter(str(each), queue.waiter(timeout_s=2, objective_s=0.45))
            for each in range(2)
        ]
        await asyncio.sleep(0.01)
        arriving = queue.waiter(timeout_s=3, objective_s=0.5)
        refusal = queue.slots.queue_refusal(arriving, 64)
        assert refusal is not None
        assert refusal.reason is RefusalReason.QUEUE_FULL
        assert refusal.retry_after_s == pytest.approx(3 * _SERVICE_TIME_S)
        patient = queue.waiter(timeout_s=3, objective_s=1.2)
        assert queue.slots.queue_refusal(patient, 64) is None
        queue.slots.release()
        await asyncio.gather(*tasks)

    run_virtual(scenario())


@pytest.mark.parametrize(
    ('timeout_s', 'objective_s', 'limiting_time'),
    ((2, 0.25, 'objective'), (0.25, 0, 'deadline')),
)
def test_refusal_contains_the_times_that_decided_it(
    timeout_s: float, objective_s: float, limiting_time: str
) -> None:
    async def scenario() -> None:
        queue = _BusyQueue()
        refusal = queue.slots.queue_refusal(
            queue.waiter(timeout_s=timeout_s, objective_s=objective_s), 64
        )
        assert refusal is not None
        assert refusal.detail == (
            f'the queue is longer than the {limiting_time} allows: '
            '0.200 s to wait and 0.200 s to run, 0.250 s left'
        )

    run_virtual(scenario())


def test_late_requests_may_wait_while_fewer_than_slots() -> None:
    async def scenario() -> None:
        queue = _BusyQueue(slots=2)
        tasks = []
        for name in ('a', 'b'):
            late = queue.waiter(timeout_s=2, objective_s=-1)
            assert queue.slots.queue_refusal(late, 64) is None
            tasks.append(queue.enter(name, late))
            await asyncio.sleep(0)
        late = queue.waiter(timeout_s=2, objective_s=-1)
        assert queue.slots.queue_refusal(late, 64) is not None
        for _ in range(2):
            queue.slots.release()
        await asyncio.gather(*tasks)

    run_virtual(scenario())


def test_request_that_becomes_late_behind_urgent_ones_is_refused_then() -> None:
    """Under overload, waiting longer would only end in a refusal."""

    async def scenario() -> None:
        queue = _BusyQueue(slots=2)
        clock = queue.clock
        started_s = clock.now_s()
        patient = queue.waiter(timeout_s=3, objective_s=0.9)
        patient_task = asyncio.create_task(queue.slots.acquire(patient))
        urgent_tasks = []
        for number in range(12):
            # More urgent requests arrive faster than slots are released.
            await asyncio.sleep(0.08)
            urgent = queue.waiter(timeout_s=3, objective_s=0.35)
            urgent_tasks.append(queue.enter(f'urgent-{number}', urgent))
        refusal = await patient_task
        assert refusal is not None
        assert refusal.reason is RefusalReason.QUEUE_FULL
        assert clock.now_s() <= started_s + 1
        for _ in range(2):
            queue.slots.release()
        await asyncio.gather(*urgent_tasks)

    run_virtual(scenario())


def test_request_that_becomes_late_with_few_ahead_keeps_waiting() -> None:
    async def scenario() -> None:
        queue = _BusyQueue(slots=2)
        waiting = queue.enter('a', queue.waiter(timeout_s=3, objective_s=0.4))
        await asyncio.sleep(1)
        queue.slots.release()
        await waiting
        assert queue.order == ['a']

    run_virtual(scenario())


def test_late_request_stays_behind_until_its_deadline() -> None:
    """Otherwise every request would be served just before its deadline."""

    async def scenario() -> None:
        queue = _BusyQueue(slots=2)
        late = queue.enter('late', queue.waiter(timeout_s=1.2, objective_s=0.3))
        await asyncio.sleep(0.8)
        fresh = [
            queue.enter(name, queue.waiter(timeout_s=2, objective_s=0.6))
            for name in ('a', 'b')
        ]
        await asyncio.sleep(0.01)
        for _ in range(2):
            queue.slots.release()
        await asyncio.gather(late, *fresh)
        assert queue.order[:2] == ['a', 'b']

    run_virtual(scenario())


# Guards against runs in vain: the instance stops them at their deadlines.
def test_late_request_with_most_time_left_goes_before_other_late_ones() -> None:
    async def scenario() -> None:
        queue = _BusyQueue()
        tasks = [
            queue.enter(name, queue.waiter(timeout_s=timeout_s, objective_s=-1))
            for name, timeout_s in (('old', 0.5), ('new', 1.5), ('mid', 1))
        ]
        await asyncio.sleep(0.01)
        queue.slots.release()
        await asyncio.gather(*tasks)
        assert queue.order == ['new', 'mid']

    run_virtual(scenario())


def test_no_request_is_refused_while_a_slot_is_free() -> None:
    async def scenario() -> None:
        queue = _BusyQueue(slots=2)
        queue.slots.release()
        urgent = queue.waiter(timeout_s=0.1, objective_s=0.01)
        assert queue.slots.queue_refusal(urgent, 64) is None

    run_virtual(scenario())
