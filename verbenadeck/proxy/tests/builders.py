"""Builders for tests of doors and routers."""

import asyncio
import itertools
import random
import uuid

from returns.result import Failure, Success

from verbenadeck.fleet import (
    Member,
    MemberState,
)
from verbenadeck.model import (
    Answer,
    AnswerResult,
    AttemptId,
    Epoch,
    Incarnation,
    NodeId,
    Outcome,
    Refusal,
    RefusalReason,
    Region,
    Request,
    RequestId,
    ServiceName,
    Zone,
)
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy import Ledger, LimitOptions, UpstreamProxy
from verbenadeck.proxy.tests.fakes import (
    SERVICE,
    SHARDS,
    FakeFleet,
    FakeOwnership,
    FakeUpstream,
    KeepaliveTransport,
)
from verbenadeck.records import (
    ReleasedRange,
)
from verbenadeck.testing import FakeNetwork, virtual_clock
from verbenadeck.utils import Clock

ZONES = ('suva', 'nadi', 'lautoka')

_LIMITS = LimitOptions()
_numbers = itertools.count(1)


def make_request(
    *,
    request_id: str | None = None,
    service: ServiceName = SERVICE,
    key: str | None = None,
    method: str = 'GET',
    path: str = '/',
    body: bytes = b'',
    is_repeatable: bool | None = None,
    timeout_s: float = 5,
    now_s: float | None = None,
) -> Request:
    if now_s is None:
        now_s = asyncio.get_running_loop().time()
    return Request(
        RequestId(request_id or f'request-{next(_numbers)}'),
        service,
        key,
        method,
        path,
        (),
        body,
        method != 'POST' if is_repeatable is None else is_repeatable,
        now_s + timeout_s,
    )


def make_deposit(
    request_id: str | None = None,
    *,
    service: ServiceName = SERVICE,
    key: str | None = None,
    path: str = '/',
    body: bytes = b'deposit',
    timeout_s: float = 5,
) -> Request:
    return make_request(
        request_id=request_id,
        service=service,
        key=key,
        method='POST',
        path=path,
        body=body,
        timeout_s=timeout_s,
    )


class Node:
    """One door with its fakes."""

    def __init__(
        self,
        site: 'ProxyFleet',
        number: int,
        upstream: FakeUpstream,
        *,
        zone: str,
        ledger: Ledger | None = None,
        limits: LimitOptions = _LIMITS,
    ) -> None:
        self.upstream = upstream
        self.incarnation = Incarnation(number)
        self.node_id = NodeId(f'node-{number}')
        self.zone = Zone(zone)
        self.address = PeerAddress('127.0.0.1', 7000 + number)
        self.transport = KeepaliveTransport(
            site.network, self.address, site.clock
        )
        self.ownership = FakeOwnership(site.fleet, self.incarnation)
        self.random = random.Random(number)
        self.proxy = UpstreamProxy(
            node_id=self.node_id,
            zone=self.zone,
            incarnation=lambda: self.incarnation,
            upstream=upstream,
            ownership=self.ownership,
            fleet=site.fleet,
            peers=self.transport,
            clock=site.clock,
            random_source=self.random,
            ledger=ledger,
            limits=limits,
        )

    def member(self, witnesses: tuple[Incarnation, ...] = ()) -> Member:
        return Member(
            self.incarnation,
            self.node_id,
            self.zone,
            Region('fiji'),
            self.upstream.service,
            self.upstream.slots,
            self.address,
            0,
            self.upstream.instance,
            witnesses,
            Epoch(self.incarnation),
            MemberState.JOINED,
        )


class ProxyFleet:
    """Doors of one service over a fake network in virtual time."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock: Clock = virtual_clock()
        self.network = FakeNetwork(seed=seed)
        self.fleet = FakeFleet()
        self.nodes: list[Node] = []

    async def add(
        self,
        upstream: FakeUpstream | None = None,
        *,
        zone: str | None = None,
        ledger: Ledger | None = None,
        limits: LimitOptions = _LIMITS,
        witnesses: tuple[Incarnation, ...] = (),
    ) -> Node:
        number = len(self.nodes) + 1
        node = Node(
            self,
            number,
            upstream or FakeUpstream(),
            zone=zone or ZONES[number % len(ZONES)],
            ledger=ledger,
            limits=limits,
        )
        self.nodes.append(node)
        self.fleet.join(node.member(witnesses))
        await node.proxy.start()
        node.upstream.announce()
        return node

    def own_all(self, node: Node) -> None:
        """Give all shards of the node's service to it."""
        self.fleet.assign(
            node.upstream.service, node.incarnation, range(SHARDS)
        )

    def set_witnesses(
        self, node: Node, witnesses: tuple[Incarnation, ...]
    ) -> None:
        """Give a node another witness set."""
        self.fleet.join(node.member(witnesses))

    def lose(self, node: Node) -> None:
        """Lose a node for good and let the fleet evict it."""
        node.transport.is_up = False
        self.fleet.evict(node.incarnation)


def all_shards(service: ServiceName = SERVICE) -> tuple[ReleasedRange, ...]:
    return (ReleasedRange(service, 0, SHARDS),)


def refusal(result: AnswerResult) -> Refusal:
    """Return the refusal of a result that must be one."""
    assert isinstance(result, Failure), result
    found: Refusal = result.failure()
    return found


def verdict(result: AnswerResult) -> tuple[Outcome, RefusalReason]:
    found = refusal(result)
    return found.outcome, found.reason


async def admit(
    node: Node, request: Request, attempt: str | None = None
) -> AnswerResult:
    attempt_id = AttemptId(attempt or f'attempt-{next(_numbers)}')
    return await node.proxy.admit(attempt_id, request)


def answered(request: Request) -> AnswerResult:
    """Return the complete answer that a fake upstream gives."""
    return Success(Answer(200, (), request.request_id.encode()))


def uuid7_at(wall_s: float, number: int = 0) -> str:
    """Return a UUIDv7 that carries a time."""
    bits = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=bits))
