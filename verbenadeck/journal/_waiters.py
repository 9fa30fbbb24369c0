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
        self._ends_at_refresh: dict[asyncio.Future[None], None] = {}

    async def wait(
        self,
        offset: Offset,
        *,
        deadline_s: float,
        ends_at_refresh: bool = False,
    ) -> bool:
        """Wait for an offset; return False at the deadline.

        Parameters
        ----------
        offset : Offset
            Offset to wait for.
        deadline_s : float
            End of the wait on the clock of this VM, in seconds.
        ends_at_refresh : bool
            Whether `refresh` ends the wait as well.
        """
        future = asyncio.get_running_loop().create_future()
        self._offset_by_future[future] = offset
        if ends_at_refresh:
            self._ends_at_refresh[future] = None
        try:
            await wait_for_future(future, self._clock, deadline_s)
        finally:
            self._offset_by_future.pop(future)
            self._ends_at_refresh.pop(future, None)
        return future.done()

    def refresh(self) -> None:
        """End the waits for which a newer age of the knowledge is enough."""
        for future in self._ends_at_refresh:
            if not future.done():
                future.set_result(None)

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
