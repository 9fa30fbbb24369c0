"""Open-loop callers of one upstream with few slots, in virtual time."""

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from verbenadeck.model import Refusal
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy import ConcurrencyLimit, QueueOptions
from verbenadeck.proxy._cold_start_rate import ColdStartRateLimiter
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue
from verbenadeck.proxy._waiter import LOCAL_ORIGIN, Waiter
from verbenadeck.router._outcomes import with_retry_hint
from verbenadeck.testing import run_virtual, virtual_clock

_SLOW_FACTOR = 3
_SLOW_SHARE = 0.2
_SPAN_S = 0.4
_MEAN_FACTOR = 1 + _SLOW_SHARE * (_SLOW_FACTOR - 1)
_LOAD_SPAN_S = 7
_TICK_S = 0.002


class Kind(NamedTuple):
    """Kind of request; times in seconds."""

    name: str
    service_s: float
    objective_s: float
    timeout_s: float
    priority: int = 0
    weight: float = 1


class Upstream:
    """Slots, queue and service times of one upstream."""

    def __init__(self, *, slots: int, few_slots: int) -> None:
        self.clock = virtual_clock()
        self.limit = ConcurrencyLimit()
        self.limit.reset_for_instance(slots, slots, now_s=self.clock.now_s())
        self.times = ServiceTimes(overall_s=lambda: self.limit.service_time_s)
        self.counters: Counter[str] = Counter()
        self.cold_start_rate = ColdStartRateLimiter(clock=self.clock)
        self.queue = SlotQueue(
            clock=self.clock,
            cold_start_rate=self.cold_start_rate,
            limit=lambda: slots,
            service_time_s=lambda: self.limit.service_time_s,
            service_times=self.times,
            slots=lambda: slots,
            options=QueueOptions(few_slots=few_slots),
            count=lambda name: self.counters.update((name,)),
        )

    def learn(self, *kinds: Kind) -> None:
        """Record one answer of each kind."""
        for kind in kinds:
            self._record(kind, kind.service_s)

    def waiter(
        self,
        kind: Kind,
        *,
        started_s: float | None = None,
        origin: PeerAddress = LOCAL_ORIGIN,
    ) -> Waiter:
        """Return a waiter whose caller began now, or earlier."""
        began_s = self.clock.now_s() if started_s is None else started_s
        return Waiter(
            began_s + kind.timeout_s,
            -1,
            priority=kind.priority,
            objective_at_s=began_s + kind.objective_s,
            kind=kind.name,
            is_returning=started_s is not None,
            origin=origin,
        )

    async def run(
        self, waiter: Waiter, kind: Kind, *, factor: float = 1
    ) -> Refusal | None:
        """Wait for a slot and run; return the refusal of the queue."""
        refusal = self.queue.queue_refusal(waiter, 64)
        if refusal is None:
            refusal = await self.queue.acquire(waiter)
        if refusal is not None:
            return refusal
        service_s = kind.service_s * factor
        await asyncio.sleep(service_s)
        self._record(kind, service_s)
        self.queue.release(waiter)
        return None

    def _record(self, kind: Kind, service_s: float) -> None:
        self.times.record(kind.name, service_s)
        self.limit.record_answer(service_s, now_s=self.clock.now_s())


def simulate_returning_callers(
    kinds: tuple[Kind, ...],
    *,
    slots: int,
    few_slots: int,
    loads: tuple[float, ...],
    seed: int,
) -> Counter[str]:
    """Return how callers fared that follow one retry time.

    The upstream is three times slower for a fifth of the time.

    Parameters
    ----------
    kinds : tuple of Kind
        Kinds of requests, drawn by weight.
    slots, few_slots : int
        Slots of the upstream, and option of its queue.
    loads : tuple of float
        Arriving work as a multiple of the capacity, in spans of 7 s.
    seed : int
        Seed of arrivals, service times and jitter.
    """
    counts: Counter[str] = Counter()
    source = random.Random(seed)
    noise = random.Random(seed + 1)
    spans = [noise.random() < _SLOW_SHARE for _ in range(1000)]

    async def call(upstream: Upstream, kind: Kind, began_s: float) -> None:
        clock = upstream.clock
        started_s: float | None = None
        for attempt in ('first', 'second'):
            waiter = upstream.waiter(kind, started_s=started_s)
            is_slow = spans[int((clock.now_s() - began_s) / _SPAN_S)]
            refusal = await upstream.run(
                waiter, kind, factor=_SLOW_FACTOR if is_slow else 1
            )
            if refusal is None:
                counts['answered'] += 1
                return
            left_s = clock.remaining_s(waiter.deadline_s)
            counts[f'{attempt} refusal'] += 1
            counts['refusals at the deadline'] += left_s < _TICK_S
            started_s = waiter.deadline_s - kind.timeout_s
            hint = with_retry_hint(refusal, left_s, noise)
            await asyncio.sleep(hint.retry_after_s)

    async def scenario() -> None:
        upstream = Upstream(slots=slots, few_slots=few_slots)
        began_s = upstream.clock.now_s()
        weights = [kind.weight for kind in kinds]
        work = sum(kind.weight * kind.service_s for kind in kinds)
        mean_s = work / sum(weights) * _MEAN_FACTOR
        tasks: list[asyncio.Task[None]] = []
        for number, load in enumerate(loads, start=1):
            until_s = began_s + number * _LOAD_SPAN_S
            while upstream.clock.now_s() < until_s:
                kind = source.choices(kinds, weights)[0]
                tasks.append(asyncio.create_task(call(upstream, kind, began_s)))
                await asyncio.sleep(source.expovariate(load * slots / mean_s))
        await asyncio.gather(*tasks)

    run_virtual(scenario())
    return counts
