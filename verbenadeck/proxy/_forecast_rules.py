"""Rules of a queue by the forecast from the kinds of requests."""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from verbenadeck.model import Refusal, RefusalReason
from verbenadeck.proxy._origin_shares import origin_to_displace
from verbenadeck.proxy._queue_plan import (
    QueuePlan,
    forecast_slots,
    in_order,
    plan_queue,
)
from verbenadeck.proxy._queue_rules import (
    QueueContext,
    describe_times,
    is_overtaken,
)
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._retry_times import RetrySchedule
from verbenadeck.proxy._waiter import Waiter, run_time_s

_FOLLOWED_SHARE = 1 / 3
"""Share of their remaining time up to which callers follow a retry time."""


_RECHECKED_WAIT_SHARE = 0.5
"""Share of its forecast wait with which a waiting request must miss its
deadline to be refused. The expected times follow spans of 0.4 s in which an
upstream is three times slower, and are about twice too long at their end; most
of the short requests refused for that would still be served in time."""


class _Problem(NamedTuple):
    """Why a request must not wait."""

    reason: RefusalReason
    detail: str


_NO_PLACE = _Problem(RefusalReason.QUEUE_FULL, 'the queue is full')
_DISPLACED = _Problem(
    RefusalReason.QUEUE_FULL,
    'its origin has more than its share of the waiting places',
)
_OVERTAKEN = _Problem(
    RefusalReason.QUEUE_FULL,
    'more urgent requests delay it beyond its objective',
)
_UNSERVABLE = _Problem(
    RefusalReason.DEADLINE,
    'the requests ahead delay it beyond its deadline',
)


class ForecastRules:
    """Rules for an upstream with few slots.

    Parameters
    ----------
    context : QueueContext
        State of the proxy.
    count : callable
        Adds one to the counter with a name.
    """

    def __init__(
        self, context: QueueContext, *, count: Callable[[str], None]
    ) -> None:
        self._context = context
        self._count = count
        self._retry_times: defaultdict[int, RetrySchedule] = defaultdict(
            RetrySchedule
        )

    def refusal(
        self, waiter: Waiter, waiting: Sequence[Waiter], limit: int
    ) -> Refusal | None:
        """Return why a request that arrives must not wait, or None.

        A waiting request of an origin above its share is refused instead if
        the one that arrives can then wait.

        Parameters
        ----------
        waiter : Waiter
            Request that arrived.
        waiting : sequence of Waiter
            Requests in the queue.
        limit : int
            Maximum length of the queue.
        """
        if self._context.in_use() < self._context.limit() and not waiting:
            return None
        if waiter.is_returning:
            self._count('requests_returning')
        waiting = [each for each in waiting if not each.has_left_queue]
        plan = plan_queue(self._context, waiting, joining=waiter)
        problem = self._find_problem(waiter, plan, limit)
        if problem is None:
            return None
        victim = _find_victim(waiter, waiting)
        if victim is None or self._is_refused_without(
            victim, waiter, waiting, limit
        ):
            return self._make_refusal(waiter, problem, plan.end_waits_s)
        self._count('requests_displaced')
        self._resolve(victim, _DISPLACED, plan)
        return None

    def refuse_overtaken(
        self, waiter: Waiter, waiting: Sequence[Waiter]
    ) -> bool:
        """Refuse a waiter that is late behind others; return whether it was."""
        if not is_overtaken(self._context, waiter, waiting):
            return False
        plan = plan_queue(self._context, waiting)
        if waiter.is_returning and self._has_room_for_returning(waiter, plan):
            return False
        return self._resolve(waiter, _OVERTAKEN, plan)

    def refuse_late(self, waiter: Waiter, waiting: Sequence[Waiter]) -> bool:
        """Refuse a waiter that can't meet its deadline, if it still waits."""
        if waiter.is_resolved:
            return False
        plan = plan_queue(self._context, waiting)
        return self._resolve(waiter, _UNSERVABLE, plan)

    def refuse_unservable(self, waiting: Sequence[Waiter]) -> None:
        """Refuse the waiters that are forecast to miss their deadlines."""
        context = self._context
        now_s = context.clock.now_s()
        forecast = forecast_slots(context)
        refused: list[Waiter] = []
        end_waits_s: dict[int, float] = {}
        for waiter, run_s in in_order(context, waiting):
            least_wait_s = _RECHECKED_WAIT_SHARE * forecast.next_wait_s
            ends_at_s = now_s + least_wait_s + run_s
            if ends_at_s > waiter.deadline_s and not waiter.is_resolved:
                refused.append(waiter)
            else:
                forecast.add(run_s)
            end_waits_s[waiter.priority] = forecast.next_wait_s
        for late in refused:
            late.resolve(self._make_refusal(late, _UNSERVABLE, end_waits_s))
            context.remove(late)

    def expires_at_s(self, waiter: Waiter) -> float:
        """Return the latest time at which a request can start, in seconds."""
        now_s = self._context.clock.now_s()
        return waiter.deadline_s - run_time_s(
            waiter, now_s, self._context.service_times
        )

    def _is_refused_without(
        self,
        victim: Waiter,
        waiter: Waiter,
        waiting: Sequence[Waiter],
        limit: int,
    ) -> bool:
        others = [each for each in waiting if each is not victim]
        plan = plan_queue(self._context, others, joining=waiter)
        return self._find_problem(waiter, plan, limit) is not None

    def _find_problem(
        self, waiter: Waiter, plan: QueuePlan, limit: int
    ) -> _Problem | None:
        if len(plan.runs) > limit:
            return _NO_PLACE
        now_s = self._context.clock.now_s()
        own = next(each for each in plan.runs if each.waiter is waiter)
        wait_s, ends_at_s = own.wait_s, own.ends_at_s
        if ends_at_s > waiter.deadline_s:
            times = describe_times(wait_s, ends_at_s, waiter.deadline_s, now_s)
            return _Problem(
                RefusalReason.DEADLINE,
                f'the queue is longer than the deadline allows: {times}',
            )
        if not own.is_late or self._may_be_late(waiter, plan, now_s):
            return None
        times = describe_times(wait_s, ends_at_s, waiter.objective_at_s, now_s)
        return _Problem(
            RefusalReason.QUEUE_FULL,
            f'the queue is longer than the objective allows: {times}',
        )

    def _may_be_late(
        self, waiter: Waiter, plan: QueuePlan, now_s: float
    ) -> bool:
        """Return whether a request may wait although it misses its objective.

        A returning one may while there are fewer of them than slots, since a
        second refusal is final for most callers. One that has missed its
        objective already may while there are fewer such requests.
        """
        if waiter.is_returning:
            return self._has_room_for_returning(waiter, plan)
        if waiter.objective_at_s > now_s:
            return False
        late = sum(
            each.waiter.queue_position(now_s)[1]
            for each in plan.runs
            if each.waiter is not waiter
        )
        return late < self._context.limit()

    def _has_room_for_returning(self, waiter: Waiter, plan: QueuePlan) -> bool:
        late = sum(
            each.waiter.is_returning and each.is_late
            for each in plan.runs
            if each.waiter is not waiter
        )
        return late < self._context.limit()

    def _resolve(
        self, waiter: Waiter, problem: _Problem, plan: QueuePlan
    ) -> bool:
        if waiter.is_resolved:
            return False
        waiter.resolve(self._make_refusal(waiter, problem, plan.end_waits_s))
        self._context.remove(waiter)
        return True

    def _make_refusal(
        self,
        waiter: Waiter,
        problem: _Problem,
        end_waits_s: Mapping[int, float],
    ) -> Refusal:
        """Return a refusal with a retry time behind those of its priority.

        Less urgent requests do not delay the caller when it returns.
        """
        context = self._context
        now_s = context.clock.now_s()
        left_s = max(0, waiter.deadline_s - now_s)
        rate_per_s = max(1, context.limit()) / context.service_time_s()
        interval_s = 1 / min(rate_per_s, context.rate_per_s() or rate_per_s)
        retry_after_s = self._retry_times[waiter.priority].assign(
            now_s=now_s,
            wait_s=end_waits_s[waiter.priority],
            interval_s=interval_s,
            followed_s=left_s * _FOLLOWED_SHARE,
        )
        reason = problem.reason.value.replace('-', '_')
        self._count(f'queue_refused_{reason}')
        return not_run(
            problem.reason,
            problem.detail,
            retry_after_s=retry_after_s,
            is_scheduled=True,
        )


def _find_victim(joining: Waiter, waiting: Sequence[Waiter]) -> Waiter | None:
    """Return the waiting request that one which joins displaces, or None."""
    same_priority = [
        each
        for each in waiting
        if each.priority == joining.priority and not each.is_resolved
    ]
    origin = origin_to_displace(
        [each.origin for each in same_priority], joining.origin
    )
    return next(
        (each for each in reversed(same_priority) if each.origin == origin),
        None,
    )
