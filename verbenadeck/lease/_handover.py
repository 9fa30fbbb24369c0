"""Planned moves of shards, on the side of the earlier owner."""

import asyncio
from collections.abc import Coroutine

import msgspec
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Success

from verbenadeck.journal import AppliedRecord, Journal
from verbenadeck.lease._fence_rules import max_request_timeout_s
from verbenadeck.lease._grants_interface import Grants
from verbenadeck.lease._messages import Release
from verbenadeck.lease._ranges import ShardKey, ranges_of, shards_in
from verbenadeck.lease._view import ProxyHandover
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Incarnation, Offset
from verbenadeck.peers import PeerTransport
from verbenadeck.records import Released
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_ASSIGNMENT_POLL_S = 0.5
_RELEASE_BATCH_S = 0.02
_RELEASE_CALL_TIMEOUT_S = 0.5
_RELEASE_RETRY_S = 2.0
_CLOSE_MARGIN_S = 1.0


class _Closure(msgspec.Struct, frozen=True):
    """State of this node when its upstream had given up some shards.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of this node.
    as_of_offset : Offset
        Log offset up to which it had applied: a later assignment to this
        node is not released.
    """

    incarnation: Incarnation
    as_of_offset: Offset


class Handover:
    """Handover of shards that were assigned to another member.

    Closes the shards, sends the release with the entries of the request
    ledger to the new owner, and records the release in the log for all
    other members.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    journal : Journal
        Log client.
    transport : PeerTransport
        Transport to other nodes.
    membership : Membership
        Membership and lease of this node.
    proxy : ProxyHandover
        Proxy that closes the shards.
    grants : Grants
        Grants of the upstream, revoked before a release.
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
        self._in_progress: set[ShardKey] = set()
        self._closed: dict[ShardKey, _Closure] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Check for reassigned shards now instead of at the next poll."""
        self._wake.set()

    async def start(self) -> None:
        """Start to hand over reassigned shards."""
        self._spawn_task(self._run())

    async def stop(self) -> None:
        """Cancel handovers in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            for owner, keys in self._find_reassigned_shards().items():
                self._in_progress.update(keys)
                self._spawn_task(self._hand_over(owner, keys))
            await self._record_released()
            try:
                async with asyncio.timeout(_ASSIGNMENT_POLL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _find_reassigned_shards(self) -> dict[Incarnation, set[ShardKey]]:
        """Return the shards to hand over, grouped by their new owner.

        Shards whose new owner is no longer a member are left out.
        """
        fleet = self._journal.fleet
        own = self._membership.incarnation
        found: dict[Incarnation, set[ShardKey]] = {}
        if own == NO_MEMBER:
            return found
        for key in shards_in(fleet.unreleased_by(own)):
            owner = fleet.shard(*key).owner
            if key not in self._in_progress and owner in fleet.members:
                found.setdefault(owner, set()).add(key)
        return found

    async def _hand_over(self, owner: Incarnation, keys: set[ShardKey]) -> None:
        try:
            closure = await self._close_and_notify(owner, keys)
        except BaseException:
            self._in_progress -= keys
            raise
        if closure is None:
            self._in_progress -= keys
        else:
            # The keys stay in progress until the log has the release.
            self._closed.update(dict.fromkeys(keys, closure))
        self._wake.set()

    async def _close_and_notify(
        self, owner: Incarnation, keys: set[ShardKey]
    ) -> _Closure | None:
        """Close shards and send their release; None if they moved again."""
        own = self._membership.incarnation
        ranges = ranges_of(keys)
        _log.info(
            'closing shards {}: assigned to incarnation {}', ranges, owner
        )
        max_timeout_s = max(
            max_request_timeout_s(self._journal.fleet.config, each.service)
            for each in ranges
        )
        if not await self._await_release(own, owner, keys):
            return None
        entries = await self._proxy.close_shards(
            ranges,
            deadline_s=self._clock.now_s() + max_timeout_s + _CLOSE_MARGIN_S,
        )
        await self._grants.revoke()
        closure = _Closure(own, self._journal.fleet.applied_offset)
        handovers = self._grants.pop_handovers(ranges)
        retry_until_s = self._clock.now_s() + _RELEASE_RETRY_S
        while self._is_still_assigned(own, owner, keys):
            release = Release(
                own, ranges, closure.as_of_offset, entries, handovers
            )
            if await self._send_release(owner, release):
                return closure
            if self._clock.now_s() > retry_until_s:
                _log.warning(
                    'new owner did not acknowledge the release of shards {}; '
                    'recording it in the log only',
                    ranges,
                )
                return closure
        return None

    async def _await_release(
        self, own: Incarnation, owner: Incarnation, keys: set[ShardKey]
    ) -> bool:
        """Wait until no shard is granted; return False if one moves elsewhere.

        One that has come back to this node may be granted for long.
        """
        release = asyncio.ensure_future(
            self._grants.await_release(frozenset(shard for _, shard in keys))
        )
        try:
            while not release.done():
                if not self._is_still_assigned(own, owner, keys):
                    return False
                await asyncio.wait((release,), timeout=_ASSIGNMENT_POLL_S)
            await release
        finally:
            release.cancel()
        return self._is_still_assigned(own, owner, keys)

    def _is_still_assigned(
        self, own: Incarnation, owner: Incarnation, keys: set[ShardKey]
    ) -> bool:
        """Return whether all keys are still assigned to the new owner."""
        fleet = self._journal.fleet
        return (
            own == self._membership.incarnation
            and owner in fleet.members
            and all(fleet.shard(*key).owner == owner for key in keys)
        )

    async def _send_release(self, owner: Incarnation, release: Release) -> bool:
        member = self._journal.fleet.members[owner]
        deadline_s = self._clock.now_s() + _RELEASE_CALL_TIMEOUT_S
        answer = await self._transport.call(
            member.address, release, deadline_s=deadline_s
        )
        if not is_successful(answer):
            await self._clock.sleep_until(deadline_s)
        return is_successful(answer)

    async def _record_released(self) -> None:
        """Append the release of all closed shards as one record."""
        if not self._closed:
            return
        await asyncio.sleep(_RELEASE_BATCH_S)
        closed = self._closed
        self._closed = {}
        fleet = self._journal.fleet
        own = self._membership.incarnation
        # A shard that was assigned back to this node is not released.
        released = {
            key: closure
            for key, closure in closed.items()
            if closure.incarnation == own and fleet.shard(*key).owner != own
        }
        self._in_progress -= closed.keys() - released.keys()
        if released:
            # Shards that were assigned after the earliest closure stay
            # unreleased and are closed again.
            as_of_offset = min(each.as_of_offset for each in released.values())
            record = Released(own, ranges_of(released), as_of_offset)
            self._spawn_task(self._append_released(record, released))

    async def _append_released(
        self, record: Released, closures: dict[ShardKey, _Closure]
    ) -> None:
        timeout_s = self._membership.timing.append_timeout_s
        outcome = await self._journal.propose(
            record, deadline_s=self._clock.now_s() + timeout_s
        )
        match outcome:
            case Success(AppliedRecord(verdict=verdict)):
                _log.info(
                    'release of shards {} recorded in the log: {}',
                    record.ranges,
                    verdict.value,
                )
                self._in_progress -= closures.keys()
            case _:
                self._closed.update(closures)
        self._wake.set()

    def _spawn_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
