"""Builders of routers and callers for tests."""

import asyncio
import random
from collections.abc import Callable

from verbenadeck.model import AnswerResult, Request
from verbenadeck.proxy.tests.builders import Node, ProxyFleet, make_request
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.router import ChooseProxy, ProxyRouter, choose_by_expected_wait


def make_router(
    proxy_fleet: ProxyFleet,
    node: Node,
    *,
    choose: ChooseProxy = choose_by_expected_wait,
    reserves_transfers: bool = False,
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
    )


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
