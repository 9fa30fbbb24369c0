"""Ownership of this node: permits, grants and planned moves."""

import asyncio
import math

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import UpstreamAdapter
from verbenadeck.journal import Journal
from verbenadeck.lease._fence_rules import checks_fences
from verbenadeck.lease._grants import PushedGrants
from verbenadeck.lease._grants_interface import GrantsFactory
from verbenadeck.lease._handover import Handover
from verbenadeck.lease._messages import Release, ReleaseAck
from verbenadeck.lease._owned_shards import (
    OwnedShard,
    OwnedShardState,
    OwnedShardTable,
    ReleaseNote,
)
from verbenadeck.lease._view import Permit, ProxyHandover
from verbenadeck.membership import Membership
from verbenadeck.model import (
    Fence,
    Offset,
    Outcome,
    Refusal,
    RefusalReason,
    ServiceName,
    Shard,
)
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.records import Assign, Record, Verdict
from verbenadeck.utils import Clock

_log = logger.bind(part='lease')
_UNFENCED_MARGIN_S = 0.1
_RETRY_S = 0.05
_APPLY_WAIT_S = 1.0


class Ownership:
    """Says what this node may serve; implements `OwnershipView`.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    journal : Journal
        Log client.
    transport : PeerTransport
        Peer port.
    membership : Membership
        Membership and lease of this node.
    upstream : UpstreamAdapter
        Upstream that gets the grants.
    service : ServiceName
        Service of that upstream.
    proxy : ProxyHandover
        Door that closes and opens shards.
    make_grants : GrantsFactory
        Makes the keeper of the upstream's grants.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        journal: Journal,
        transport: PeerTransport,
        membership: Membership,
        upstream: UpstreamAdapter,
        service: ServiceName,
        proxy: ProxyHandover,
        make_grants: GrantsFactory = PushedGrants,
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._membership = membership
        self._service = service
        self._proxy = proxy
        self._is_stopping = False
        self._is_behind = True
        self._changed = asyncio.Event()
        self._opened = asyncio.Event()
        self._table = OwnedShardTable(clock=clock, fleet=journal.fleet)
        self._grants = make_grants(
            clock=clock,
            upstream=upstream,
            service=self._own_service,
            servable_fences=self._servable_fences,
            lease_deadline_s=lambda: membership.lease_deadline_s,
        )
        self._grants.on_change = self._changed.set
        self._handover = Handover(
            clock=clock,
            journal=journal,
            transport=transport,
            membership=membership,
            proxy=proxy,
            grants=self._grants,
        )
        self._task: asyncio.Task[None] | None = None
        transport.register_handler(Release, self._on_release)
        journal.fleet.subscribe(self._on_applied)

    @property
    def lease_deadline_s(self) -> float:
        """End of the node's lease; in the past when it has none."""
        return self._membership.lease_deadline_s

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        """Return whether this node may serve a shard now."""
        view = self._journal.fleet.shard(service, shard)
        own = self._membership.incarnation
        if view.owner != own and own in view.earlier_owners:
            return self._permit_until_release(shard)
        if view.owner != own or self._is_stopping:
            return _refused(RefusalReason.NOT_OWNER)
        lease_s = self._membership.lease_deadline_s
        if lease_s <= self._clock.now_s():
            return _refused(RefusalReason.NO_LEASE)
        owned_shard = self._table.get((service, shard))
        if owned_shard is None or owned_shard.fence != view.fence:
            return _refused(RefusalReason.MOVING)
        deadline_s = min(
            lease_s, self._owned_shard_deadline_s(service, shard, owned_shard)
        )
        if deadline_s <= self._clock.now_s():
            return _refused(RefusalReason.MOVING)
        return Success(Permit(owned_shard.fence, deadline_s))

    def _permit_until_release(self, shard: Shard) -> Result[Permit, Refusal]:
        """Return a permit for a shard that moves away but is granted still.

        The next owner can't serve it before this node has released it, so
        there is no gain in refusing it any sooner.
        """
        fence = self._grants.granted_fence(shard)
        if fence is None or not self._membership.is_leased:
            return _refused(RefusalReason.NOT_OWNER)
        deadline_s = min(
            self._membership.lease_deadline_s,
            self._grants.deadline_s(shard, fence),
        )
        return Success(Permit(fence, deadline_s))

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        """Wait during a move towards this node, then answer as `permit`."""
        while True:
            found = self.permit(service, shard)
            is_moving = found == _refused(RefusalReason.MOVING)
            if not is_moving or self._clock.now_s() >= deadline_s:
                return found
            opened = self._opened
            try:
                async with asyncio.timeout(self._clock.remaining_s(deadline_s)):
                    await opened.wait()
            except TimeoutError:
                return self.permit(service, shard)

    async def start(self) -> None:
        """Start to follow the log and to renew grants."""
        await self._handover.start()
        self._task = asyncio.ensure_future(self._follow())

    async def stop(self) -> None:
        """Serve nothing more and take back the upstream's grant."""
        self._is_stopping = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._handover.stop()
        await self._grants.revoke()

    def _owned_shard_deadline_s(
        self, service: ServiceName, shard: Shard, owned_shard: OwnedShard
    ) -> float:
        if owned_shard.state is OwnedShardState.WAITING:
            return -math.inf
        if checks_fences(self._journal.fleet.config, service):
            return self._grants.deadline_s(shard, owned_shard.fence)
        if self._clock.now_s() < owned_shard.not_before_s:
            return -math.inf
        return self._membership.lease_deadline_s - _UNFENCED_MARGIN_S

    def _own_service(self) -> tuple[ServiceName, int]:
        return self._service, self._journal.fleet.shard_count(self._service)

    def _servable_fences(self) -> dict[Shard, Fence]:
        if self._is_stopping:
            return {}
        self._refresh()
        return self._table.open_fences

    def _refresh(self) -> None:
        """Follow the log up to now and open what has settled."""
        if not self._is_behind:
            return
        self._is_behind = False
        for settled in self._table.refresh(self._membership.incarnation):
            is_known = settled.entries is not None
            _log.info('opened {}, ledger {}', settled.ranges, is_known)
            self._proxy.open_shards(settled.ranges, settled.entries)

    def _on_applied(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        own = self._membership.incarnation
        if isinstance(record, Assign):
            for move in record.moves:
                if move.new_owner == own:
                    self._table.note_move(own, offset, move)
        self._handover.wake()
        self._note_change()

    def _note_change(self) -> None:
        self._is_behind = True
        self._changed.set()

    async def _on_release(
        self, _source: PeerAddress, release: Release
    ) -> ReleaseAck | None:
        deadline_s = self._clock.now_s() + _APPLY_WAIT_S
        is_applied = await self._journal.wait_applied(
            release.as_of_offset, deadline_s=deadline_s
        )
        if not is_applied:
            return None
        self._grants.add_handovers(release.handovers)
        note = ReleaseNote(release.as_of_offset, release.ledger_entries)
        self._table.note_release(release.member, release.ranges, note)
        self._note_change()
        return ReleaseAck(release.as_of_offset)

    async def _follow(self) -> None:
        """Open shards that are settled and renew the grant."""
        beat_s = self._membership.timing.heartbeat_interval_s
        while True:
            self._changed.clear()
            self._refresh()
            is_fenced = checks_fences(self._journal.fleet.config, self._service)
            is_granted = not is_fenced or await self._grants.push()
            self._wake_waiters()
            wait_s = beat_s if is_granted else _RETRY_S
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _wake_waiters(self) -> None:
        opened = self._opened
        self._opened = asyncio.Event()
        opened.set()


def _refused(reason: RefusalReason) -> Failure[Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason))
