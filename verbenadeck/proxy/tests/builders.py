"""Builders for tests of proxies and routers."""

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
from verbenadeck.proxy import (
    Ledger,
    LimitOptions,
    QueueOptions,
    UpstreamProxy,
)
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
_QUEUE = QueueOptions()
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
    is_new: bool = False,
) -> Request:
    """Build a request; by default it is repeatable unless it is a POST."""
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
        is_new=is_new,
    )


def make_deposit(
    request_id: str | None = None,
    *,
    service: ServiceName = SERVICE,
    key: str | None = None,
    path: str = '/',
    body: bytes = b'deposit',
    timeout_s: float = 5,
    is_new: bool = False,
) -> Request:
    """Build a non-repeatable request, which must not run twice."""
    return make_request(
        request_id=request_id,
        service=service,
        key=key,
        method='POST',
        path=path,
        body=body,
        timeout_s=timeout_s,
        is_new=is_new,
    )


class Node:
    """Proxy of one node with fakes for all its dependencies."""

    def __init__(
        self,
        site: 'ProxyFleet',
        number: int,
        upstream: FakeUpstream,
        *,
        zone: str,
        ledger: Ledger | None = None,
        limits: LimitOptions = _LIMITS,
        queue: QueueOptions = _QUEUE,
        link_bytes_per_s: float | None = None,
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
            queue=queue,
            link_bytes_per_s=link_bytes_per_s,
        )

    def member(self, witnesses: tuple[Incarnation, ...] = ()) -> Member:
        """Return the node as a joined member of the fleet."""
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
    """Proxies of one fleet on a fake network in virtual time."""

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
        queue: QueueOptions = _QUEUE,
        link_bytes_per_s: float | None = None,
        witnesses: tuple[Incarnation, ...] = (),
    ) -> Node:
        """Add a started node whose upstream has announced itself."""
        number = len(self.nodes) + 1
        node = Node(
            self,
            number,
            upstream or FakeUpstream(),
            zone=zone or ZONES[number % len(ZONES)],
            ledger=ledger,
            limits=limits,
            queue=queue,
            link_bytes_per_s=link_bytes_per_s,
        )
        self.nodes.append(node)
        self.fleet.join(node.member(witnesses))
        await node.proxy.start()
        node.upstream.announce()
        return node

    def own_all(self, node: Node) -> None:
        """Assign all shards of the node's service to the node."""
        self.fleet.assign(
            node.upstream.service, node.incarnation, range(SHARDS)
        )

    def set_witnesses(
        self, node: Node, witnesses: tuple[Incarnation, ...]
    ) -> None:
        """Replace the witness set of a node."""
        self.fleet.join(node.member(witnesses))

    def lose(self, node: Node) -> None:
        """Disconnect a node for good and evict it from the fleet."""
        node.transport.is_up = False
        self.fleet.evict(node.incarnation)


def all_shards(service: ServiceName = SERVICE) -> tuple[ReleasedRange, ...]:
    """Return one range with all shards of a service."""
    return (ReleasedRange(service, 0, SHARDS),)


def refusal(result: AnswerResult) -> Refusal:
    """Return the refusal of a result, which must not be an answer."""
    assert isinstance(result, Failure), result
    found: Refusal = result.failure()
    return found


def verdict(result: AnswerResult) -> tuple[Outcome, RefusalReason]:
    """Return the outcome and reason of a result that is a refusal."""
    found = refusal(result)
    return found.outcome, found.reason


async def admit(
    node: Node, request: Request, attempt: str | None = None
) -> AnswerResult:
    """Send a request to the proxy of a node, by default as a new attempt."""
    attempt_id = AttemptId(attempt or f'attempt-{next(_numbers)}')
    return await node.proxy.admit(attempt_id, request)


def answered(request: Request) -> AnswerResult:
    """Return the result in which `FakeUpstream` answers a request."""
    return Success(Answer(200, (), request.request_id.encode()))


def uuid7_at(wall_s: float, number: int = 0) -> str:
    """Return a UUIDv7 created at a wall-clock time, in seconds."""
    bits = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=bits))
