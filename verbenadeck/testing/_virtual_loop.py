"""Event loop in virtual time, for tests and deterministic simulations."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from verbenadeck.utils import Clock

_Result = TypeVar('_Result')
_WALL_CLOCK_START_S = 1_800_000_000.0


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return what is ready."""
        if timeout is None:
            raise RuntimeError(
                'deadlock in virtual time: no task is ready and no timer is set'
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._virtual_selector.now_s


def run_virtual(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end in virtual time.

    Examples
    --------
    >>> async def sleep_one_hour() -> float:
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(sleep_one_hour())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def virtual_clock(*, offset_s: float = 0, rate: float = 1) -> Clock:
    """Return a clock that follows the running virtual loop.

    Parameters
    ----------
    offset_s : float
        Reading of the clock in seconds at the start of the loop.
    rate : float
        Seconds of the clock per second of the loop, to simulate drift.
    """
    loop = asyncio.get_running_loop()

    def now_s() -> float:
        return offset_s + loop.time() * rate

    def wall_s() -> float:
        return _WALL_CLOCK_START_S + loop.time()

    return Clock(now_s=now_s, wall_s=wall_s)
