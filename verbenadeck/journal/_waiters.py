"""Waiting for offsets, futures and coroutines with a deadline."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from verbenadeck.model import Offset
from verbenadeck.utils import Clock


class OffsetWaiters:
    """Registry of the tasks that wait for an offset to be applied.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of this VM.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset_by_future: dict[asyncio.Future[None], Offset] = {}

    async def wait(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait for an offset; return False at the deadline."""
        future = asyncio.get_running_loop().create_future()
        self._offset_by_future[future] = offset
        try:
            await wait_for_future(future, self._clock, deadline_s)
        finally:
            self._offset_by_future.pop(future)
        return future.done()

    def wake(self, applied_offset: Offset) -> None:
        """Wake all tasks that wait for this offset or an earlier one."""
        for future, offset in self._offset_by_future.items():
            if offset <= applied_offset and not future.done():
                future.set_result(None)


async def wait_for_future(
    future: 'asyncio.Future[Any]',
    clock: Clock,
    deadline_s: float,
) -> bool:
    """Wait for a future without cancelling it; return whether it is done."""
    while not future.done() and clock.now_s() < deadline_s:
        await asyncio.wait((future,), timeout=clock.remaining_s(deadline_s))
    return future.done()


async def completes_by(
    coroutine: Coroutine[Any, Any, Any], clock: Clock, deadline_s: float
) -> bool:
    """Await a coroutine; cancel it and return False at the deadline."""
    try:
        async with asyncio.timeout(clock.remaining_s(deadline_s)):
            await coroutine
    except TimeoutError:
        return False
    return True
