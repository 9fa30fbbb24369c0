"""Fenced grants to the upstream beside this node."""

import asyncio
import math
from collections.abc import Callable
from itertools import groupby

from loguru import logger
from returns.result import Success

from verbenadeck.adapters import (
    Announcement,
    Grant,
    GrantedRange,
    UpstreamAdapter,
)
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')

Wanted = Callable[[], dict[Shard, Fence]]


class GrantKeeper:
    """Keeps the upstream's grant in step with the lease and the shards.

    A grant carries a deadline on the boot clock that the node and its
    upstream share, so a paused node can't stretch it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        upstream: UpstreamAdapter,
        service: Callable[[], tuple[ServiceName, int]],
        wanted: Wanted,
        lease_deadline_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._service = service
        self._wanted = wanted
        self._lease_deadline_s = lease_deadline_s
        self._granted: dict[Shard, Fence] = {}
        self._granted_until_s = -math.inf
        self._asked_until_s = -math.inf
        self._instance = ''
        self._lock = asyncio.Lock()
        self.on_restart: Callable[[], None] = _nothing
        upstream.on_announce(self._on_announce)

    def deadline_s(self, shard: Shard, fence: Fence) -> float:
        """Return until when the upstream takes orders for a shard."""
        if self._granted.get(shard) != fence:
            return -math.inf
        return self._granted_until_s

    async def push(self) -> bool:
        """Grant what the node may serve now; return whether it took hold."""
        async with self._lock:
            return await self._push()

    async def revoke(self, shards: set[Shard]) -> None:
        """Return when the upstream certainly refuses these shards."""
        while not shards.isdisjoint(self._wanted()):
            # The shards were assigned back meanwhile; nothing to revoke.
            shards = shards - self._wanted().keys()
        end_s = self._asked_until_s
        while self._clock.now_s() <= end_s:
            if await self.push():
                return
            await asyncio.sleep(0.05)

    async def _push(self) -> bool:
        instance = self._instance
        service, shard_count = self._service()
        wanted = dict(self._wanted())
        deadline_s = self._lease_deadline_s()
        if deadline_s <= self._clock.now_s() and not self._granted:
            return False
        self._asked_until_s = max(self._asked_until_s, deadline_s)
        grant = Grant(service, shard_count, _ranges(wanted), deadline_s)
        outcome = await self._upstream.grant(grant)
        if not isinstance(outcome, Success) or instance != self._instance:
            return False
        self._granted = wanted
        self._granted_until_s = deadline_s
        return True

    def _on_announce(self, announcement: Announcement) -> None:
        if announcement.instance == self._instance:
            return
        if self._instance:
            _log.warning('upstream {} is new', announcement.instance)
        self._instance = announcement.instance
        # A new life of the upstream holds no grant.
        self._granted = {}
        self.on_restart()


def _nothing() -> None:
    """Do nothing."""


def _ranges(wanted: dict[Shard, Fence]) -> tuple[GrantedRange, ...]:
    """Return the fewest ranges with one fence each."""
    ordered = sorted(wanted.items())
    found: list[GrantedRange] = []
    for (_, fence), run in groupby(
        enumerate(ordered),
        key=lambda entry: (entry[1][0] - entry[0], entry[1][1]),
    ):
        shards = [each[0] for _, each in run]
        found.append(GrantedRange(shards[0], shards[-1] + 1, fence))
    return tuple(found)
