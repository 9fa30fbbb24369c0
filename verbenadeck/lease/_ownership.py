"""Ownership of shards by this node: permits, grants and planned moves."""

import asyncio
import math
import random

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import UpstreamAdapter
from verbenadeck.journal import Journal
from verbenadeck.lease._claim_writer import ClaimWriter
from verbenadeck.lease._fence_rules import checks_fences
from verbenadeck.lease._grants import PushedGrants
from verbenadeck.lease._grants_interface import GrantsFactory
from verbenadeck.lease._handover import Handover
from verbenadeck.lease._messages import Release, ReleaseAck
from verbenadeck.lease._owned_shards import (
    OwnedShard,
    OwnedShardState,
    OwnedShardTable,
    ReceivedRelease,
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
_GRANT_RETRY_S = 0.05
_APPLY_TIMEOUT_S = 1.0


class Ownership:
    """Shards that this node may serve; implements `OwnershipView`.

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
    upstream : UpstreamAdapter
        Upstream that gets the grants.
    service : ServiceName
        Service of that upstream.
    proxy : ProxyHandover
        Proxy that closes and opens shards.
    random_source : random.Random
        Spreads the ends of claims over the nodes.
    make_grants : GrantsFactory
        Creates the grants of the upstream.
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
        random_source: random.Random,
        make_grants: GrantsFactory = PushedGrants,
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._membership = membership
        self._service = service
        self._proxy = proxy
        self._is_stopping = False
        self._is_refresh_due = True
        self._changed = asyncio.Event()
        self._permits_changed = asyncio.Event()
        self._table = OwnedShardTable(clock=clock, fleet=journal.fleet)
        self._grants = make_grants(
            clock=clock,
            upstream=upstream,
            service=self._get_service,
            servable_fences=self._servable_fences,
            lease_deadline_s=lambda: self._claims.grant_deadline_s,
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
        self._claims = ClaimWriter(
            clock=clock,
            random_source=random_source,
            journal=journal,
            membership=membership,
            servable_fences=self._servable_fences,
        )
        self._task: asyncio.Task[None] | None = None
        transport.register_handler(Release, self._on_release)
        journal.fleet.subscribe(self._on_applied)

    @property
    def lease_deadline_s(self) -> float:
        """End of the node's lease on the boot clock, in seconds.

        In the past if the node has no lease.
        """
        return self._membership.lease_deadline_s

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        """Return a permit if this node may serve a shard now.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        shard : Shard
            Shard of the request's key.

        Returns
        -------
        Result of Permit and Refusal
            Refusal reasons are those of `OwnershipView.permit`.
        """
        view = self._journal.fleet.shard(service, shard)
        own = self._membership.incarnation
        if view.owner != own and own in view.earlier_owners:
            return self._permit_until_release(shard)
        if view.owner != own or self._is_stopping:
            return _refuse(RefusalReason.NOT_OWNER)
        lease_deadline_s = self._membership.lease_deadline_s
        if lease_deadline_s <= self._clock.now_s():
            return _refuse(RefusalReason.NO_LEASE)
        owned_shard = self._table.get((service, shard))
        if owned_shard is None or owned_shard.fence != view.fence:
            return _refuse(RefusalReason.MOVING)
        deadline_s = min(
            lease_deadline_s,
            self._owned_shard_deadline_s(service, shard, owned_shard),
        )
        if deadline_s <= self._clock.now_s():
            return _refuse(RefusalReason.MOVING)
        return Success(Permit(owned_shard.fence, deadline_s))

    def _permit_until_release(self, shard: Shard) -> Result[Permit, Refusal]:
        """Return a permit for a shard that moves away but is still granted.

        The next owner can't serve the shard before this node has released
        it, so an earlier refusal would gain nothing.
        """
        fence = self._grants.granted_fence(shard)
        if fence is None or not self._membership.is_leased:
            return _refuse(RefusalReason.NOT_OWNER)
        deadline_s = min(
            self._membership.lease_deadline_s,
            self._grants.deadline_s(shard, fence),
        )
        return Success(Permit(fence, deadline_s))

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        """Wait while a shard moves to this node, then decide as `permit`.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        shard : Shard
            Shard of the request's key.
        deadline_s : float
            End of the wait on the boot clock, in seconds.

        Returns
        -------
        Result of Permit and Refusal
            As from `permit`; the reason is `MOVING` if the wait ended first.
        """
        while True:
            found = self.permit(service, shard)
            is_moving = found == _refuse(RefusalReason.MOVING)
            if not is_moving or self._clock.now_s() >= deadline_s:
                return found
            permits_changed = self._permits_changed
            try:
                async with asyncio.timeout(self._clock.remaining_s(deadline_s)):
                    await permits_changed.wait()
            except TimeoutError:
                return self.permit(service, shard)

    async def start(self) -> None:
        """Start to apply assignments and to renew grants."""
        await self._handover.start()
        await self._claims.start()
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Refuse all further requests and revoke the grants."""
        self._is_stopping = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._handover.stop()
        await self._claims.stop()
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

    def _get_service(self) -> tuple[ServiceName, int]:
        return self._service, self._journal.fleet.shard_count(self._service)

    def _servable_fences(self) -> dict[Shard, Fence]:
        if self._is_stopping:
            return {}
        self._refresh()
        return self._table.open_fences

    def _refresh(self) -> None:
        """Apply changes of the fleet state and open released shards."""
        if not self._is_refresh_due:
            return
        self._is_refresh_due = False
        for openable in self._table.refresh(self._membership.incarnation):
            has_ledger = openable.ledger_entries is not None
            _log.info(
                'serving shards {}; request ledger is complete: {}',
                openable.ranges,
                has_ledger,
            )
            self._proxy.open_shards(openable.ranges, openable.ledger_entries)

    def _on_applied(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if verdict is not Verdict.ACCEPTED:
            return
        own = self._membership.incarnation
        if isinstance(record, Assign):
            for move in record.moves:
                if move.new_owner == own:
                    self._table.add_assignment(own, offset, move)
        self._handover.wake()
        self._mark_changed()

    def _mark_changed(self) -> None:
        self._is_refresh_due = True
        self._changed.set()

    async def _on_release(
        self, _source: PeerAddress, release: Release
    ) -> ReleaseAck | None:
        deadline_s = self._clock.now_s() + _APPLY_TIMEOUT_S
        is_applied = await self._journal.wait_applied(
            release.as_of_offset, deadline_s=deadline_s
        )
        if not is_applied:
            return None
        self._grants.add_handovers(release.handovers)
        received = ReceivedRelease(release.as_of_offset, release.ledger_entries)
        self._table.add_release(release.member, release.ranges, received)
        self._mark_changed()
        return ReleaseAck(release.as_of_offset)

    async def _run(self) -> None:
        """Open released shards and renew the grant until cancelled."""
        grant_interval_s = self._membership.timing.heartbeat_interval_s
        while True:
            self._changed.clear()
            self._refresh()
            is_fenced = checks_fences(self._journal.fleet.config, self._service)
            is_granted = not is_fenced or await self._grants.push()
            self._wake_waiters()
            wait_s = grant_interval_s if is_granted else _GRANT_RETRY_S
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _wake_waiters(self) -> None:
        permits_changed = self._permits_changed
        self._permits_changed = asyncio.Event()
        permits_changed.set()


def _refuse(reason: RefusalReason) -> Failure[Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason))
