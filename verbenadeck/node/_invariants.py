"""Exception handler that ends the process when an invariant is broken."""

import asyncio
from collections.abc import Callable
from typing import Any

from verbenadeck.journal import TailError

BROKEN_INVARIANT_EXIT_STATUS = 70
"""Exit status of a process that broke an invariant."""

LoopHandler = Callable[[asyncio.AbstractEventLoop, dict[str, Any]], None]


def make_loop_exception_handler(
    *, flush_logs: Callable[[], None], exit_process: Callable[[int], None]
) -> LoopHandler:
    """Return a handler that ends the process when applying the log fails.

    A node that can no longer apply records of the log would serve from stale
    state for as long as its witnesses renew its lease. Once the process has
    ended, the lease lapses, as after a kill.

    Parameters
    ----------
    flush_logs : callable
        Writes the pending log lines.
    exit_process : callable
        Ends the process at once with an exit status.

    Returns
    -------
    callable
        Exception handler for an event loop; it reports every exception and
        ends the process after a `TailError`.
    """

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        loop.default_exception_handler(context)
        if isinstance(context.get('exception'), TailError):
            flush_logs()
            exit_process(BROKEN_INVARIANT_EXIT_STATUS)

    return handle
