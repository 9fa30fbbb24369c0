"""Reaction of a node to the departure and the return of its upstream."""

import asyncio
import math
from collections.abc import Callable
from types import MappingProxyType

from loguru import logger

from verbenadeck.adapters import Announcement, UpstreamDeparture
from verbenadeck.membership import Membership
from verbenadeck.node._departure_log import DepartureLog
from verbenadeck.proxy import UpstreamProxy
from verbenadeck.utils import Clock

_log = logger.bind(part='node')
_CHECK_INTERVAL_S = 0.1


class DepartureHandler:
    """Moves shards away from a departing upstream and ends the membership.

    Parameters
    ----------
    proxy : UpstreamProxy
        Proxy of the upstream.
    membership : Membership
        Membership of this node in the fleet.
    clock : Clock
        Clock of this VM.
    last_heartbeat_at_s : callable
        Returns the time in seconds of the last heartbeat of the upstream.
    mark_lost : callable
        Marks the upstream as lost.
    silence_timeout_s : float
        Time in seconds without a heartbeat after which every grant of the
        upstream has expired.
    close_after_s : float
        Time in seconds after which nothing is sent to a draining upstream.
    move_timeout_s : float
        Maximum time in seconds for moving the shards of a draining upstream;
        its proxy admits requests for them meanwhile.
    departures : DepartureLog
        Departures in the log, which an earlier process of this node may have
        recorded.
    """

    def __init__(
        self,
        *,
        proxy: UpstreamProxy,
        membership: Membership,
        clock: Clock,
        last_heartbeat_at_s: Callable[[], float],
        mark_lost: Callable[[], None],
        silence_timeout_s: float,
        close_after_s: float,
        move_timeout_s: float,
        departures: DepartureLog,
    ) -> None:
        self._proxy = proxy
        self._membership = membership
        self._clock = clock
        self._last_heartbeat_at_s = last_heartbeat_at_s
        self._mark_lost = mark_lost
        self._silence_timeout_s = silence_timeout_s
        self._close_after_s = close_after_s
        self._move_timeout_s = move_timeout_s
        self._departures = departures
        self._is_repeat_due = False
        self._instance: str | None = None
        self._is_departing = False
        self._task: asyncio.Task[None] | None = None
        self._leave_task: asyncio.Task[None] | None = None
        self._departure_actions = MappingProxyType(
            {
                UpstreamDeparture.DRAINING: self._on_draining,
                UpstreamDeparture.LEFT: self._on_left,
                UpstreamDeparture.SILENT: self._on_silent,
            }
        )

    async def start(self) -> None:
        """Start to check whether the upstream has left or fallen silent."""
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """Stop the check and a move of shards that is still running."""
        tasks = [task for task in (self._task, self._leave_task) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_announce(self, announcement: Announcement) -> None:
        """Admit requests again, and resign if the upstream has restarted.

        Parameters
        ----------
        announcement : Announcement
            What the upstream announced about itself.
        """
        self._cancel_leave_task()
        self._is_departing = False
        self._proxy.set_draining(is_draining=False)
        self._proxy.close_at(math.inf)
        if self._instance not in {None, announcement.instance}:
            # The earlier instance has ended, so no grant to it is in force.
            self._membership.resign('the upstream restarted as a new instance')
        self._instance = announcement.instance

    def on_departure(self, how: UpstreamDeparture) -> None:
        """Move shards away or resign, depending on how the upstream departs.

        Parameters
        ----------
        how : UpstreamDeparture
            How the upstream departs.
        """
        self._is_departing = True
        self._departure_actions[how]()

    def on_new_history(self) -> None:
        """Repeat a departure of which the log may have lost the records."""
        self._is_repeat_due = self._is_departing

    def _on_draining(self) -> None:
        self._proxy.close_at(self._clock.now_s() + self._close_after_s)
        self._move_shards_away()

    def _move_shards_away(self) -> None:
        self._cancel_leave_task()
        self._leave_task = asyncio.create_task(self._leave())

    def _on_left(self) -> None:
        self._refuse_all()
        self._move_shards_away()

    def _on_silent(self) -> None:
        self._cancel_leave_task()
        self._refuse_all()
        self._membership.resign(
            'the upstream sent no heartbeat within its time-out'
        )

    def _refuse_all(self) -> None:
        self._proxy.set_draining(is_draining=True)
        self._proxy.close_at(self._clock.now_s())

    def _cancel_leave_task(self) -> None:
        if self._leave_task is not None:
            self._leave_task.cancel()
            self._leave_task = None

    async def _leave(self) -> None:
        deadline_s = self._clock.now_s() + self._move_timeout_s
        is_moved = await self._membership.leave(deadline_s=deadline_s)
        _log.info(
            'upstream leaves; all shards moved in time: {}; refusing new work',
            is_moved,
        )
        self._proxy.set_draining(is_draining=True)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self._departures.keep_recorded()
            if self._is_repeat_due:
                self._is_repeat_due = False
                self._move_shards_away()
            silence_s = self._clock.now_s() - self._last_heartbeat_at_s()
            if silence_s > self._silence_timeout_s:
                self._mark_lost()
            elif self._has_recorded_departure():
                _log.info('upstream {} left before a restart', self._instance)
                self.on_departure(UpstreamDeparture.LEFT)

    def _has_recorded_departure(self) -> bool:
        return (
            not self._is_departing
            and self._instance is not None
            and self._departures.has_left(self._instance)
        )
