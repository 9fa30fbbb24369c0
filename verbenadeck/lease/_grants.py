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
    KeyHandover,
    UpstreamAdapter,
)
from verbenadeck.lease._grants_interface import ServableFences
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_RETRY_S = 0.05


class PushedGrants:
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
        servable_fences: ServableFences,
        lease_deadline_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._service = service
        self._servable_fences = servable_fences
        self._lease_deadline_s = lease_deadline_s
        self._granted: dict[Shard, Fence] = {}
        self._granted_until_s = -math.inf
        self._asked_until_s = -math.inf
        self._unsure_until_s = -math.inf
        self._instance = ''
        self._lock = asyncio.Lock()
        self.on_change: Callable[[], None] = _nothing
        upstream.on_announce(self._on_announce)

    def deadline_s(self, shard: Shard, fence: Fence) -> float:
        """Return until when the upstream takes orders for a shard."""
        if self._granted.get(shard) != fence:
            return -math.inf
        return self._granted_until_s

    def granted_fence(self, shard: Shard) -> Fence | None:
        """Return None: a grant is taken back as soon as a shard moves."""

    async def await_release(self, shards: frozenset[Shard]) -> None:
        """Return at once: shards are closed before they are taken back."""

    async def push(self) -> bool:
        """Grant what the node may serve now; return whether it took hold."""
        async with self._lock:
            return await self._push()

    async def revoke(self) -> None:
        """Return when the upstream refuses all that is not wanted now.

        A grant without an answer may still reach the upstream, so then only
        the end of all earlier grants is certain.
        """
        end_s = max(self._asked_until_s, self._unsure_until_s)
        while self._clock.now_s() <= end_s:
            is_granted = await self.push()
            if is_granted and self._unsure_until_s < self._clock.now_s():
                return
            await asyncio.sleep(_RETRY_S)

    def handovers(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> tuple[KeyHandover, ...]:
        """Return nothing: an upstream that takes orders leaves nothing."""
        return ()

    def add_handovers(self, handovers: tuple[KeyHandover, ...]) -> None:
        """Ignore what an upstream that takes orders has no use for."""

    async def _push(self) -> bool:
        instance = self._instance
        service, shard_count = self._service()
        wanted = self._servable_fences()
        deadline_s = self._lease_deadline_s()
        is_idle = not wanted and not self._granted
        if is_idle or deadline_s <= self._clock.now_s():
            return is_idle
        self._asked_until_s = max(self._asked_until_s, deadline_s)
        grant = Grant(service, shard_count, _ranges(wanted), deadline_s)
        outcome = await self._upstream.grant(grant)
        if not isinstance(outcome, Success) or instance != self._instance:
            self._unsure_until_s = max(self._unsure_until_s, deadline_s)
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
        self.on_change()


def _nothing() -> None:
    """Do nothing."""


def _ranges(wanted: dict[Shard, Fence]) -> tuple[GrantedRange, ...]:
    """Return the fewest ranges with one fence each."""
    ordered = sorted(wanted.items())
    found: list[GrantedRange] = []
    for (_, fence), run in groupby(enumerate(ordered), _run_of):
        shards = [each[0] for _, each in run]
        found.append(GrantedRange(shards[0], shards[-1] + 1, fence))
    return tuple(found)


def _run_of(entry: tuple[int, tuple[Shard, Fence]]) -> tuple[int, Fence]:
    """Return what consecutive shards of one fence have in common."""
    position, (shard, fence) = entry
    return shard - position, fence
