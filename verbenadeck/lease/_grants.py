"""Fenced grants that the node pushes to its upstream."""

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
_REVOKE_RETRY_S = 0.05


class PushedGrants:
    """Grants that follow the node's lease and its owned shards.

    A grant carries a deadline on the boot clock, which the node and its
    upstream share on one VM, so a pause of the node can't extend a grant.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    upstream : UpstreamAdapter
        Upstream that receives the grants.
    service : callable
        Returns the service and its number of shards.
    servable_fences : ServableFences
        Returns the fences of the shards that may be served now.
    lease_deadline_s : callable
        Returns the end of the node's lease on the boot clock, in seconds.

    Attributes
    ----------
    on_change : callable
        Called when the upstream has restarted and lost its grants.
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
        self._granted_fences: dict[Shard, Fence] = {}
        self._granted_until_s = -math.inf
        self._requested_until_s = -math.inf
        self._unconfirmed_until_s = -math.inf
        self._instance = ''
        self._lock = asyncio.Lock()
        self.on_change: Callable[[], None] = _do_nothing
        upstream.on_announce(self._on_announce)

    def deadline_s(self, shard: Shard, fence: Fence) -> float:
        """Return until when the upstream accepts requests for a shard.

        Parameters
        ----------
        shard : Shard
            Shard of the service.
        fence : Fence
            Fence of the requests.

        Returns
        -------
        float
            Moment on the boot clock, in seconds; minus infinity without a
            grant under this fence.
        """
        if self._granted_fences.get(shard) != fence:
            return -math.inf
        return self._granted_until_s

    def granted_fence(self, shard: Shard) -> Fence | None:
        """Return None, as a grant is revoked as soon as its shard moves.

        Parameters
        ----------
        shard : Shard
            Shard of the service.
        """

    async def await_release(self, shards: frozenset[Shard]) -> None:
        """Return at once, as shards are closed before they are revoked.

        Parameters
        ----------
        shards : frozenset of Shard
            Shards that move away.
        """

    async def push(self) -> bool:
        """Grant the shards that the node may serve now.

        Returns
        -------
        bool
            Whether the upstream confirmed the grant, or none was needed.
        """
        async with self._lock:
            return await self._push_locked()

    async def revoke(self) -> None:
        """Wait until the upstream refuses all shards that are not servable.

        A grant without an answer may still reach the upstream. In that case
        the wait lasts until the deadlines of all earlier grants have passed.
        """
        end_s = max(self._requested_until_s, self._unconfirmed_until_s)
        while self._clock.now_s() <= end_s:
            is_granted = await self.push()
            if is_granted and self._unconfirmed_until_s < self._clock.now_s():
                return
            await asyncio.sleep(_REVOKE_RETRY_S)

    def pop_handovers(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> tuple[KeyHandover, ...]:
        """Return nothing, as such an upstream has no text to hand over.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards that were released.
        """
        return ()

    def add_handovers(self, handovers: tuple[KeyHandover, ...]) -> None:
        """Ignore handovers, as grants of this kind carry no text.

        Parameters
        ----------
        handovers : tuple of KeyHandover
            Texts of the earlier owner's upstream.
        """

    async def _push_locked(self) -> bool:
        instance = self._instance
        service, shard_count = self._service()
        servable = self._servable_fences()
        deadline_s = self._lease_deadline_s()
        is_idle = not servable and not self._granted_fences
        if is_idle or deadline_s <= self._clock.now_s():
            return is_idle
        self._requested_until_s = max(self._requested_until_s, deadline_s)
        grant = Grant(
            service, shard_count, _group_into_ranges(servable), deadline_s
        )
        outcome = await self._upstream.grant(grant)
        if not isinstance(outcome, Success) or instance != self._instance:
            self._unconfirmed_until_s = max(
                self._unconfirmed_until_s, deadline_s
            )
            return False
        self._granted_fences = servable
        self._granted_until_s = deadline_s
        return True

    def _on_announce(self, announcement: Announcement) -> None:
        if announcement.instance == self._instance:
            return
        if self._instance:
            _log.warning(
                'upstream restarted as instance {}; its grants are pushed again',
                announcement.instance,
            )
        self._instance = announcement.instance
        # A new instance of the upstream holds no grant.
        self._granted_fences = {}
        self.on_change()


def _do_nothing() -> None:
    """Ignore a change until a handler is set."""


def _group_into_ranges(
    servable: dict[Shard, Fence],
) -> tuple[GrantedRange, ...]:
    """Return the smallest number of ranges that have one fence each."""
    ordered = sorted(servable.items())
    found: list[GrantedRange] = []
    for (_, fence), run in groupby(enumerate(ordered), _run_key):
        shards = [each[0] for _, each in run]
        found.append(GrantedRange(shards[0], shards[-1] + 1, fence))
    return tuple(found)


def _run_key(entry: tuple[int, tuple[Shard, Fence]]) -> tuple[int, Fence]:
    """Return a key that is equal for consecutive shards of one fence."""
    position, (shard, fence) = entry
    return shard - position, fence
