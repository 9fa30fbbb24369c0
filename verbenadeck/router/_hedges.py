"""Hedges: a second attempt when the first one is late."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Success

from verbenadeck.model import AnswerResult

Send = Callable[[], Coroutine[Any, Any, AnswerResult]]


async def send_hedged(
    first: Send, second: Callable[[], Send | None], *, delay_s: float
) -> AnswerResult:
    """Return the first answer of up to two attempts.

    Parameters
    ----------
    first : callable
        Makes the first attempt.
    second : callable
        Returns what makes the second one, None when there is to be none.
    delay_s : float
        Time in seconds after which the second attempt starts.
    """
    attempts = {asyncio.create_task(first())}
    try:
        done, _ = await asyncio.wait(attempts, timeout=delay_s)
        if not done:
            hedge = second()
            if hedge is not None:
                attempts.add(asyncio.create_task(hedge()))
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
