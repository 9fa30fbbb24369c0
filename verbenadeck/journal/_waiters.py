"""Tasks that wait for a position of the log."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from verbenadeck.model import Offset
from verbenadeck.utils import Clock


class OffsetWaiters:
    """Wakes tasks once a position is applied."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[asyncio.Future[None], Offset] = {}

    async def wait(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait for a position; return False at the deadline."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[future] = offset
        try:
            await wait_until(future, self._clock, deadline_s)
        finally:
            self._waiting.pop(future)
        return future.done()

    def wake(self, applied_offset: Offset) -> None:
        """Wake all that wait for this position or an earlier one."""
        for future, offset in self._waiting.items():
            if offset <= applied_offset and not future.done():
                future.set_result(None)


async def wait_until(
    future: 'asyncio.Future[Any]',
    clock: Clock,
    deadline_s: float,
) -> bool:
    """Wait for a future without cancelling it; return whether it is done."""
    while not future.done() and clock.now_s() < deadline_s:
        await asyncio.wait((future,), timeout=clock.remaining_s(deadline_s))
    return future.done()


async def completes_by(
    step: Coroutine[Any, Any, Any], clock: Clock, deadline_s: float
) -> bool:
    """Run a step; cancel it and return False at the deadline."""
    try:
        async with asyncio.timeout(clock.remaining_s(deadline_s)):
            await step
    except TimeoutError:
        return False
    return True
