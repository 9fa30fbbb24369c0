"""Slots of an upstream and the bounded queue for them."""

import asyncio
import math
from collections.abc import Callable

from verbenadeck.model import Refusal, RefusalReason
from verbenadeck.proxy._cold_start_rate import ColdStartRateLimiter
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.utils import Clock

SHORT_GRACE_S = 0.5
"""Maximum time from latency objective to deadline, in seconds, at which an
answer between the two is as good as one before the objective. Such a request
is mostly a step of another request."""

_QueuePosition = tuple[int, bool, float]
"""Priority, whether the request counts as late, and the objective or deadline
that orders it, negative for late requests. The lowest tuple is served first."""


class Waiter:
    """Request that waits for a slot.

    Parameters
    ----------
    deadline_s : float
        Time after which an answer is useless, in seconds.
    shard : int
        Shard of the request.
    priority : int
        Priority; 0 is the highest.
    objective_at_s : float
        Time of the latency objective, in seconds; 0 for the deadline.
    kind : str
        Kind of the request, for its expected service time.
    has_short_grace : bool
        Whether an answer up to the deadline is as good as one before the
        objective; so it is if the two are at most `SHORT_GRACE_S` apart.

    Attributes
    ----------
    future : asyncio.Future or None
        End of the wait: None for a slot, or a refusal.
    """

    __slots__ = (
        'deadline_s',
        'future',
        'has_short_grace',
        'kind',
        'objective_at_s',
        'priority',
        'shard',
    )

    def __init__(
        self,
        deadline_s: float,
        shard: int,
        *,
        priority: int = 0,
        objective_at_s: float = 0,
        kind: str = '',
        has_short_grace: bool = False,
    ) -> None:
        self.deadline_s = deadline_s
        self.kind = kind
        self.objective_at_s = objective_at_s or deadline_s
        grace_s = deadline_s - self.objective_at_s
        self.has_short_grace = has_short_grace or grace_s <= SHORT_GRACE_S
        self.priority = priority
        self.shard = shard
        self.future: asyncio.Future[Refusal | None] | None = None

    def queue_position(self, ends_at_s: float) -> _QueuePosition:
        """Return the sort key in the queue of a request that ends at a time.

        Requests that can meet their objective go first. Serving late ones
        first, just before their deadlines, would make every request late.
        Among late ones the latest deadline goes first: the one with the least
        time left would often reach its deadline while it runs.
        """
        if ends_at_s <= self.objective_at_s:
            return self.priority, False, self.objective_at_s
        if self.has_short_grace:
            return self.priority, False, self.deadline_s
        return self.priority, True, -self.deadline_s

    @property
    def is_resolved(self) -> bool:
        """Whether the wait has ended."""
        return self.future is None or self.future.done()

    def resolve(self, refusal: Refusal | None) -> bool:
        """End the wait; return False if it has ended already."""
        if self.future is None or self.future.done():
            return False
        self.future.set_result(refusal)
        return True


class ReservedRequests:
    """Requests that count as queued although their bodies have not arrived."""

    def __init__(self) -> None:
        self._reserved: list[Waiter] = []

    def add_reservation(self, waiter: Waiter) -> None:
        """Add a request whose body is about to be sent."""
        self._reserved.append(waiter)

    def remove_reservation(self, waiter: Waiter) -> None:
        """Remove a request that `add_reservation` added."""
        self._reserved.remove(waiter)


class SlotQueue(ReservedRequests):
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
    ) -> None:
        self._cold_start_rate = cold_start_rate or ColdStartRateLimiter(
            clock=clock
        )
        self._cold_start_rate.on_token = self.assign_free_slots
        super().__init__()
        self.in_use = 0
        self._clock = clock
        self._limit = limit
        self._service_time_s = service_time_s
        self._service_times = service_times or ServiceTimes(
            overall_s=service_time_s
        )
        self._waiting: list[Waiter] = []

    @property
    def queued(self) -> int:
        """Number of requests in the queue or with a reservation."""
        return len(self._waiting) + len(self._reserved)

    def expected_wait_s(self, waiter: Waiter) -> float:
        """Return the expected wait of a request that arrives now, in seconds."""
        limit = self._limit()
        if self.in_use + len(self._reserved) < limit and not self._waiting:
            return 0
        now_s = self._clock.now_s()
        own = _position(waiter, now_s, self._service_times)
        positions = (
            _position(each, now_s, self._service_times)
            for each in (*self._waiting, *self._reserved)
        )
        ahead = sum(position <= own for position in positions) + 1
        slot_wait_s = ahead / max(1, limit) * self._service_time_s()
        rate_per_s = self._cold_start_rate.rate_per_s
        if rate_per_s == 0:
            return math.inf
        return max(slot_wait_s, ahead / rate_per_s)

    def queue_refusal(self, waiter: Waiter, limit: int) -> Refusal | None:
        """Return why a request that arrives now must not wait, or None.

        Parameters
        ----------
        waiter : Waiter
            Request that arrived.
        limit : int
            Maximum length of the queue.
        """
        wait_s = self.expected_wait_s(waiter)
        if wait_s == 0:
            return None
        if len(self._waiting) >= limit:
            return not_run(
                RefusalReason.QUEUE_FULL,
                'the queue is full',
                retry_after_s=wait_s,
            )
        now_s = self._clock.now_s()
        ends_at_s = (
            now_s + wait_s + _run_time_s(waiter, now_s, self._service_times)
        )
        if ends_at_s > waiter.deadline_s:
            times = _describe_times(wait_s, ends_at_s, waiter.deadline_s, now_s)
            return not_run(
                RefusalReason.DEADLINE,
                f'the queue is longer than the deadline allows: {times}',
                retry_after_s=wait_s,
            )
        if self._misses_objective(waiter, ends_at_s, now_s):
            times = _describe_times(
                wait_s, ends_at_s, waiter.objective_at_s, now_s
            )
            return not_run(
                RefusalReason.QUEUE_FULL,
                f'the queue is longer than the objective allows: {times}',
                retry_after_s=wait_s,
            )
        return None

    def _misses_objective(
        self, waiter: Waiter, ends_at_s: float, now_s: float
    ) -> bool:
        """Return whether a request would be late, so that it is refused.

        One that has missed its objective already may wait as long as there
        are fewer such requests than slots.
        """
        is_late = waiter.queue_position(ends_at_s)[1]
        if not is_late or waiter.objective_at_s > now_s:
            return is_late
        positions = (each.queue_position(now_s) for each in self._waiting)
        return sum(position[1] for position in positions) >= self._limit()

    def try_acquire(self) -> bool:
        """Take a slot if one is free and the queue is empty."""
        if self._waiting or self.in_use >= self._limit():
            return False
        if not self._cold_start_rate.try_take_token():
            return False
        self.in_use += 1
        return True

    async def acquire(self, waiter: Waiter) -> Refusal | None:
        """Wait for a slot; return a refusal if none was free in time."""
        if self.try_acquire():
            return None
        loop = asyncio.get_running_loop()
        waiter.future = loop.create_future()
        self._waiting.append(waiter)
        left_s = self._clock.remaining_s(waiter.deadline_s)
        timer = loop.call_later(left_s, self._expire, waiter)
        self._recheck_later(waiter)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        finally:
            timer.cancel()

    def release(self) -> None:
        """Release a slot and assign it to the next waiter."""
        self.in_use -= 1
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assign free slots to waiters that can still meet their deadlines."""
        while self._waiting and self.in_use < self._limit():
            waiter = self._next_waiter()
            now_s = self._clock.now_s()
            ends_at_s = now_s + _run_time_s(waiter, now_s, self._service_times)
            if waiter.is_resolved or ends_at_s > waiter.deadline_s:
                waiter.resolve(_queue_deadline_refusal())
                self._waiting.remove(waiter)
                continue
            if not self._cold_start_rate.try_take_token():
                return
            self._waiting.remove(waiter)
            waiter.resolve(None)
            self.in_use += 1

    def _next_waiter(self) -> Waiter:
        now_s = self._clock.now_s()
        return min(
            self._waiting,
            key=lambda each: _position(each, now_s, self._service_times),
        )

    def refuse(
        self, refusal: Refusal, *, shards: frozenset[int] | None
    ) -> None:
        """Refuse the waiters of some shards.

        Parameters
        ----------
        refusal : Refusal
            Refusal that the waiters get.
        shards : frozenset of int or None
            Shards; None for all waiters.
        """
        remaining: list[Waiter] = []
        for waiter in self._waiting:
            if shards is None or waiter.shard in shards:
                waiter.resolve(refusal)
            else:
                remaining.append(waiter)
        self._waiting = remaining

    def _recheck_later(self, waiter: Waiter) -> None:
        """Schedule a check for the time from which a waiter is late.

        One with a short grace keeps its position when late, so it needs none.
        """
        if waiter.has_short_grace:
            return
        service_s = _run_time_s(
            waiter, self._clock.now_s(), self._service_times
        )
        turns_late_s = waiter.objective_at_s - service_s
        wait_s = max(service_s, self._clock.remaining_s(turns_late_s))
        asyncio.get_running_loop().call_later(wait_s, self._recheck, waiter)

    def _recheck(self, waiter: Waiter) -> None:
        """Refuse a late waiter if more urgent ones fill all slots before it."""
        if waiter.is_resolved:
            return
        now_s = self._clock.now_s()
        own = _position(waiter, now_s, self._service_times)
        is_late = own[1]
        positions = (
            _position(each, now_s, self._service_times)
            for each in self._waiting
        )
        ahead = sum(position < own for position in positions)
        if is_late and ahead >= self._limit():
            waiter.resolve(_overtaken_refusal(self.expected_wait_s(waiter)))
            self._remove_waiter(waiter)
            return
        self._recheck_later(waiter)

    def _expire(self, waiter: Waiter) -> None:
        if waiter.resolve(_queue_deadline_refusal()):
            self._remove_waiter(waiter)

    def _abandon(self, waiter: Waiter) -> None:
        future = waiter.future
        if future is None or future.cancelled():
            self._remove_waiter(waiter)
        elif future.done() and future.result() is None:
            self.release()

    def _remove_waiter(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)


def _run_time_s(
    waiter: Waiter, now_s: float, service_times: ServiceTimes
) -> float:
    return service_times.expected_s(
        waiter.kind, objective_left_s=waiter.objective_at_s - now_s
    )


def _position(
    waiter: Waiter, now_s: float, service_times: ServiceTimes
) -> _QueuePosition:
    """Return the sort key of a waiter that would run from now on."""
    run_time_s = _run_time_s(waiter, now_s, service_times)
    return waiter.queue_position(now_s + run_time_s)


def _describe_times(
    wait_s: float, ends_at_s: float, limit_at_s: float, now_s: float
) -> str:
    run_s = ends_at_s - now_s - wait_s
    return (
        f'{wait_s:.3f} s to wait and {run_s:.3f} s to run, '
        f'{limit_at_s - now_s:.3f} s left'
    )


def _overtaken_refusal(wait_s: float) -> Refusal:
    return not_run(
        RefusalReason.QUEUE_FULL,
        'more urgent requests delay it beyond its objective',
        retry_after_s=wait_s,
    )


def _queue_deadline_refusal() -> Refusal:
    return not_run(RefusalReason.DEADLINE, 'the deadline passed in the queue')
