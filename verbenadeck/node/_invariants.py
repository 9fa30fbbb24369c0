"""Ends the process when an invariant is broken."""

import asyncio
from collections.abc import Callable
from typing import Any

from verbenadeck.journal import TailError

BROKEN_STATUS = 70
"""Exit status of a process that broke an invariant."""

LoopHandler = Callable[[asyncio.AbstractEventLoop, dict[str, Any]], None]


def make_loop_exception_handler(
    *, flush_logs: Callable[[], None], exit_process: Callable[[int], None]
) -> LoopHandler:
    """Return an exception handler that ends a node with a broken tail.

    Such a node would serve by old state for as long as its witnesses renew
    its lease. A process that has ended loses the lease, as after a kill.

    Parameters
    ----------
    flush_logs : callable
        Writes pending log lines.
    exit_process : callable
        Ends the process at once with a status.
    """

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        loop.default_exception_handler(context)
        if isinstance(context.get('exception'), TailError):
            flush_logs()
            exit_process(BROKEN_STATUS)

    return handle
