"""Slots of an upstream and the bounded queue for them."""

import asyncio
import math
from collections.abc import Callable

from verbenadeck.model import Refusal
from verbenadeck.proxy._cold_start_rate import ColdStartRateLimiter
from verbenadeck.proxy._count_rules import CountRules
from verbenadeck.proxy._forecast_rules import ForecastRules
from verbenadeck.proxy._queue_options import QueueOptions
from verbenadeck.proxy._queue_rules import QueueContext, QueueRules
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slot_reserve import SlotReserve
from verbenadeck.proxy._waiter import (
    NO_SHARD,
    Waiter,
    first_waiter,
    run_time_s,
)
from verbenadeck.proxy._waiting_requests import WaitingRequests
from verbenadeck.utils import Clock, ignore_name

__all__ = ('SlotQueue', 'Waiter')

_DEFAULT_OPTIONS = QueueOptions()
_TIMER_RESOLUTION_S = 0.001


class SlotQueue(WaitingRequests):
    """Slots in use and the queue for them, ordered by priority and deadline.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    limit : callable returning int
        Returns the number of slots that may be in use.
    service_time_s : callable returning float
        Returns the mean service time of all requests, in seconds.
    service_times : ServiceTimes or None
        Service times by kind of request; None for the mean of all.
    cold_start_rate : ColdStartRateLimiter or None
        Rate limit during a cold start; None creates one.
    slots : callable returning int
        Returns the number of slots that the upstream announced, 0 before.
    options : QueueOptions
        Options of the queue.
    count : callable
        Adds one to the counter with a name.

    Attributes
    ----------
    in_use : int
        Number of slots in use.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit: Callable[[], int],
        service_time_s: Callable[[], float],
        service_times: ServiceTimes | None = None,
        cold_start_rate: ColdStartRateLimiter | None = None,
        slots: Callable[[], int] = int,
        options: QueueOptions = _DEFAULT_OPTIONS,
        count: Callable[[str], None] = ignore_name,
    ) -> None:
        self._cold_start_rate = cold_start_rate or ColdStartRateLimiter(
            clock=clock
        )
        self._cold_start_rate.on_token = self.assign_free_slots
        super().__init__(
            clock=clock,
            limit=limit,
            service_times=service_times
            or ServiceTimes(overall_s=service_time_s),
        )
        self.in_use = 0
        self._slots = slots
        self._options = options
        self._started_at_s: dict[Waiter, float] = {}
        self._reserve = SlotReserve(
            clock=clock,
            limit=limit,
            service_times=self._service_times,
            running=self._started_at_s.keys(),
            is_active=self._has_few_slots,
            on_recheck=self.assign_free_slots,
        )
        context = QueueContext(
            clock=clock,
            limit=limit,
            in_use=lambda: self.in_use,
            service_time_s=service_time_s,
            service_times=self._service_times,
            rate_per_s=lambda: self._cold_start_rate.rate_per_s,
            started_at_s=self._started_at_s,
            remove=self._remove_waiter,
        )
        self._count_rules = CountRules(context)
        self._forecast_rules = ForecastRules(context, count=count)

    @property
    def _rules(self) -> QueueRules:
        """Rules for the number of slots that the upstream announced."""
        if self._has_few_slots():
            return self._forecast_rules
        return self._count_rules

    @property
    def queued(self) -> int:
        """Number of requests in the queue or with a reservation."""
        return len(self._waiting) + len(self._reserved)

    def queue_refusal(self, waiter: Waiter, limit: int) -> Refusal | None:
        """Return why a request that arrives now must not wait, or None.

        With few slots, another waiting request may be refused in its place.

        Parameters
        ----------
        waiter : Waiter
            Request that arrived.
        limit : int
            Maximum length of the queue.
        """
        is_free = self.in_use + len(self._reserved) < self._limit()
        if is_free and not self._waiting:
            return None
        waiting = (*self._waiting, *self._reserved)
        return self._rules.refusal(waiter, waiting, limit)

    def try_acquire(self, waiter: Waiter | None = None) -> bool:
        """Take a slot if one is free and the queue is empty.

        Parameters
        ----------
        waiter : Waiter or None
            Request that runs in the slot; None for one of unknown kind.
        """
        if self._waiting or self.in_use >= self._limit():
            return False
        holder = waiter or Waiter(math.inf, NO_SHARD)
        if self._reserve.is_exhausted(holder):
            return False
        if not self._cold_start_rate.try_take_token():
            return False
        self._occupy_slot(holder)
        return True

    async def acquire(self, waiter: Waiter) -> Refusal | None:
        """Wait for a slot; return a refusal if none was free in time."""
        if self.try_acquire(waiter):
            return None
        loop = asyncio.get_running_loop()
        waiter.future = loop.create_future()
        self._waiting.append(waiter)
        if self._has_few_slots():
            # Requests that must leave a free slot to others may be waiting.
            self.assign_free_slots()
        left_s = self._clock.remaining_s(self._rules.expires_at_s(waiter))
        timer = loop.call_later(left_s, self._expire, waiter)
        self._recheck_later(waiter)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        finally:
            timer.cancel()
            # One that was abandoned has been resolved but not removed.
            self._remove_waiter(waiter)

    def release(self, waiter: Waiter | None = None) -> None:
        """Release a slot and assign it to the next waiter.

        Parameters
        ----------
        waiter : Waiter or None
            Request that ran in the slot; None for the oldest one.
        """
        self.in_use -= 1
        holder = waiter or next(iter(self._started_at_s))
        self._started_at_s.pop(holder, None)
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assign free slots to waiters that can still meet their deadlines."""
        self._rules.refuse_unservable(self._waiting)
        while self.in_use < self._limit():
            startable = self._reserve.find_startable(self._waiting)
            if not startable:
                if self._waiting:
                    self._reserve.schedule_recheck()
                return
            now_s = self._clock.now_s()
            waiter = first_waiter(startable, now_s, self._service_times)
            ends_at_s = now_s + run_time_s(waiter, now_s, self._service_times)
            if waiter.is_resolved or ends_at_s > waiter.deadline_s:
                self._waiting.remove(waiter)
                self._rules.refuse_late(waiter, self._waiting)
                continue
            if not self._cold_start_rate.try_take_token():
                return
            self._waiting.remove(waiter)
            waiter.resolve(None)
            self._occupy_slot(waiter)

    def _occupy_slot(self, waiter: Waiter) -> None:
        self._started_at_s[waiter] = self._clock.now_s()
        self._reserve.record_start(waiter)
        self.in_use += 1

    def _has_few_slots(self) -> bool:
        return 0 < self._slots() <= self._options.few_slots

    def _recheck_later(self, waiter: Waiter) -> None:
        """Schedule a check for the time from which a waiter is late.

        One with a short grace keeps its position when late, so it needs none.
        """
        if waiter.has_short_grace:
            return
        service_s = run_time_s(waiter, self._clock.now_s(), self._service_times)
        turns_late_s = waiter.objective_at_s - service_s
        wait_s = max(service_s, self._clock.remaining_s(turns_late_s))
        asyncio.get_running_loop().call_later(wait_s, self._recheck, waiter)

    def _recheck(self, waiter: Waiter) -> None:
        """Refuse a late waiter if more urgent ones fill all slots before it."""
        if waiter.is_resolved:
            return
        if self._rules.refuse_overtaken(waiter, self._waiting):
            self._remove_waiter(waiter)
            return
        self._recheck_later(waiter)

    def _expire(self, waiter: Waiter) -> None:
        if waiter.is_resolved:
            return
        left_s = self._clock.remaining_s(self._rules.expires_at_s(waiter))
        if left_s > _TIMER_RESOLUTION_S:
            # The expected service time has decreased since the last check.
            loop = asyncio.get_running_loop()
            loop.call_later(left_s, self._expire, waiter)
        elif self._rules.refuse_late(waiter, self._waiting):
            self._remove_waiter(waiter)

    def _abandon(self, waiter: Waiter) -> None:
        future = waiter.future
        if future is None or future.cancelled() or not future.done():
            return
        if future.result() is None:
            self.release(waiter)

    def _remove_waiter(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
