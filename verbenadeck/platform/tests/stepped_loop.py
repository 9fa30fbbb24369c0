"""Event loop whose time only tests advance, for exchanges over real sockets.

However slow the machine is, no time-out passes before the test says so.
"""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')

_MAX_RUN_S = 60.0
"""Real time after which a test that waits for ever is ended."""

_TIMER_TURNS = 10
"""Turns of the loop in which the effects of due timers reach their tasks."""


class SteppedLoop(asyncio.SelectorEventLoop):
    """Event loop that starts at time 0 and waits for sockets in real time."""

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__()

    def time(self) -> float:
        """Return the time that was last set, in seconds."""
        return self._now_s

    async def advance_to(self, now_s: float) -> None:
        """Set the time and let the timers that are due have their effect.

        Parameters
        ----------
        now_s : float
            Time in seconds.
        """
        self._now_s = now_s
        for _ in range(_TIMER_TURNS):
            await asyncio.sleep(0)


def run_stepped(
    main: Coroutine[Any, Any, _Result], loop: SteppedLoop
) -> _Result:
    """Run a coroutine to its end, or cancel it when it waits for ever.

    Parameters
    ----------
    main : coroutine
        Coroutine to run.
    loop : SteppedLoop
        New loop, which is closed at the end.
    """
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        task = runner.get_loop().create_task(main)
        guard = threading.Timer(
            _MAX_RUN_S, loop.call_soon_threadsafe, (task.cancel,)
        )
        guard.start()
        try:
            return runner.run(_wait(task))
        finally:
            guard.cancel()


async def _wait(task: 'asyncio.Task[_Result]') -> _Result:
    return await task
