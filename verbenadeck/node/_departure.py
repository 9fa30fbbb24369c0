"""What a node does when the upstream beside it leaves or comes back."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

from loguru import logger

from verbenadeck.adapters import Announcement, UpstreamEnd
from verbenadeck.door import UpstreamDoor
from verbenadeck.membership import Membership
from verbenadeck.utils import Clock

_log = logger.bind(part='node')
_LOOK_S = 0.1


class Departure:
    """Moves the shards of an upstream that leaves and ends its membership.

    Parameters
    ----------
    door : UpstreamDoor
        Door of the upstream.
    membership : Membership
        Membership of this node.
    clock : Clock
        Clock of this VM.
    heard_at_s : callable
        Returns when the upstream was last heard of.
    forget : callable
        Takes the upstream for gone.
    silence_s : float
        Silence in seconds after which no grant can be in force.
    move_s : float
        Longest time in seconds in which the shards of an upstream that
        drains are moved while its door still takes requests for them.
    """

    def __init__(
        self,
        *,
        door: UpstreamDoor,
        membership: Membership,
        clock: Clock,
        heard_at_s: Callable[[], float],
        forget: Callable[[], None],
        silence_s: float,
        move_s: float,
    ) -> None:
        self._door = door
        self._membership = membership
        self._clock = clock
        self._heard_at_s = heard_at_s
        self._forget = forget
        self._silence_s = silence_s
        self._move_s = move_s
        self._instance: str | None = None
        self._task: asyncio.Task[None] | None = None
        self._leaving: asyncio.Task[None] | None = None
        self._ends = MappingProxyType(
            {
                UpstreamEnd.DRAINING: self._on_draining,
                UpstreamEnd.LEFT: self._on_left,
                UpstreamEnd.SILENT: self._on_silent,
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
        self._door.refuse_new(is_leaving=False)
        if self._instance not in {None, announcement.instance}:
            # The earlier life is over and holds nothing.
            self._membership.end_life('the upstream has started again')
        self._instance = announcement.instance

    def on_end(self, how: UpstreamEnd) -> None:
        """Act on the end of the upstream."""
        self._ends[how]()

    def _on_draining(self) -> None:
        self._end_leaving()
        self._leaving = asyncio.create_task(self._leave())

    def _on_left(self) -> None:
        self._door.refuse_new(is_leaving=True)
        self._on_draining()

    def _on_silent(self) -> None:
        self._end_leaving()
        self._door.refuse_new(is_leaving=True)
        self._membership.end_life('the upstream is silent')

    def _end_leaving(self) -> None:
        if self._leaving is not None:
            self._leaving.cancel()
            self._leaving = None

    async def _leave(self) -> None:
        deadline_s = self._clock.now_s() + self._move_s
        is_moved = await self._membership.leave(deadline_s=deadline_s)
        _log.info('upstream leaves, shards moved: {}', is_moved)
        self._door.refuse_new(is_leaving=True)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_LOOK_S)
            silence_s = self._clock.now_s() - self._heard_at_s()
            if silence_s > self._silence_s:
                self._forget()
