"""Hedges: further attempts when the first one is late."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Success

from verbenadeck.model import AnswerResult

_MOST_HEDGES = 2

Send = Callable[[], Coroutine[Any, Any, AnswerResult]]


async def send_hedged(
    first: Send, another: Callable[[], Send | None], *, delay_s: float
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
    attempts = {asyncio.create_task(first())}
    try:
        for _ in range(_MOST_HEDGES):
            done, _ = await asyncio.wait(
                attempts,
                timeout=delay_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            hedge = None if done else another()
            if hedge is None:
                break
            attempts.add(asyncio.create_task(hedge()))
            delay_s *= 2
        return await _first_answer(attempts)
    finally:
        for attempt in attempts:
            attempt.cancel()


async def _first_answer(
    attempts: set[asyncio.Task[AnswerResult]],
) -> AnswerResult:
    waiting = attempts
    while True:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        results = [attempt.result() for attempt in done]
        for result in results:
            if isinstance(result, Success) or not waiting:
                return result
