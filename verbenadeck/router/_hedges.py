"""Hedges: further attempts when the first one is late."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Success

from verbenadeck.model import AnswerResult

_MOST_ATTEMPTS = 3

Send = Callable[[], Coroutine[Any, Any, AnswerResult]]
Another = Callable[[], Send | None]


async def send_hedged(
    first: Send, another: Another, *, delay_s: float
) -> AnswerResult:
    """Return the first answer of a few attempts.

    Parameters
    ----------
    first : callable
        Makes the first attempt.
    another : callable
        Returns what makes one more, None when there is to be none.
    delay_s : float
        Time in seconds after which the second attempt starts; the next
        one waits for twice as long.
    """
    race = _Race(another)
    race.launch(first)
    race.schedule(delay_s)
    try:
        return await race.settled
    finally:
        race.close()


class _Race:
    """Attempts of which the first answer counts."""

    def __init__(self, another: Another) -> None:
        self._loop = asyncio.get_running_loop()
        self._another = another
        self._running: set[asyncio.Task[AnswerResult]] = set()
        self._launched = 0
        self._timer: asyncio.TimerHandle | None = None
        self.settled: asyncio.Future[AnswerResult] = self._loop.create_future()

    def launch(self, send: Send) -> None:
        """Start an attempt."""
        self._launched += 1
        task = self._loop.create_task(send())
        self._running.add(task)
        task.add_done_callback(self._finish)

    def schedule(self, delay_s: float) -> None:
        """Start one more attempt after a delay."""
        self._timer = self._loop.call_later(delay_s, self._hedge, delay_s)

    def close(self) -> None:
        """Cancel what has not answered."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._running:
            task.cancel()

    def _hedge(self, delay_s: float) -> None:
        send = None if self.settled.done() else self._another()
        if send is None:
            return
        self.launch(send)
        if self._launched < _MOST_ATTEMPTS:
            self.schedule(2 * delay_s)

    def _finish(self, task: asyncio.Task[AnswerResult]) -> None:
        self._running.discard(task)
        if task.cancelled() or self.settled.done():
            return
        error = task.exception()
        if error is not None:
            self.settled.set_exception(error)
            return
        result = task.result()
        if isinstance(result, Success) or not self._running:
            self.settled.set_result(result)
