"""Planned move, on the side of the earlier owner."""

import asyncio
from collections.abc import Coroutine

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Success

from verbenadeck.journal import AppliedRecord, Journal
from verbenadeck.lease._fence_rules import longest_timeout_s
from verbenadeck.lease._grants_interface import Grants
from verbenadeck.lease._messages import Release
from verbenadeck.lease._ranges import ShardKey, ranges_of, shards_in
from verbenadeck.lease._view import ProxyHandover
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Incarnation
from verbenadeck.peers import PeerTransport
from verbenadeck.records import Released
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_POLL_S = 0.5
_BATCH_S = 0.02
_CALL_S = 0.5
_TELL_S = 2.0
_CLOSE_MARGIN_S = 1.0


class Handover:
    """Closes shards that were assigned away and releases them.

    The release goes to the named owner by message with the entries of the
    request ledger, and into the log for everybody else.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        journal: Journal,
        transport: PeerTransport,
        membership: Membership,
        proxy: ProxyHandover,
        grants: Grants,
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._transport = transport
        self._membership = membership
        self._proxy = proxy
        self._grants = grants
        self._busy: set[ShardKey] = set()
        self._closed: set[ShardKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Look again for shards that were assigned away."""
        self._wake.set()

    async def start(self) -> None:
        """Start to follow assignments."""
        self._spawn_task(self._follow())

    async def stop(self) -> None:
        """End moves in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _follow(self) -> None:
        while True:
            self._wake.clear()
            for owner, keys in self._moved_away().items():
                self._busy.update(keys)
                self._spawn_task(self._hand_over(owner, keys))
            await self._write_released()
            try:
                async with asyncio.timeout(_POLL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _moved_away(self) -> dict[Incarnation, set[ShardKey]]:
        """Return shards to hand over by their new, living owner."""
        fleet = self._journal.fleet
        own = self._membership.incarnation
        found: dict[Incarnation, set[ShardKey]] = {}
        if own == NO_MEMBER:
            return found
        for key in shards_in(fleet.unreleased_by(own)):
            owner = fleet.shard(*key).owner
            if key not in self._busy and owner in fleet.members:
                found.setdefault(owner, set()).add(key)
        return found

    async def _hand_over(self, owner: Incarnation, keys: set[ShardKey]) -> None:
        try:
            is_told = await self._close_and_tell(owner, keys)
        except BaseException:
            self._busy -= keys
            raise
        if is_told:
            # Stays busy until the release is in the log.
            self._closed |= keys
        else:
            self._busy -= keys
        self._wake.set()

    async def _close_and_tell(
        self, owner: Incarnation, keys: set[ShardKey]
    ) -> bool:
        own = self._membership.incarnation
        ranges = ranges_of(keys)
        _log.info('closing {} for {}', ranges, owner)
        longest_s = max(
            longest_timeout_s(self._journal.fleet.config, each.service)
            for each in ranges
        )
        await self._grants.await_release(frozenset(shard for _, shard in keys))
        entries = await self._proxy.close_shards(
            ranges,
            deadline_s=self._clock.now_s() + longest_s + _CLOSE_MARGIN_S,
        )
        await self._grants.revoke()
        handovers = self._grants.handovers(ranges)
        give_up_s = self._clock.now_s() + _TELL_S
        while self._is_named(own, owner, keys):
            release = Release(
                own,
                ranges,
                self._journal.fleet.applied_offset,
                entries,
                handovers,
            )
            if await self._tell(owner, release):
                return True
            if self._clock.now_s() > give_up_s:
                _log.warning('release of {} not answered', ranges)
                return True
        return False

    def _is_named(
        self, own: Incarnation, owner: Incarnation, keys: set[ShardKey]
    ) -> bool:
        """Return whether the log still names one new owner for all."""
        fleet = self._journal.fleet
        return (
            own == self._membership.incarnation
            and owner in fleet.members
            and all(fleet.shard(*key).owner == owner for key in keys)
        )

    async def _tell(self, owner: Incarnation, release: Release) -> bool:
        member = self._journal.fleet.members[owner]
        deadline_s = self._clock.now_s() + _CALL_S
        answer = await self._transport.call(
            member.address, release, deadline_s=deadline_s
        )
        if not is_successful(answer):
            await self._clock.sleep_until(deadline_s)
        return is_successful(answer)

    async def _write_released(self) -> None:
        """Put what is closed into the log, in one record."""
        if not self._closed:
            return
        await asyncio.sleep(_BATCH_S)
        keys = self._closed
        self._closed = set()
        fleet = self._journal.fleet
        own = self._membership.incarnation
        # A shard that came back to this node is not released.
        stopped = [key for key in keys if fleet.shard(*key).owner != own]
        record = Released(own, ranges_of(stopped), fleet.applied_offset)
        if stopped and own != NO_MEMBER:
            self._spawn_task(self._write(record, keys))
        else:
            self._busy -= keys

    async def _write(self, record: Released, keys: set[ShardKey]) -> None:
        timeout_s = self._membership.timing.append_timeout_s
        outcome = await self._journal.propose(
            record, deadline_s=self._clock.now_s() + timeout_s
        )
        match outcome:
            case Success(AppliedRecord(verdict=verdict)):
                _log.info('released {}: {}', record.ranges, verdict.value)
                self._busy -= keys
            case _:
                self._closed |= keys
        self._wake.set()

    def _spawn_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
