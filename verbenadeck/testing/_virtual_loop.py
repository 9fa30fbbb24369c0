"""Event loop in virtual time, for tests and deterministic sessions."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from verbenadeck.utils import Clock

_Done = TypeVar('_Done')
_WALL_START_S = 1_800_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return what is ready."""
        if timeout is None:
            raise RuntimeError('every task waits for ever in virtual time')
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._jumping.now_s


def run_virtual(main: Coroutine[Any, Any, _Done]) -> _Done:
    """Run a coroutine to its end in virtual time.

    Examples
    --------
    >>> async def nap() -> float:
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(nap())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def virtual_clock(*, offset_s: float = 0, rate: float = 1) -> Clock:
    """Return a clock that follows the running virtual loop.

    Parameters
    ----------
    offset_s : float
        Reading of this clock at the start of the loop.
    rate : float
        Seconds of this clock per second of the loop, for drift.
    """
    loop = asyncio.get_running_loop()

    def now_s() -> float:
        return offset_s + loop.time() * rate

    def wall_s() -> float:
        return _WALL_START_S + loop.time()

    return Clock(now_s=now_s, wall_s=wall_s)
