"""Rules of a queue by the number of requests ahead and the mean service time."""

import math
from collections.abc import Sequence

from verbenadeck.model import Refusal, RefusalReason
from verbenadeck.proxy._queue_rules import (
    QueueContext,
    describe_times,
    is_overtaken,
)
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._waiter import Waiter, position_now, run_time_s


class CountRules:
    """Rules that take all requests ahead to run for the mean service time.

    Parameters
    ----------
    context : QueueContext
        State of the proxy.
    """

    def __init__(self, context: QueueContext) -> None:
        self._context = context

    def refusal(
        self, waiter: Waiter, waiting: Sequence[Waiter], limit: int
    ) -> Refusal | None:
        """Return why a request that arrives must not wait, or None.

        Parameters
        ----------
        waiter : Waiter
            Request that arrived.
        waiting : sequence of Waiter
            Requests in the queue.
        limit : int
            Maximum length of the queue.
        """
        wait_s = self._wait_s(waiter, waiting)
        if wait_s == 0:
            return None
        if len(waiting) >= limit:
            return not_run(
                RefusalReason.QUEUE_FULL,
                'the queue is full',
                retry_after_s=wait_s,
            )
        now_s = self._context.clock.now_s()
        run_s = run_time_s(waiter, now_s, self._context.service_times)
        ends_at_s = now_s + wait_s + run_s
        if ends_at_s > waiter.deadline_s:
            times = describe_times(wait_s, ends_at_s, waiter.deadline_s, now_s)
            return not_run(
                RefusalReason.DEADLINE,
                f'the queue is longer than the deadline allows: {times}',
                retry_after_s=wait_s,
            )
        if self._misses_objective(waiter, waiting, ends_at_s):
            times = describe_times(
                wait_s, ends_at_s, waiter.objective_at_s, now_s
            )
            return not_run(
                RefusalReason.QUEUE_FULL,
                f'the queue is longer than the objective allows: {times}',
                retry_after_s=wait_s,
            )
        return None

    def refuse_overtaken(
        self, waiter: Waiter, waiting: Sequence[Waiter]
    ) -> bool:
        """Refuse a waiter that is late behind others; return whether it was."""
        if not is_overtaken(self._context, waiter, waiting):
            return False
        return waiter.resolve(
            not_run(
                RefusalReason.QUEUE_FULL,
                'more urgent requests delay it beyond its objective',
                retry_after_s=self._wait_s(waiter, waiting),
            )
        )

    def refuse_late(self, waiter: Waiter, waiting: Sequence[Waiter]) -> bool:
        """Refuse a waiter that can't meet its deadline, if it still waits."""
        return waiter.resolve(
            not_run(RefusalReason.DEADLINE, 'the deadline passed in the queue')
        )

    def refuse_unservable(self, waiting: Sequence[Waiter]) -> None:
        """Refuse none: each request waits until its deadline."""

    def expires_at_s(self, waiter: Waiter) -> float:
        """Return the deadline of a request."""
        return waiter.deadline_s

    def _wait_s(self, waiter: Waiter, waiting: Sequence[Waiter]) -> float:
        """Return the expected wait of a request that arrives, in seconds."""
        context = self._context
        limit = context.limit()
        if context.in_use() < limit and not waiting:
            return 0
        now_s = context.clock.now_s()
        own = position_now(waiter, now_s, context.service_times)
        positions = (
            position_now(each, now_s, context.service_times) for each in waiting
        )
        ahead = sum(position <= own for position in positions) + 1
        slot_wait_s = ahead / max(1, limit) * context.service_time_s()
        rate_per_s = context.rate_per_s()
        if rate_per_s == 0:
            return math.inf
        return max(slot_wait_s, ahead / rate_per_s)

    def _misses_objective(
        self, waiter: Waiter, waiting: Sequence[Waiter], ends_at_s: float
    ) -> bool:
        """Return whether a request would be late, so that it is refused.

        One that has missed its objective already may wait as long as there
        are fewer such requests than slots.
        """
        now_s = self._context.clock.now_s()
        is_late = waiter.queue_position(ends_at_s)[1]
        if not is_late or waiter.objective_at_s > now_s:
            return is_late
        positions = (each.queue_position(now_s) for each in waiting)
        late = sum(position[1] for position in positions)
        return late >= self._context.limit()
