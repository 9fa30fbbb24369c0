"""Grants to an upstream that requests them with its heartbeats."""

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
from verbenadeck.lease._handover_texts import HandoverTexts
from verbenadeck.lease._hold_rows import (
    KeyLayout,
    build_hold_rows,
    filter_covered_shards,
)
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')

CLOCK_RATIO = 1.02
"""True seconds per second of the slowest clock that an upstream may have,
according to the protocol of the platform."""

MIN_HOLD_S = 0.2
"""Shortest hold to grant, in seconds: two round trips of a release."""

MAX_ROWS = 90
"""Maximum number of rows in one reply.

A row takes about 40 bytes, and an upstream reads up to 4 KiB of the reply to
its heartbeat.
"""

_REVOKE_POLL_S = 0.05
_NO_HANDOVERS: Mapping[tuple[int, int], str] = MappingProxyType({})


class HeartbeatGrants:
    """Grants that are sent as replies to the heartbeats of an upstream.

    A hold always ends before the node's own lease. It is counted from the
    receipt of the heartbeat, which is later than the sending, and shortened
    for the slowest clock that an upstream may have.

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
        Returns the end of the node's lease on the boot clock, in seconds.
    key_space : int
        Number of keys of a service.
    max_hold_s : float
        Longest hold that an upstream accepts, in seconds.

    Attributes
    ----------
    on_change : callable
        Called when the shards to grant have changed or the upstream has
        restarted.
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
        self.on_change: Callable[[], None] = _do_nothing
        self._clock = clock
        self._key_layout = KeyLayout(key_space, lambda: service()[1])
        self._servable_fences = servable_fences
        self._lease_deadline_s = lease_deadline_s
        self._max_hold_s = max_hold_s
        self._instance = ''
        self._granted_fences: dict[Shard, Fence] = {}
        self._granted_until_s = -math.inf
        # Latest moment at which each shard may still be held under any grant.
        self._held_until_s: dict[Shard, float] = {}
        # Shards granted since the last report that listed them: the next
        # report may have been sent before that reply arrived.
        self._unreported: set[Shard] = set()
        self._unknown_until_s = clock.now_s() + max_hold_s * CLOCK_RATIO
        # Highest fence sent for each shard, to any instance of the upstream.
        self._max_granted_fences: dict[Shard, Fence] = {}
        self._pending_handovers = HandoverTexts(key_space)
        self._released_handovers = HandoverTexts(key_space)
        self._heartbeat_received = asyncio.Event()
        upstream.on_announce(self._on_announce)

    @property
    def are_earlier_grants_over(self) -> bool:
        """Whether all grants of an earlier process of this node have ended."""
        return self._holds_only(self._granted_fences)

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
        """Return the fence under which a shard is granted now.

        Parameters
        ----------
        shard : Shard
            Shard of the service.

        Returns
        -------
        Fence or None
            None without a grant that is in force.
        """
        if self._clock.now_s() >= self._granted_until_s:
            return None
        return self._granted_fences.get(shard)

    async def await_release(self, shards: frozenset[Shard]) -> None:
        """Wait until a heartbeat has been answered without these shards.

        Parameters
        ----------
        shards : frozenset of Shard
            Shards that move away.
        """
        while any(self.granted_fence(shard) is not None for shard in shards):
            await self._wait_for_heartbeat()

    async def push(self) -> bool:
        """Return true, as the grant goes out with the next heartbeat."""
        return True

    async def revoke(self) -> None:
        """Wait until the upstream holds no shard that is not servable."""
        while not self._holds_only(self._servable_fences()):
            await self._wait_for_heartbeat()

    def pop_handovers(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> tuple[KeyHandover, ...]:
        """Remove and return what the upstream handed over for some shards.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards that the upstream has released.
        """
        found: list[KeyHandover] = []
        for each in ranges:
            first = self._key_layout.first_key(each.first_shard)
            stop = self._key_layout.first_key(each.stop_shard)
            found.extend(self._released_handovers.pop_within(first, stop))
        return tuple(found)

    def add_handovers(self, handovers: tuple[KeyHandover, ...]) -> None:
        """Add texts that go to the upstream with its next grants.

        Parameters
        ----------
        handovers : tuple of KeyHandover
            Texts of the earlier owner's upstream.
        """
        self._pending_handovers.add(handovers)

    def holds_for(self, report: HoldReport) -> HoldReply | None:
        """Return the keys that the upstream is to hold from now on.

        Parameters
        ----------
        report : HoldReport
            What the upstream holds and has released, from its heartbeat.

        Returns
        -------
        HoldReply or None
            None without a lease, so that the present holds run out. An
            upstream that holds keys which this process never granted gets
            an empty reply instead, which revokes them.
        """
        now_s = self._clock.now_s()
        self._record_report(report, now_s)
        left_s = self._lease_deadline_s() - now_s
        hold_s = min(self._max_hold_s, left_s / CLOCK_RATIO)
        is_leased = hold_s >= MIN_HOLD_S
        servable = self._servable_fences() if is_leased else {}
        if not is_leased and not self._has_unknown_holds(report):
            return None
        rows = self._build_rows(servable)
        if self._granted_fences != servable:
            self.on_change()
        self._granted_fences = filter_covered_shards(
            servable, self._key_layout, rows
        )
        hold_s = max(hold_s, MIN_HOLD_S) if servable else MIN_HOLD_S
        self._granted_until_s = now_s + hold_s
        held_until_s = now_s + hold_s * CLOCK_RATIO
        self._unreported.update(
            self._granted_fences.keys() - self._held_until_s.keys()
        )
        for shard in self._granted_fences:
            # The reply may be lost, and the hold before it may be longer.
            self._held_until_s[shard] = max(
                held_until_s, self._held_until_s.get(shard, held_until_s)
            )
        self._heartbeat_received.set()
        return HoldReply(rows, hold_s)

    async def _wait_for_heartbeat(self) -> None:
        self._heartbeat_received.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(_REVOKE_POLL_S):
                await self._heartbeat_received.wait()

    def _build_rows(
        self, servable: dict[Shard, Fence]
    ) -> tuple[HeldRange, ...]:
        """Return rows whose fence never decreases for any shard."""
        fences = {
            shard: max(fence, self._max_granted_fences.get(shard, fence))
            for shard, fence in servable.items()
        }
        rows = tuple(
            build_hold_rows(
                fences, self._key_layout, self._pending_handovers.by_range
            )
        )
        if len(rows) > MAX_ROWS:
            _log.warning(
                'grants need {} rows, but a reply has at most {}; '
                'sending them without handover texts',
                len(rows),
                MAX_ROWS,
            )
            # Keys without a handover are slow for a while; keys without a row
            # are not served at all.
            rows = tuple(
                build_hold_rows(fences, self._key_layout, _NO_HANDOVERS)
            )
        rows = rows[:MAX_ROWS]
        for row in rows:
            for shard in self._key_layout.overlapping_shards(
                row.first_key, row.last_key
            ):
                self._max_granted_fences[shard] = row.fence
        return rows

    def _record_report(self, report: HoldReport, now_s: float) -> None:
        """Record what the upstream holds, as it reports after each change."""
        held = self._key_layout.covered_shards(report.held)
        latest_s = now_s + self._max_hold_s * CLOCK_RATIO
        self._unreported = {
            shard
            for shard in self._unreported.difference(held)
            if self._held_until_s.get(shard, now_s) > now_s
        }
        self._held_until_s = {
            shard: self._held_until_s.get(shard, latest_s)
            for shard in self._unreported.union(held)
        }
        # Rows say nothing of shards while their number is unknown.
        is_unknown = bool(report.held) and not self._key_layout.shard_count()
        self._unknown_until_s = latest_s if is_unknown else -math.inf
        for row in report.held:
            self._pending_handovers.discard((row.first_key, row.last_key))
        self._released_handovers.add(report.released)

    def _has_unknown_holds(self, report: HoldReport) -> bool:
        """Return whether the upstream holds keys that are not granted."""
        held = self._key_layout.covered_shards(report.held)
        return not self._granted_fences.keys() >= held

    def _holds_only(self, allowed: Mapping[Shard, Fence]) -> bool:
        """Return whether the upstream certainly holds no other shards."""
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
        _log.warning(
            'upstream restarted as instance {}; its grants are void',
            announcement.instance,
        )
        # A new instance holds none of the grants of the instance before it.
        self._granted_fences = {}
        self._held_until_s = {}
        self._unreported = set()
        self._unknown_until_s = -math.inf
        self._released_handovers.clear()
        self._heartbeat_received.set()
        self.on_change()


def _do_nothing() -> None:
    """Ignore a change until a handler is set."""
