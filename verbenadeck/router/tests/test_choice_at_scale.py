"""Load: many entries, each of which sends about one request a second.

An entry learns little of one proxy from its own requests then. The choice
must still find free slots, in the zone of the caller where there are any.
"""

import itertools
import random
import statistics
from collections.abc import Callable

import pytest

from verbenadeck.peers import Message, PeerAddress
from verbenadeck.proxy import LimitOptions, LoadQuery, fixed_limit
from verbenadeck.proxy.tests.builders import Node, ProxyFleet
from verbenadeck.proxy.tests.fakes import (
    KEYED,
    SERVICE,
    FakeUpstream,
    make_config,
    make_policy,
)
from verbenadeck.router import ProxyRouter
from verbenadeck.router.tests.builders import (
    Callers,
    make_router,
    three_zones,
)
from verbenadeck.testing import run_virtual

_ZONES = ('suva', 'nadi', 'lautoka', 'ba', 'sigatoka')
_UPSTREAMS = 20
_ENTRIES = 80
_SLOTS = 6
_SERVICE_S = 0.9
_WARM_UP_S = 5
_MEASURED_S = 20
_MIN_LOCAL_SHARE = 0.75
_FAST_RATIO = 1.5
_CALM_RATE_PER_S = 30
_MAX_QUERY_SHARE = 0.1
_LIMITS = LimitOptions(algorithm=fixed_limit)


async def _make_fleet(
    speeds: tuple[float, ...],
) -> tuple[ProxyFleet, list[Node], list[ProxyRouter]]:
    """Make upstreams of one service, and entries beside another service."""
    fleet = ProxyFleet()
    fleet.fleet.config = make_config(
        services={SERVICE: make_policy(hedge_ratio=0)}
    )
    zones = itertools.cycle(_ZONES)
    upstreams = [
        await fleet.add(
            FakeUpstream(slots=_SLOTS, service_time_s=_SERVICE_S / speed),
            zone=next(zones),
            limits=_LIMITS,
        )
        for speed in itertools.islice(itertools.cycle(speeds), _UPSTREAMS)
    ]
    entries = [
        await fleet.add(FakeUpstream(service=KEYED), zone=next(zones))
        for _ in range(_ENTRIES)
    ]
    return fleet, upstreams, [make_router(fleet, node) for node in entries]


def _make_jitter(
    mean_s: float, source: random.Random
) -> Callable[[random.Random], float]:
    return lambda _random: mean_s * source.uniform(0.5, 1.5)


async def _measure(
    use: float, speeds: tuple[float, ...] = (1,)
) -> tuple[list[float], list[int], float]:
    """Return latencies, runs by upstream and the share of the same zone."""
    _, upstreams, routers = await _make_fleet(speeds)
    mean_speed = sum(speeds) / len(speeds)
    capacity_per_s = _UPSTREAMS * _SLOTS / _SERVICE_S * mean_speed
    callers = Callers(routers, rate_per_s=use * capacity_per_s, seed=3)
    source = random.Random(7)
    for node in upstreams:
        node.upstream.draw_s = _make_jitter(
            node.upstream.service_time_s, source
        )
    await callers.run(_WARM_UP_S)
    callers.results.clear()
    for node in upstreams:
        node.upstream.runs.clear()
    await callers.run(_MEASURED_S)
    latencies_s = sorted(result[-1] for result in callers.results)
    runs = [sum(node.upstream.runs.values()) for node in upstreams]
    local = sum(
        proxy.last_attempt_number
        for router in routers
        for proxy in router._proxy_directory.available_proxies(SERVICE)
        if proxy.is_same_zone
    )
    total = sum(
        proxy.last_attempt_number
        for router in routers
        for proxy in router._proxy_directory.available_proxies(SERVICE)
    )
    return latencies_s, runs, local / total


@pytest.mark.parametrize('use', [0.4, 0.7])
def test_requests_wait_for_no_slot_while_some_are_free(use: float) -> None:
    async def scenario() -> None:
        latencies_s, _, _ = await _measure(use)
        mean_s = sum(latencies_s) / len(latencies_s)
        p99_s = latencies_s[int(0.99 * len(latencies_s))]
        assert mean_s <= 1.05 * _SERVICE_S
        assert p99_s <= 1.7 * _SERVICE_S

    run_virtual(scenario())


def test_requests_stay_in_their_zone_while_it_is_not_slower() -> None:
    async def scenario() -> None:
        _, _, local_share = await _measure(0.5)
        assert local_share >= _MIN_LOCAL_SHARE

    run_virtual(scenario())


def test_uneven_speeds_get_requests_in_proportion() -> None:
    async def scenario() -> None:
        speeds = (0.7, 0.7, 1.6)
        latencies_s, runs, _ = await _measure(0.7, speeds)
        fast, slow = runs[2::3], runs[::3]
        ratio = statistics.mean(fast) / statistics.mean(slow)
        assert ratio >= _FAST_RATIO
        mean_s = sum(latencies_s) / len(latencies_s)
        assert mean_s <= 1.15 * _SERVICE_S

    run_virtual(scenario())


def test_proxy_that_was_just_started_is_not_overrun() -> None:
    """Its service time is a guess, which is far below that of the others."""

    async def scenario() -> None:
        fleet, upstreams, routers = await _make_fleet((1,))
        capacity_per_s = _UPSTREAMS * _SLOTS / _SERVICE_S
        callers = Callers(routers, rate_per_s=0.8 * capacity_per_s)
        await callers.run(_WARM_UP_S)
        late = await fleet.add(
            FakeUpstream(slots=_SLOTS, service_time_s=_SERVICE_S),
            zone='suva',
            limits=_LIMITS,
        )
        await callers.run(_SERVICE_S)
        assert 0 < sum(late.upstream.runs.values()) <= 2 * _SLOTS

    run_virtual(scenario())


def test_entry_with_many_requests_asks_only_when_slots_get_scarce() -> None:
    """Callers of short requests would notice the round trip of a query."""

    async def scenario() -> None:
        fleet, routers = await three_zones(lambda: FakeUpstream(slots=_SLOTS))
        queries: set[int] = set()
        entry = fleet.nodes[0]
        send = entry.transport.send_datagram

        def record(peer: PeerAddress, message: Message) -> None:
            if isinstance(message, LoadQuery):
                queries.add(message.number)
            send(peer, message)

        entry.transport.send_datagram = record  # type: ignore[method-assign]
        callers = Callers(routers[:1], rate_per_s=_CALM_RATE_PER_S)
        await callers.run(_WARM_UP_S)
        queries.clear()
        callers.results.clear()
        await callers.run(_MEASURED_S)
        assert len(queries) <= _MAX_QUERY_SHARE * len(callers.results)

    run_virtual(scenario())
