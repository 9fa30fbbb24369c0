"""Sending of admitted requests to the upstream, one slot for each."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    UpstreamAdapter,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.logs import make_decision_logger
from verbenadeck.model import (
    Answer,
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
)
from verbenadeck.proxy._limit import ConcurrencyLimit
from verbenadeck.proxy._runs import Run
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue
from verbenadeck.proxy._success_share import SuccessShare
from verbenadeck.utils import Clock

_log_decision = make_decision_logger('door')

_MIN_HOLD_S = 0.2
_MAX_HOLD_S = 5.0
_HOLD_RATIO = 2.0
_LATE_ANSWER_GRACE_S = 5.0
_MIN_ERROR_STATUS = 500

_FAILURES = MappingProxyType(
    {
        UpstreamFailure.NOT_SENT: (Outcome.NOT_RUN, RefusalReason.NO_UPSTREAM),
        UpstreamFailure.REFUSED: (
            Outcome.NOT_RUN,
            RefusalReason.UPSTREAM_FAILED,
        ),
        UpstreamFailure.SHED: (Outcome.NOT_RUN, RefusalReason.SHED),
        UpstreamFailure.FENCED: (Outcome.NOT_RUN, RefusalReason.NOT_OWNER),
        UpstreamFailure.COLD: (Outcome.NOT_RUN, RefusalReason.COLD),
        UpstreamFailure.BROKEN: (
            Outcome.UNKNOWN,
            RefusalReason.UPSTREAM_FAILED,
        ),
    }
)
_OVERLOAD_FAILURES = frozenset((UpstreamFailure.SHED, UpstreamFailure.COLD))
_TIMED_OUT = UpstreamError(
    UpstreamFailure.BROKEN, 'the upstream did not answer in time'
)


class Sender:
    """Sender of requests, which updates the concurrency limit from answers.

    A slot whose request ended without an answer is released only after a hold
    time, since the upstream may still be running the request.

    Parameters
    ----------
    upstream : UpstreamAdapter
        Adapter through which requests are sent.
    clock : Clock
        Clock of this VM.
    limit : ConcurrencyLimit
        Limit to update with service times and shed requests.
    slots : SlotQueue
        Queue whose slots are released.
    service_times : ServiceTimes
        Service times by kind of request, to update.
    success_share : SuccessShare
        Share of sends that succeeded, to update.
    on_broken : callable
        Called with a run that ended without an answer before its deadline.
    """

    def __init__(
        self,
        *,
        upstream: UpstreamAdapter,
        clock: Clock,
        limit: ConcurrencyLimit,
        slots: SlotQueue,
        service_times: ServiceTimes,
        success_share: SuccessShare,
        on_broken: Callable[[Run], None],
    ) -> None:
        self._upstream = upstream
        self._clock = clock
        self._limit = limit
        self._slots = slots
        self._service_times = service_times
        self._success_share = success_share
        self._on_broken = on_broken
        self._held_slot_timers: dict[asyncio.TimerHandle, Run] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def send(
        self, run: Run, upstream_request: UpstreamRequest
    ) -> AnswerResult:
        """Send a request, return its answer and release the slot of its run.

        Parameters
        ----------
        run : Run
            Run that holds a slot.
        upstream_request : UpstreamRequest
            Request with its fence.
        """
        run.is_sent = True
        run.sent_at_s = self._clock.now_s()
        result: Result[Answer, UpstreamError] | None = None
        try:
            result = await self._exchange(run, upstream_request)
        finally:
            if result is None:
                self._hold_slot(run)
                self.cancel(run)
        match result:
            case Success(answer):
                return self._on_answer(run, answer)
            case Failure(error):
                return self._on_error(run, error)
        raise AssertionError('a result is a success or a failure')

    def cancel(self, run: Run) -> None:
        """Cancel the request of a run at the upstream, if it is repeatable."""
        if not run.request.is_repeatable:
            return
        run.is_cancelled = True
        self._cancel_upstream(run)

    def _cancel_upstream(self, run: Run) -> None:
        request_id = run.request.request_id
        task = asyncio.create_task(self._upstream.cancel(request_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def release_held_slots(self) -> None:
        """Release the held slots of requests that ended with an earlier instance."""
        held = tuple(self._held_slot_timers.items())
        self._held_slot_timers.clear()
        for timer, run in held:
            timer.cancel()
            self._slots.release(run.waiter)

    async def _exchange(
        self, run: Run, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        left_s = self._clock.remaining_s(upstream_request.request.deadline_s)
        if not run.request.is_repeatable:
            left_s += _LATE_ANSWER_GRACE_S
        try:
            async with asyncio.timeout(left_s):
                return await self._upstream.send(upstream_request)
        except TimeoutError:
            if run.request.is_repeatable:
                self._cancel_upstream(run)
            return Failure(_TIMED_OUT)

    def _on_answer(self, run: Run, answer: Answer) -> AnswerResult:
        now_s = self._clock.now_s()
        service_time_s = now_s - run.sent_at_s
        self._limit.record_answer(service_time_s, now_s=now_s)
        self._service_times.record(run.request.kind, service_time_s)
        self._record_end(run, is_success=answer.status < _MIN_ERROR_STATUS)
        self._slots.release(run.waiter)
        return Success(answer)

    def _on_error(self, run: Run, error: UpstreamError) -> AnswerResult:
        now_s = self._clock.now_s()
        if error.failure is not UpstreamFailure.FENCED:
            self._record_end(run, is_success=False)
        if error.failure in _OVERLOAD_FAILURES:
            self._on_overload(run, error, now_s)
        if error.failure is UpstreamFailure.BROKEN:
            self._hold_slot(run)
            if now_s < run.request.deadline_s:
                self._on_broken(run)
        else:
            self._slots.release(run.waiter)
        outcome, reason = _FAILURES[error.failure]
        return Failure(
            Refusal(outcome, reason, error.retry_after_s, error.detail)
        )

    def _record_end(self, run: Run, *, is_success: bool) -> None:
        if not run.is_cancelled:
            self._success_share.record(
                is_success=is_success,
                sent_at_s=run.sent_at_s,
                now_s=self._clock.now_s(),
            )

    def _on_overload(
        self, run: Run, error: UpstreamError, now_s: float
    ) -> None:
        before = self._limit.limit
        self._limit.record_shed(
            error.bearable, sent_at_s=run.sent_at_s, now_s=now_s
        )
        if self._limit.limit != before:
            _log_decision(
                'concurrency limit is now {} instead of {}: the upstream {}',
                self._limit.limit,
                before,
                error.detail,
            )

    def _hold_slot(self, run: Run) -> None:
        hold_s = _HOLD_RATIO * self._limit.service_time_s
        hold_s = min(_MAX_HOLD_S, max(_MIN_HOLD_S, hold_s))

        def free() -> None:
            self._held_slot_timers.pop(timer, None)
            self._slots.release(run.waiter)

        timer = asyncio.get_running_loop().call_later(hold_s, free)
        self._held_slot_timers[timer] = run
