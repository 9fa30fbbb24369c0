"""Check in the log that this node is still a member."""

import asyncio
import math

from verbenadeck.journal import Journal
from verbenadeck.membership import Membership
from verbenadeck.utils import Clock

_HEARTBEATS_PER_READ = 2


class MembershipCheck:
    """Check that this node has not ended before a request.

    Under its own lease it has not. Without one, a read of the log to its end
    tells. It serves all requests that were made before it began. So that nodes
    without a lease do not load the log, reads begin at an interval.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    journal : Journal
        Log client.
    membership : Membership
        Membership and lease of this node.
    """

    def __init__(
        self, *, clock: Clock, journal: Journal, membership: Membership
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._membership = membership
        self._timeout_s = membership.timing.append_timeout_s
        self._interval_s = (
            _HEARTBEATS_PER_READ * membership.timing.heartbeat_interval_s
        )
        self._next_read_at_s = -math.inf
        self._pending: asyncio.Task[bool] | None = None
        self._tasks: set[asyncio.Task[bool]] = set()

    async def run(self) -> bool:
        """Apply the log up to an end as of this call or later.

        Returns
        -------
        bool
            True without a read if the lease comes back meanwhile; False if the
            log could not be read to its end in time.
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
        await self._clock.sleep_until(self._next_read_at_s)
        # From here on, a request needs a read of its own.
        self._pending = None
        if self._membership.is_leased:
            return True
        now_s = self._clock.now_s()
        self._next_read_at_s = now_s + self._interval_s
        return await self._journal.catch_up(deadline_s=now_s + self._timeout_s)
