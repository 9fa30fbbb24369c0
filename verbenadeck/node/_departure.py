"""What a node does when the upstream beside it leaves or comes back."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

from loguru import logger

from verbenadeck.adapters import Announcement, UpstreamDeparture
from verbenadeck.membership import Membership
from verbenadeck.proxy import UpstreamProxy
from verbenadeck.utils import Clock

_log = logger.bind(part='node')
_LOOK_S = 0.1


class DepartureHandler:
    """Moves the shards of an upstream that leaves and ends its membership.

    Parameters
    ----------
    proxy : UpstreamProxy
        Door of the upstream.
    membership : Membership
        Membership of this node.
    clock : Clock
        Clock of this VM.
    last_heartbeat_at_s : callable
        Returns when the upstream was last heard of.
    mark_lost : callable
        Takes the upstream for gone.
    silence_timeout_s : float
        Silence in seconds after which no grant can be in force.
    move_timeout_s : float
        Longest time in seconds in which the shards of an upstream that
        drains are moved while its door still takes requests for them.
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
        move_timeout_s: float,
    ) -> None:
        self._proxy = proxy
        self._membership = membership
        self._clock = clock
        self._last_heartbeat_at_s = last_heartbeat_at_s
        self._mark_lost = mark_lost
        self._silence_timeout_s = silence_timeout_s
        self._move_timeout_s = move_timeout_s
        self._instance: str | None = None
        self._task: asyncio.Task[None] | None = None
        self._leaving: asyncio.Task[None] | None = None
        self._ends = MappingProxyType(
            {
                UpstreamDeparture.DRAINING: self._on_draining,
                UpstreamDeparture.LEFT: self._on_left,
                UpstreamDeparture.SILENT: self._on_silent,
            }
        )

    async def start(self) -> None:
        """Start to watch for silence."""
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """Stop watching."""
        tasks = [task for task in (self._task, self._leaving) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_announce(self, announcement: Announcement) -> None:
        """Begin afresh with a new life of the upstream."""
        self._end_leaving()
        self._proxy.set_draining(is_draining=False)
        if self._instance not in {None, announcement.instance}:
            # The earlier life is over and holds nothing.
            self._membership.resign('the upstream has started again')
        self._instance = announcement.instance

    def on_departure(self, how: UpstreamDeparture) -> None:
        """Act on the end of the upstream."""
        self._ends[how]()

    def _on_draining(self) -> None:
        self._end_leaving()
        self._leaving = asyncio.create_task(self._leave())

    def _on_left(self) -> None:
        self._proxy.set_draining(is_draining=True)
        self._on_draining()

    def _on_silent(self) -> None:
        self._end_leaving()
        self._proxy.set_draining(is_draining=True)
        self._membership.resign('the upstream is silent')

    def _end_leaving(self) -> None:
        if self._leaving is not None:
            self._leaving.cancel()
            self._leaving = None

    async def _leave(self) -> None:
        deadline_s = self._clock.now_s() + self._move_timeout_s
        is_moved = await self._membership.leave(deadline_s=deadline_s)
        _log.info('upstream leaves, shards moved: {}', is_moved)
        self._proxy.set_draining(is_draining=True)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_S)
            silence_s = self._clock.now_s() - self._last_heartbeat_at_s()
            if silence_s > self._silence_timeout_s:
                self._mark_lost()
