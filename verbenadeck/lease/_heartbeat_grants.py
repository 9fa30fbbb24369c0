"""Grants to an upstream that asks for them with its heartbeats."""

import asyncio
import math
from collections.abc import Callable, Mapping
from contextlib import suppress
from types import MappingProxyType

from loguru import logger

from verbenadeck.adapters import (
    Announcement,
    HeldRange,
    HoldReply,
    HoldReport,
    KeyHandover,
    UpstreamAdapter,
)
from verbenadeck.lease._grants_interface import ServableFences
from verbenadeck.lease._hold_rows import (
    KeyLayout,
    hold_rows,
    within_rows,
)
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')

CLOCK_RATIO = 1.02
"""Seconds of true time per second of an upstream's slowest clock, as the
platform's protocol states it."""

MIN_HOLD_S = 0.2
"""Shortest hold worth granting, in seconds: two round trips of a release."""

MAX_ROWS = 90
"""Rows of one reply; about 40 bytes each, within the 4 KiB that an upstream
reads of an answer to its heartbeat."""

_POLL_S = 0.05
_NO_HANDOVERS: Mapping[tuple[int, int], str] = MappingProxyType({})


class HeartbeatGrants:
    """Answers heartbeats with the keys that the upstream is to hold.

    A hold never outlasts the node's own lease: it is counted from the
    receipt of the heartbeat, which is later than its sending, and shortened
    by the slowest clock of an upstream.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    upstream : UpstreamAdapter
        Upstream that sends the heartbeats.
    service : callable
        Returns the service and its number of shards.
    servable_fences : ServableFences
        Returns the fences of the shards that may be served now.
    lease_deadline_s : callable
        Returns the end of the node's lease.
    key_space : int
        Number of keys of a service.
    max_hold_s : float
        Longest hold that an upstream accepts, in seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        upstream: UpstreamAdapter,
        service: Callable[[], tuple[ServiceName, int]],
        servable_fences: ServableFences,
        lease_deadline_s: Callable[[], float],
        key_space: int,
        max_hold_s: float,
    ) -> None:
        self.on_change: Callable[[], None] = _nothing
        self._clock = clock
        self._keys = KeyLayout(key_space, lambda: service()[1])
        self._servable_fences = servable_fences
        self._lease_deadline_s = lease_deadline_s
        self._max_hold_s = max_hold_s
        self._instance = ''
        self._granted: dict[Shard, Fence] = {}
        self._granted_until_s = -math.inf
        # Until when a shard may still be held, whatever was granted since.
        self._held_until_s: dict[Shard, float] = {}
        self._unknown_until_s = clock.now_s() + max_hold_s * CLOCK_RATIO
        # Highest fence that any life of the upstream was told of a shard.
        self._told: dict[Shard, Fence] = {}
        self._handovers: dict[tuple[int, int], str] = {}
        self._freed: dict[tuple[int, int], str] = {}
        self._beat = asyncio.Event()
        upstream.on_announce(self._on_announce)

    @property
    def are_earlier_grants_over(self) -> bool:
        """Whether nothing of an earlier process's grants is left."""
        return self._holds_only(self._granted)

    def deadline_s(self, shard: Shard, fence: Fence) -> float:
        """Return until when the upstream takes orders for a shard."""
        if self._granted.get(shard) != fence:
            return -math.inf
        return self._granted_until_s

    def granted_fence(self, shard: Shard) -> Fence | None:
        """Return the fence under which a shard is granted now."""
        if self._clock.now_s() >= self._granted_until_s:
            return None
        return self._granted.get(shard)

    async def await_release(self, shards: frozenset[Shard]) -> None:
        """Return once a heartbeat was answered without these shards."""
        while any(self.granted_fence(shard) is not None for shard in shards):
            await self._next_beat()

    async def push(self) -> bool:
        """Do nothing: the next heartbeat gets what is wanted then."""
        return True

    async def revoke(self) -> None:
        """Return when the upstream holds nothing that is not wanted now."""
        while not self._holds_only(self._servable_fences()):
            await self._next_beat()

    def handovers(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> tuple[KeyHandover, ...]:
        """Return and forget what the upstream left for these shards."""
        found: list[KeyHandover] = []
        for each in ranges:
            first = self._keys.first_key(each.first_shard)
            stop = self._keys.first_key(each.stop_shard)
            for keys in tuple(self._freed):
                if first <= keys[0] and keys[1] < stop:
                    found.append(KeyHandover(*keys, self._freed.pop(keys)))
        return tuple(found)

    def add_handovers(self, handovers: tuple[KeyHandover, ...]) -> None:
        """Note what goes to the upstream with the grants to come."""
        for each in handovers:
            self._handovers[(each.first_key, each.last_key)] = each.text

    def holds_for(self, report: HoldReport) -> HoldReply | None:
        """Return what the upstream is to hold, None to renew nothing."""
        now_s = self._clock.now_s()
        self._take(report, now_s)
        left_s = self._lease_deadline_s() - now_s
        hold_s = min(self._max_hold_s, left_s / CLOCK_RATIO)
        is_leased = hold_s >= MIN_HOLD_S
        wanted = self._servable_fences() if is_leased else {}
        if not is_leased and not self._has_foreign(report):
            return None
        rows = self._rows(wanted)
        if self._granted != wanted:
            self.on_change()
        self._granted = within_rows(wanted, self._keys, rows)
        hold_s = max(hold_s, MIN_HOLD_S) if wanted else MIN_HOLD_S
        self._granted_until_s = now_s + hold_s
        for shard in self._granted:
            self._held_until_s[shard] = now_s + hold_s * CLOCK_RATIO
        self._beat.set()
        return HoldReply(rows, hold_s)

    async def _next_beat(self) -> None:
        self._beat.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(_POLL_S):
                await self._beat.wait()

    def _rows(self, wanted: dict[Shard, Fence]) -> tuple[HeldRange, ...]:
        """Return rows whose fences never fall for any shard."""
        told = {
            shard: max(fence, self._told.get(shard, fence))
            for shard, fence in wanted.items()
        }
        rows = tuple(hold_rows(told, self._keys, self._handovers))
        if len(rows) > MAX_ROWS:
            _log.warning('{} rows of grants, at most {}', len(rows), MAX_ROWS)
            # Without handovers some keys are slow for a while; without a row
            # they are not served.
            rows = tuple(hold_rows(told, self._keys, _NO_HANDOVERS))
        rows = rows[:MAX_ROWS]
        for row in rows:
            for shard in self._keys.shards(row.first_key, row.last_key):
                self._told[shard] = row.fence
        return rows

    def _take(self, report: HoldReport, now_s: float) -> None:
        """Note what the upstream holds now; it says so after each change."""
        held: set[Shard] = set()
        for row in report.held:
            held.update(self._keys.shards(row.first_key, row.last_key))
        latest_s = now_s + self._max_hold_s * CLOCK_RATIO
        self._held_until_s = {
            shard: self._held_until_s.get(shard, latest_s) for shard in held
        }
        self._unknown_until_s = -math.inf
        for row in report.held:
            self._handovers.pop((row.first_key, row.last_key), None)
        for each in report.released:
            self._freed[(each.first_key, each.last_key)] = each.text

    def _has_foreign(self, report: HoldReport) -> bool:
        """Return whether it holds what this process never granted."""
        return any(
            not self._granted.keys()
            >= set(self._keys.shards(row.first_key, row.last_key))
            for row in report.held
        )

    def _holds_only(self, allowed: Mapping[Shard, Fence]) -> bool:
        """Return whether it is known to hold no other shards."""
        now_s = self._clock.now_s()
        return now_s >= self._unknown_until_s and all(
            shard in allowed or until_s <= now_s
            for shard, until_s in self._held_until_s.items()
        )

    def _on_announce(self, announcement: Announcement) -> None:
        if announcement.instance == self._instance:
            return
        is_first = not self._instance
        self._instance = announcement.instance
        if is_first:
            return
        _log.warning('upstream {} is new', announcement.instance)
        # A new life holds nothing of what its predecessor was granted.
        self._granted = {}
        self._held_until_s = {}
        self._unknown_until_s = -math.inf
        self._freed = {}
        self._beat.set()
        self.on_change()


def _nothing() -> None:
    """Do nothing."""
