"""Wait for the first record of an era before anything is decided in it."""

import asyncio

from verbenadeck.fleet import FleetTables


class EraStartGate:
    """Gate that lets proposals pass once they count in the era of the log.

    Parameters
    ----------
    fleet : FleetTables
        Fleet state that the log is applied to.
    """

    def __init__(self, fleet: FleetTables) -> None:
        self._fleet = fleet
        self._passed = asyncio.Event()
        self._start_due = asyncio.Event()

    @property
    def is_passed(self) -> bool:
        """Whether the state has caught up and its era has started."""
        return self._passed.is_set()

    @property
    def is_era_started(self) -> bool:
        """Whether the era of the log has a record, or needs none.

        A fleet without members inherits nothing, so that any record may be
        the first of its era.
        """
        return self._fleet.claims.is_started or not self._fleet.members

    @property
    def blocked_on(self) -> str:
        """What a caught-up state waits for, empty if it is not waiting."""
        return '' if self.is_era_started else 'the first record of an era'

    def mark_caught_up(self) -> None:
        """Open the gate, or ask for the first record of the era."""
        if self.is_era_started:
            self._passed.set()
        self.ask_for_start()

    def ask_for_start(self) -> None:
        """Ask for the first record of the era unless it has been applied."""
        if not self.is_era_started:
            self._start_due.set()

    def close(self) -> None:
        """Close the gate until the state has caught up again."""
        self._passed.clear()

    async def wait_passed(self) -> None:
        """Wait until the gate is open."""
        await self._passed.wait()

    async def wait_start_due(self) -> None:
        """Wait until the first record of an era is due."""
        await self._start_due.wait()
        self._start_due.clear()
