"""Fakes of the proxy's dependencies, for tests of proxies and routers."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    WARMED_UP,
    Announcement,
    ColdStartState,
    Grant,
    LoadReport,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.fleet import (
    AppliedListener,
    Member,
    MemberState,
    ShardView,
)
from verbenadeck.lease import Permit
from verbenadeck.model import (
    NO_MEMBER,
    Answer,
    ConfigDocument,
    ConfigVersion,
    Fence,
    Incarnation,
    Offset,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
    ServicePolicy,
    Shard,
)
from verbenadeck.peers import Message, PeerAddress, PeerError, PeerFailure
from verbenadeck.records import (
    Assign,
    NodeJoin,
    Record,
    ReleasedRange,
    ShardMove,
    Suspect,
    Verdict,
    Vote,
)
from verbenadeck.testing import FakeNetwork, FakeTransport
from verbenadeck.utils import Clock

SERVICE = ServiceName('holds')
KEYED = ServiceName('catalogue')
SHARDS = 16
_CUT_LINK_DETECTION_S = 0.05


def make_policy(**changes: object) -> ServicePolicy:
    """Return a service policy with some fields changed."""
    base = ServicePolicy(shard_count=SHARDS)
    return msgspec.structs.replace(base, **changes)


def make_config(**changes: object) -> ConfigDocument:
    """Return a configuration of two services with some fields changed."""
    services = {
        SERVICE: make_policy(),
        KEYED: make_policy(is_keyed=True),
    }
    base = ConfigDocument(services=services)
    return msgspec.structs.replace(base, **changes)


class FakeUpstream:
    """Upstream that counts its runs and fails on demand.

    Parameters
    ----------
    slots : int
        Slots that it announces.
    service : ServiceName
        Service that it announces.
    service_time_s : float
        Time that a request takes, in seconds.
    seed : int
        Seed for `draw_s`.

    Attributes
    ----------
    bearable : int
        Requests that it can bear; it reports this number by default.
    draw_s : callable or None
        Draws the service time of a request, in seconds.
    is_silent : bool
        Whether requests get no answer.
    raises : bool
        Whether sending raises an exception.
    sheds_above : int or None
        Number of running requests from which on it sheds.
    sheds_with_hint : bool
        Whether it states `bearable` when it sheds.
    poison : set of bytes
        Bodies of requests that crash it.
    over_bearable : int
        Number of requests that began while more than `bearable` ran.
    restart_count : int
        Number of restarts, which is part of the instance's name.
    """

    def __init__(
        self,
        *,
        slots: int = 4,
        service: ServiceName = SERVICE,
        service_time_s: float = 0.05,
        seed: int = 1,
    ) -> None:
        self.service = service
        self.slots = slots
        self.bearable = slots
        self.service_time_s = service_time_s
        self.draw_s: Callable[[random.Random], float] | None = None
        self.random = random.Random(seed)
        self.reported_bearable: Callable[[], int] = lambda: self.bearable
        self.is_silent = False
        self.raises = False
        self.sheds_above: int | None = None
        self.sheds_with_hint = True
        self.is_connected = True
        self.poison: set[bytes] = set()
        self.runs: Counter[str] = Counter()
        self.upstream_requests: list[UpstreamRequest] = []
        self.cancelled: list[RequestId] = []
        self.running = 0
        self.max_running = 0
        self.max_running_while_shedding = 0
        self.over_bearable = 0
        self.sheds = 0
        self.restart_count = 0
        self.is_drained = False
        self.cold_start = WARMED_UP
        self.report_listeners: list[Callable[[LoadReport], None]] = []
        self._listeners: list[Callable[[Announcement], None]] = []
        self._crash: asyncio.Event = asyncio.Event()

    @property
    def instance(self) -> str:
        return f'life-{self.restart_count}'

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        self._listeners.append(listener)

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        self.report_listeners.append(listener)

    def turn_cold(self, cold_start: ColdStartState) -> None:
        """Become cold again, and report it at once."""
        self.cold_start = cold_start
        for listener in self.report_listeners:
            listener(self._make_report())

    def announce(self) -> None:
        """Announce this instance to the proxy."""
        announcement = Announcement(
            self.service,
            self.instance,
            '127.0.0.1',
            1,
            self.slots,
            100,
            self.bearable,
        )
        for listener in self._listeners:
            listener(announcement)

    def crash(self, *, bearable: int | None = None) -> None:
        """End all running requests without an answer and start a new instance."""
        self._crash.set()
        self._crash = asyncio.Event()
        self.restart_count += 1
        self.running = 0
        if bearable is not None:
            self.bearable = bearable

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        if self.raises:
            raise RuntimeError('broken invariant')
        if not self.is_connected:
            return Failure(
                UpstreamError(UpstreamFailure.NOT_SENT, 'not connected')
            )
        if self._is_shedding():
            self.sheds += 1
            hint = self.bearable if self.sheds_with_hint else None
            return Failure(
                UpstreamError(UpstreamFailure.SHED, 'shed', 0.1, hint)
            )
        self.upstream_requests.append(upstream_request)
        self.runs[upstream_request.request.request_id] += 1
        if upstream_request.request.body in self.poison:
            self.crash()
            asyncio.get_running_loop().call_later(0.1, self.announce)
            return Failure(UpstreamError(UpstreamFailure.BROKEN, 'crashed'))
        return await self._serve(upstream_request)

    async def cancel(self, request_id: RequestId) -> None:
        self.cancelled.append(request_id)

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        return Success(None)

    async def drain(self) -> Result[None, UpstreamError]:
        self.is_drained = True
        return Success(None)

    async def report(self) -> Result[LoadReport, UpstreamError]:
        return Success(self._make_report())

    def _make_report(self) -> LoadReport:
        return LoadReport(
            True,
            self.running,
            self.reported_bearable(),
            self.instance,
            self.cold_start,
        )

    async def close(self) -> None:
        """Do nothing."""

    def _is_shedding(self) -> bool:
        return self.sheds_above is not None and self.running >= self.sheds_above

    async def _serve(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        restart_count, crash = self.restart_count, self._crash
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.over_bearable += self.running > self.bearable
        if self.sheds_above is not None:
            self.max_running_while_shedding = max(
                self.max_running_while_shedding, self.running
            )
        try:
            async with asyncio.timeout(self._time_s()):
                await crash.wait()
            return Failure(UpstreamError(UpstreamFailure.BROKEN, 'crashed'))
        except TimeoutError:
            body = str(upstream_request.request.request_id).encode()
            return Success(Answer(200, (), body))
        finally:
            if restart_count == self.restart_count:
                self.running -= 1

    def _time_s(self) -> float:
        if self.is_silent:
            return math.inf
        if self.draw_s is not None:
            return self.draw_s(self.random)
        return self.service_time_s


class FakeFleet:
    """Fleet state that a test sets directly, without a log."""

    def __init__(self) -> None:
        self.applied_offset = Offset(0)
        self.members: dict[Incarnation, Member] = {}
        self.config = make_config()
        self.config_version = ConfigVersion(1)
        self.config_author = 'operator'
        self.assigned: dict[tuple[ServiceName, int], Incarnation] = {}
        self.evicted: set[Incarnation] = set()
        self.listeners: list[AppliedListener] = []

    def state_of(self, incarnation: Incarnation) -> MemberState | None:
        if incarnation in self.evicted:
            return MemberState.EVICTED
        member = self.members.get(incarnation)
        return None if member is None else member.state

    def member(self, incarnation: Incarnation) -> Member | None:
        return self.members.get(incarnation)

    def owners(self, service: ServiceName) -> Sequence[int]:
        return [
            self.shard(service, Shard(shard)).owner for shard in range(SHARDS)
        ]

    def fences(self, service: ServiceName) -> Sequence[int]:
        return tuple(7 for _ in range(SHARDS))

    def unreleased_shards(self, service: ServiceName) -> Collection[int]:
        return ()

    def shard_count(self, service: ServiceName) -> int:
        policy = self.config.services.get(service)
        return 0 if policy is None else policy.shard_count

    def shard(self, service: ServiceName, shard: Shard) -> ShardView:
        owner = self.assigned.get((service, shard), NO_MEMBER)
        return ShardView(owner, Fence(7), ())

    def owned_by(self, incarnation: Incarnation) -> Iterator[ReleasedRange]:
        for (service, shard), owner in self.assigned.items():
            if owner == incarnation:
                yield ReleasedRange(service, shard, shard + 1)

    def unreleased_by(
        self, incarnation: Incarnation
    ) -> Iterator[ReleasedRange]:
        return iter(())

    def subscribe(self, listener: AppliedListener) -> None:
        self.listeners.append(listener)

    def join(self, member: Member) -> None:
        self.members[member.incarnation] = member
        record = NodeJoin(
            member.node_id,
            member.zone,
            member.region,
            member.service,
            member.slots,
            member.address.host,
            member.address.port,
            0,
        )
        self._notify_listeners(Offset(member.incarnation), record)

    def evict(self, incarnation: Incarnation) -> None:
        member = self.members.pop(incarnation)
        self.evicted.add(incarnation)
        vote = Vote(incarnation, member.epoch, NO_MEMBER)
        self._notify_listeners(Offset(10_000), Suspect((vote,)))

    def publish(self, **changes: object) -> None:
        self.config = msgspec.structs.replace(self.config, **changes)
        self.config_version = ConfigVersion(self.config_version + 1)

    def assign(
        self, service: ServiceName, owner: Incarnation, shards: range
    ) -> None:
        for shard in shards:
            self.assigned[service, shard] = owner
        move = ShardMove(service, shards.start, shards.stop, Fence(7), owner)
        self._notify_listeners(Offset(20_000), Assign((move,)))

    def _notify_listeners(self, offset: Offset, record: Record) -> None:
        for listener in self.listeners:
            listener(offset, record, Verdict.ACCEPTED)


class FakeOwnership:
    """Ownership that follows the fleet, with a lease deadline set by tests."""

    def __init__(self, fleet: FakeFleet, incarnation: Incarnation) -> None:
        self.fleet = fleet
        self.incarnation = incarnation
        self.lease_deadline_s = math.inf
        self.moving: set[int] = set()

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        view = self.fleet.shard(service, shard)
        if view.owner != self.incarnation:
            return _refused(RefusalReason.NOT_OWNER)
        if shard in self.moving:
            return _refused(RefusalReason.MOVING)
        if self.lease_deadline_s <= asyncio.get_running_loop().time():
            return _refused(RefusalReason.NO_LEASE)
        return Success(Permit(view.fence, self.lease_deadline_s))

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        loop = asyncio.get_running_loop()
        while shard in self.moving and loop.time() < deadline_s:
            await asyncio.sleep(0.005)
        return self.permit(service, shard)


def _refused(reason: RefusalReason) -> Result[Permit, Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason))


class KeepaliveTransport(FakeTransport):
    """Fake transport that detects a cut link, as a stream with pings does."""

    def __init__(
        self, network: FakeNetwork, address: PeerAddress, clock: Clock
    ) -> None:
        super().__init__(network, address, clock)
        network.transports[address] = self
        self._links = network

    async def call(
        self, peer: PeerAddress, message: Message, *, deadline_s: float
    ) -> Result[Message, PeerError]:
        """Send a message; fail with `NO_REPLY` while the link is cut."""
        call = asyncio.create_task(
            super().call(peer, message, deadline_s=deadline_s)
        )
        try:
            while not call.done():
                await asyncio.wait((call,), timeout=_CUT_LINK_DETECTION_S)
                if not call.done() and self._is_silent(peer):
                    return Failure(PeerError(PeerFailure.NO_REPLY, 'silent'))
            return call.result()
        finally:
            call.cancel()

    def _is_silent(self, peer: PeerAddress) -> bool:
        transport = self._links.transports.get(peer)
        links = {(self.address, peer), (peer, self.address)}
        is_down = transport is None or not transport.is_up
        return is_down or bool(links & self._links.blocked_links)
