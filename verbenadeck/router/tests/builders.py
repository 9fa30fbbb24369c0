"""Builders of routers and callers for tests."""

import asyncio
import random
from collections.abc import Callable, Sequence

from returns.result import Failure, Result

from verbenadeck.adapters import (
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.model import Answer, AnswerResult, Request
from verbenadeck.proxy import LimitOptions, fixed_limit
from verbenadeck.proxy.tests.builders import Node, ProxyFleet, make_request
from verbenadeck.proxy.tests.fakes import (
    KEYED,
    SERVICE,
    FakeUpstream,
    make_config,
    make_policy,
)
from verbenadeck.router import (
    ChooseProxy,
    ProxyRouter,
    RouterOptions,
    choose_by_expected_wait,
)

_DEFAULT_OPTIONS = RouterOptions()
_IN_ZONE_S = 0.0005
_BETWEEN_ZONES_S = 0.005


def make_router(
    proxy_fleet: ProxyFleet,
    node: Node,
    *,
    choose: ChooseProxy = choose_by_expected_wait,
    reserves_transfers: bool = False,
    options: RouterOptions = _DEFAULT_OPTIONS,
) -> ProxyRouter:
    return ProxyRouter(
        node_id=node.node_id,
        zone=node.zone,
        proxy=node.proxy,
        fleet=proxy_fleet.fleet,
        peers=node.transport,
        clock=proxy_fleet.clock,
        random_source=node.random,
        choose=choose,
        reserves_transfers=reserves_transfers,
        options=options,
    )


class FaultyUpstream(FakeUpstream):
    """Upstream with 3 slots that refuses or loses a random share of the requests.

    Attributes
    ----------
    refused_share : float
        Share of the requests that it refuses at once, with good health.
    lost_share : float
        Share of the requests whose connection breaks after they ran.
    sends : int
        Number of requests that it received.
    """

    def __init__(self, *, service_time_s: float, seed: int) -> None:
        super().__init__(slots=3, service_time_s=service_time_s, seed=seed)
        self.refused_share = 0.0
        self.lost_share = 0.0
        self.sends = 0

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        self.sends += 1
        if self.random.random() < self.refused_share:
            return Failure(UpstreamError(UpstreamFailure.SHED, 'refused'))
        result = await super().send(upstream_request)
        if self.random.random() < self.lost_share:
            return Failure(UpstreamError(UpstreamFailure.BROKEN, 'lost'))
        return result


async def few_slots_fleet(
    zones: Sequence[str],
    options: RouterOptions,
    *,
    entries: int = 24,
    service_time_s: float = 0.1,
) -> tuple[list[FaultyUpstream], list[ProxyRouter]]:
    """Make upstreams with 3 slots in the given zones, and entries elsewhere.

    The entries are beside another service, evenly in the zones in order of
    their names. A message takes longer between zones than within one.
    """
    proxy_fleet = ProxyFleet()
    proxy_fleet.fleet.config = make_config(
        services={
            SERVICE: make_policy(
                hedge_ratio=0, has_ledger_shards=False, has_ledger_copies=False
            )
        }
    )
    upstreams = [
        FaultyUpstream(service_time_s=service_time_s, seed=number)
        for number in range(len(zones))
    ]
    limits = LimitOptions(algorithm=fixed_limit, min_share=0.8)
    for upstream, zone in zip(upstreams, zones, strict=True):
        await proxy_fleet.add(upstream, zone=zone, limits=limits)
    names = sorted(set(zones))
    nodes = [
        await proxy_fleet.add(
            FakeUpstream(service=KEYED), zone=names[number % len(names)]
        )
        for number in range(entries)
    ]
    zone_by_address = {node.address: node.zone for node in proxy_fleet.nodes}
    proxy_fleet.network.delay_s = lambda source, target: (
        _IN_ZONE_S
        if zone_by_address[source] == zone_by_address[target]
        else _BETWEEN_ZONES_S
    )
    return upstreams, [
        make_router(proxy_fleet, node, options=options) for node in nodes
    ]


async def three_zones(
    make: Callable[[], FakeUpstream] = FakeUpstream,
) -> tuple[ProxyFleet, list[ProxyRouter]]:
    """Make one node with its router in each of three zones."""
    proxy_fleet = ProxyFleet()
    for _ in range(3):
        await proxy_fleet.add(make())
    return proxy_fleet, [
        make_router(proxy_fleet, node) for node in proxy_fleet.nodes
    ]


class Callers:
    """Open-loop callers that send to routers drawn at random.

    Attributes
    ----------
    results : list of (float, Request, AnswerResult, float)
        Start time in seconds, request, result and latency in seconds of each
        call.
    """

    def __init__(
        self,
        routers: list[ProxyRouter],
        *,
        rate_per_s: float,
        make: Callable[[], Request] = make_request,
        seed: int = 1,
    ) -> None:
        self.results: list[tuple[float, Request, AnswerResult, float]] = []
        self._routers = routers
        self._rate_per_s = rate_per_s
        self._make = make
        self._random = random.Random(seed)

    async def run(self, duration_s: float) -> None:
        """Send with exponential gaps for a time and wait for all results."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < until_s:
                group.create_task(self._call())
                await asyncio.sleep(self._random.expovariate(self._rate_per_s))

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        request = self._make()
        router = self._routers[self._random.randrange(len(self._routers))]
        result = await router.route(request)
        self.results.append(
            (started_s, request, result, loop.time() - started_s)
        )
