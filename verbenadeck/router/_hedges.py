"""Hedged requests: further attempts while the first one has no answer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Failure, Success

from verbenadeck.model import AnswerResult, Outcome
from verbenadeck.proxy import refuse
from verbenadeck.router._outcomes import merge_outcome

_MAX_ATTEMPTS = 3

SendAttempt = Callable[[], Coroutine[Any, Any, AnswerResult]]
NextAttempt = Callable[[], SendAttempt | None]


async def send_hedged(
    first: SendAttempt, next_attempt: NextAttempt, *, delay_s: float
) -> AnswerResult:
    """Send up to three attempts and return the first answer.

    A refusal is returned only when all started attempts were refused. It says
    that the request has not run only if all of them do.
    Attempts that are still pending at the end are cancelled.

    Parameters
    ----------
    first : callable
        Sends the first attempt.
    next_attempt : callable
        Returns a callable that sends one more attempt, None to send no more.
    delay_s : float
        Time in seconds after which the second attempt starts; the third one
        starts after twice that time more.
    """
    hedged_attempts = _HedgedAttempts(next_attempt)
    hedged_attempts.start_attempt(first)
    hedged_attempts.schedule_hedge(delay_s)
    try:
        return await hedged_attempts.first_result
    finally:
        hedged_attempts.cancel_pending()


class _HedgedAttempts:
    """Concurrent attempts of one request; the first answer wins.

    Attributes
    ----------
    first_result : asyncio.Future
        First answer, or the last refusal when there is no answer, with the
        outcome of all attempts together.
    """

    def __init__(self, next_attempt: NextAttempt) -> None:
        self._loop = asyncio.get_running_loop()
        self._next_attempt = next_attempt
        self._pending: set[asyncio.Task[AnswerResult]] = set()
        self._started_count = 0
        self._is_uncertain = False
        self._timer: asyncio.TimerHandle | None = None
        self.first_result: asyncio.Future[AnswerResult] = (
            self._loop.create_future()
        )

    def start_attempt(self, send: SendAttempt) -> None:
        """Start an attempt."""
        self._started_count += 1
        task = self._loop.create_task(send())
        self._pending.add(task)
        task.add_done_callback(self._finish)

    def schedule_hedge(self, delay_s: float) -> None:
        """Start one more attempt after a delay, in seconds."""
        self._timer = self._loop.call_later(delay_s, self._hedge, delay_s)

    def cancel_pending(self) -> None:
        """Cancel the timer and all attempts without a result."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._pending:
            task.cancel()

    def _hedge(self, delay_s: float) -> None:
        send = None if self.first_result.done() else self._next_attempt()
        if send is None:
            return
        self.start_attempt(send)
        if self._started_count < _MAX_ATTEMPTS:
            self.schedule_hedge(2 * delay_s)

    def _finish(self, task: asyncio.Task[AnswerResult]) -> None:
        self._pending.discard(task)
        if task.cancelled() or self.first_result.done():
            return
        error = task.exception()
        if error is not None:
            self.first_result.set_exception(error)
            return
        result = task.result()
        match result:
            case Success(_):
                self.first_result.set_result(result)
            case Failure(refusal):
                self._is_uncertain |= refusal.outcome is Outcome.UNKNOWN
                if not self._pending:
                    merged = merge_outcome(
                        refusal, is_uncertain=self._is_uncertain
                    )
                    self.first_result.set_result(refuse(merged))
