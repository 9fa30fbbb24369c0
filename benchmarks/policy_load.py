"""Small sites under load in virtual time, and what is read off them."""

import asyncio
import io
import math
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from returns.result import Success

from verbenadeck.logs import setup_logs
from verbenadeck.model import Request
from verbenadeck.proxy import LimitAlgorithm, UpstreamProxy, gradient_limit
from verbenadeck.proxy.tests.builders import Node, ProxyFleet, make_request
from verbenadeck.proxy.tests.fakes import SERVICE, FakeUpstream, make_policy
from verbenadeck.router import ChooseProxy, choose_by_expected_wait
from verbenadeck.router.tests.builders import Callers, make_router

SLOTS = 20
BASE_S = 0.03
MEAN_EXTRA_S = 0.02
CAPACITY_PER_S = SLOTS / (BASE_S + MEAN_EXTRA_S)
"""Requests a second that one upstream can answer."""

_MS_PER_S = 1000
_THRASHING = 1.5


def quiet() -> None:
    """Keep log lines out of the measurement."""
    setup_logs(level='WARNING', stream=io.StringIO())


def plain_time_s(source: random.Random) -> float:
    """Draw the service time of a healthy upstream."""
    return BASE_S + source.expovariate(1 / MEAN_EXTRA_S)


class CongestedUpstream(FakeUpstream):
    """Upstream that loses throughput when it runs more than it can."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(slots=SLOTS, seed=seed)
        self.real_slots = SLOTS
        self.draw_s = self._congested_s

    def _congested_s(self, source: random.Random) -> float:
        excess = max(1.0, self.running / self.real_slots)
        return plain_time_s(source) * math.pow(excess, _THRASHING)


class Setup(NamedTuple):
    """What a scenario varies."""

    seed: int
    nodes: int = 3
    choose: ChooseProxy = choose_by_expected_wait
    algorithm: LimitAlgorithm = gradient_limit
    hedge_ratio: float = 0
    hedge_quantile: float = 0.95
    upstream: Callable[[int], FakeUpstream] | None = None


class Bench:
    """A site with a router on each node and open-loop callers."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.nodes: list[Node] = []
        self._site: ProxyFleet | None = None
        self.callers: Callers | None = None

    @property
    def site(self) -> ProxyFleet:
        """The site, once started."""
        if self._site is None:
            raise AssertionError('not started')
        return self._site

    async def start(self, *, load: float, timeout_s: float = 5) -> None:
        """Start nodes; load is a share of the site's capacity."""
        self._site = ProxyFleet(seed=self.setup.seed)
        policy = make_policy(
            hedge_ratio=self.setup.hedge_ratio,
            hedge_quantile=self.setup.hedge_quantile,
        )
        self.site.fleet.config.services[SERVICE] = policy
        for number in range(self.setup.nodes):
            node = await self.site.add(self._upstream(number))
            if self.setup.algorithm is not gradient_limit:
                _set_algorithm(node.proxy, self.setup.algorithm)
        self.nodes = self.site.nodes
        routers = [
            make_router(self.site, node, choose=self.setup.choose)
            for node in self.nodes
        ]

        def make() -> Request:
            return make_request(timeout_s=timeout_s)

        self.callers = Callers(
            routers,
            rate_per_s=load * CAPACITY_PER_S * self.setup.nodes,
            make=make,
            seed=self.setup.seed,
        )

    async def run(self, duration_s: float) -> 'Figures':
        """Offer load for a time and return the figures of that time."""
        callers = self.callers
        if callers is None:
            raise AssertionError('not started')
        callers.results.clear()
        for node in self.nodes:
            node.upstream.runs.clear()
        await callers.run(duration_s)
        return figures(callers, self.nodes, duration_s)

    def _upstream(self, number: int) -> FakeUpstream:
        seed = self.setup.seed * 100 + number
        if self.setup.upstream is not None:
            return self.setup.upstream(seed)
        upstream = FakeUpstream(slots=SLOTS, seed=seed)
        upstream.draw_s = plain_time_s
        return upstream


class Figures(msgspec.Struct):
    """Figures of one run.

    Attributes
    ----------
    offered, goodput : float
        Requests and answers a second.
    p50_ms, p99_ms, p999_ms : float
        Latency of answers.
    extra : float
        Runs per request beyond one.
    imbalance : float
        Runs of the busiest upstream over the mean.
    """

    offered: float
    goodput: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    extra: float
    imbalance: float


def figures(callers: Callers, nodes: list[Node], duration_s: float) -> Figures:
    """Read the figures off callers and upstreams."""
    latencies = sorted(
        latency_s
        for _, _, result, latency_s in callers.results
        if isinstance(result, Success)
    )
    runs = [sum(node.upstream.runs.values()) for node in nodes]
    asked = len(callers.results)
    return Figures(
        offered=round(asked / duration_s, 1),
        goodput=round(len(latencies) / duration_s, 1),
        p50_ms=_quantile_ms(latencies, 0.5),
        p99_ms=_quantile_ms(latencies, 0.99),
        p999_ms=_quantile_ms(latencies, 0.999),
        extra=round(sum(runs) / max(1, asked) - 1, 3),
        imbalance=round(max(runs) * len(runs) / max(1, sum(runs)), 2),
    )


def straggle(node: Node, factor: float) -> None:
    """Make an upstream slower by a factor; its reports show nothing."""

    def slow_s(source: random.Random) -> float:
        return factor * plain_time_s(source)

    node.upstream.draw_s = slow_s


async def sample(
    every_s: float, count: int, look: Callable[[float], None]
) -> None:
    """Call a function at regular moments."""
    loop = asyncio.get_running_loop()
    for _ in range(count):
        await asyncio.sleep(every_s)
        look(loop.time())


def _quantile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[index] * _MS_PER_S, 1)


def _set_algorithm(proxy: UpstreamProxy, algorithm: LimitAlgorithm) -> None:
    proxy._components.limit._algorithm = algorithm
