"""Check in the log that this node is still a member."""

import asyncio

from verbenadeck.journal import Journal
from verbenadeck.membership import LeaseTiming
from verbenadeck.utils import Clock

_HEARTBEATS_PER_CHECK = 2


class MembershipCheck:
    """Reads of the log that show the members as of a request or later.

    A read serves all requests that were made before it began. So that nodes
    without a lease do not load the log, reads begin at an interval.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    journal : Journal
        Log client.
    timing : LeaseTiming
        Times of the lease protocol.
    """

    def __init__(
        self, *, clock: Clock, journal: Journal, timing: LeaseTiming
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._timeout_s = timing.append_timeout_s
        self._interval_s = _HEARTBEATS_PER_CHECK * timing.heartbeat_interval_s
        self._next_at_s = clock.now_s()
        self._pending: asyncio.Task[bool] | None = None
        self._tasks: set[asyncio.Task[bool]] = set()

    async def run(self) -> bool:
        """Apply the log up to an end as of this call or later.

        Returns
        -------
        bool
            False if the log could not be read to its end in time.
        """
        if self._pending is None:
            self._pending = asyncio.ensure_future(self._read_to_end())
            self._tasks.add(self._pending)
            self._pending.add_done_callback(self._tasks.discard)
        return await asyncio.shield(self._pending)

    async def stop(self) -> None:
        """Cancel the reads in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_to_end(self) -> bool:
        await self._clock.sleep_until(self._next_at_s)
        # From here on, a request needs a read of its own.
        self._pending = None
        now_s = self._clock.now_s()
        self._next_at_s = now_s + self._interval_s
        return await self._journal.catch_up(deadline_s=now_s + self._timeout_s)
