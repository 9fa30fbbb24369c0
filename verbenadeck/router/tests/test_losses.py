"""Routing while replies, owners, upstreams or zones are lost."""

import asyncio
from collections.abc import Callable

import pytest
from returns.result import Success

from verbenadeck.model import (
    NO_MEMBER,
    Outcome,
    OutOfService,
    RefusalReason,
    Request,
)
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    all_shards,
    answered,
    make_deposit,
    make_request,
    verdict,
)
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream
from verbenadeck.router.tests.builders import (
    Callers,
    make_router,
    three_zones,
)
from verbenadeck.testing import run_virtual

_MAX_TAKEOVER_WAIT_S = 1.8
_MAX_MOVE_LATENCY_S = 0.3
_MIN_RETURNED_SHARE = 0.15


def _run_count(proxy_fleet: ProxyFleet, request: Request) -> int:
    return sum(
        node.upstream.runs[request.request_id] for node in proxy_fleet.nodes
    )


async def _entry_and_owner(
    service_time_s: float = 0.3,
) -> tuple[ProxyFleet, Node]:
    """Make a node that routes, and one that owns all shards of both services."""
    proxy_fleet = ProxyFleet()
    await proxy_fleet.add(FakeUpstream(service_time_s=service_time_s))
    owner = await proxy_fleet.add(FakeUpstream(service_time_s=service_time_s))
    proxy_fleet.own_all(owner)
    return proxy_fleet, owner


def test_lost_reply_is_requested_again_and_deposit_runs_once() -> None:
    async def scenario() -> None:
        proxy_fleet, owner = await _entry_and_owner()
        entry = proxy_fleet.nodes[0]
        proxy_fleet.network.blocked_links.add((owner.address, entry.address))
        asyncio.get_running_loop().call_later(1.5, proxy_fleet.network.heal)
        deposit = make_deposit('d1')
        router = make_router(proxy_fleet, entry)
        assert await router.route(deposit) == answered(deposit)
        assert _run_count(proxy_fleet, deposit) == 1

    run_virtual(scenario())


def test_refusal_of_a_restarted_owner_does_not_hide_an_earlier_run() -> None:
    """The process that took the deposit is killed; the next one refuses it."""

    async def scenario() -> None:
        proxy_fleet, owner = await _entry_and_owner()
        deposit = make_deposit('d1', is_new=True)
        router = make_router(proxy_fleet, proxy_fleet.nodes[0])
        task = asyncio.create_task(router.route(deposit))
        await asyncio.sleep(0.1)
        assert _run_count(proxy_fleet, deposit) == 1
        owner.transport.is_up = False
        entry = proxy_fleet.nodes[0]
        proxy_fleet.network.blocked_links.add((owner.address, entry.address))
        asyncio.get_running_loop().call_later(0.3, proxy_fleet.network.heal)
        successor = Node(
            proxy_fleet,
            owner.incarnation,
            FakeUpstream(),
            zone=owner.zone,
        )
        successor.incarnation = NO_MEMBER
        successor.ownership.incarnation = NO_MEMBER
        await successor.proxy.start()
        successor.upstream.announce()
        outcome, _ = verdict(await task)
        assert outcome is Outcome.UNKNOWN
        assert not successor.upstream.runs

    run_virtual(scenario())


def test_blocked_replies_until_deadline_give_unknown_outcome() -> None:
    async def scenario() -> None:
        proxy_fleet, owner = await _entry_and_owner()
        entry = proxy_fleet.nodes[0]
        proxy_fleet.network.blocked_links.add((owner.address, entry.address))
        deposit = make_deposit('d1')
        outcome, _ = verdict(
            await make_router(proxy_fleet, entry).route(deposit)
        )
        assert outcome is Outcome.UNKNOWN
        assert _run_count(proxy_fleet, deposit) == 1
        proxy_fleet.network.heal()
        again = make_deposit('d1')
        assert await make_router(proxy_fleet, entry).route(again) == answered(
            again
        )
        assert _run_count(proxy_fleet, deposit) == 1

    run_virtual(scenario())


def test_request_queued_until_deadline_is_refused_as_not_run() -> None:
    """All slots of the owner are taken by requests that do not end."""

    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        await proxy_fleet.add(FakeUpstream(service=KEYED))
        owner = await proxy_fleet.add(
            FakeUpstream(service=KEYED, service_time_s=60)
        )
        proxy_fleet.own_all(owner)
        router = make_router(proxy_fleet, proxy_fleet.nodes[0])
        slots = owner.upstream.slots
        running = [
            asyncio.create_task(
                router.route(make_request(service=KEYED, key='k'))
            )
            for _ in range(slots)
        ]
        await asyncio.sleep(0.1)
        owner.proxy._components.limit.service_time_s = 0.1
        waiting = make_request(service=KEYED, key='k', timeout_s=1)
        assert verdict(await router.route(waiting)) == (
            Outcome.NOT_RUN,
            RefusalReason.DEADLINE,
        )
        await asyncio.gather(*running)

    run_virtual(scenario())


def test_read_is_answered_by_another_proxy_when_upstreams_hang() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones()
        await Callers(routers[:1], rate_per_s=50).run(1)
        for node in proxy_fleet.nodes:
            node.upstream.is_silent = True
        proxy_fleet.nodes[2].upstream.is_silent = False
        result = await routers[0].route(make_request())
        assert isinstance(result, Success)

    run_virtual(scenario())


def test_concurrent_deposits_through_all_entries_run_once() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones()
        proxy_fleet.own_all(proxy_fleet.nodes[2])
        deposit = make_deposit('d1')
        results = await asyncio.gather(
            *(router.route(deposit) for router in routers)
        )
        assert results == [answered(deposit) for _ in routers]
        assert _run_count(proxy_fleet, deposit) == 1

    run_virtual(scenario())


def test_deposit_of_lost_owner_is_unknown_and_runs_once() -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        nodes = [await proxy_fleet.add() for _ in range(3)]
        witnesses = tuple(node.incarnation for node in nodes)
        owner = await proxy_fleet.add(
            FakeUpstream(service_time_s=1), witnesses=witnesses
        )
        proxy_fleet.own_all(owner)
        successor = proxy_fleet.nodes[1]
        proxy_fleet.set_witnesses(successor, witnesses)
        deposit = make_deposit('d1')
        router = make_router(proxy_fleet, proxy_fleet.nodes[0])
        task = asyncio.create_task(router.route(deposit))
        await asyncio.sleep(0.5)
        proxy_fleet.lose(owner)
        await asyncio.sleep(1)
        proxy_fleet.own_all(successor)
        successor.proxy.open_shards(all_shards(), None)
        assert verdict(await task) == (
            Outcome.UNKNOWN,
            RefusalReason.LEDGER_LOST,
        )
        assert _run_count(proxy_fleet, deposit) == 1
        fresh = make_deposit('d2')
        assert await router.route(fresh) == answered(fresh)

    run_virtual(scenario())


@pytest.mark.parametrize('make', [make_request, make_deposit])
def test_request_waits_until_its_shard_gets_an_owner(
    make: Callable[..., Request],
) -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        for _ in range(2):
            await proxy_fleet.add(FakeUpstream(service=KEYED))
        request = make(service=KEYED, key='oven')
        task = asyncio.create_task(
            make_router(proxy_fleet, proxy_fleet.nodes[0]).route(request)
        )
        await asyncio.sleep(1.5)
        proxy_fleet.own_all(proxy_fleet.nodes[1])
        assert await task == answered(request)
        assert proxy_fleet.clock.now_s() < _MAX_TAKEOVER_WAIT_S
        assert _run_count(proxy_fleet, request) == 1

    run_virtual(scenario())


def test_request_without_owner_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        node = await proxy_fleet.add(FakeUpstream(service=KEYED))
        request = make_request(service=KEYED, key='oven', timeout_s=1)
        assert verdict(await make_router(proxy_fleet, node).route(request)) == (
            Outcome.NOT_RUN,
            RefusalReason.NO_OWNER,
        )

    run_virtual(scenario())


def test_planned_move_under_load_runs_each_deposit_exactly_once() -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        for _ in range(2):
            await proxy_fleet.add(FakeUpstream(service=KEYED, slots=20))
        old, new = proxy_fleet.nodes
        proxy_fleet.own_all(old)
        routers = [make_router(proxy_fleet, node) for node in proxy_fleet.nodes]

        def make() -> Request:
            return make_deposit(service=KEYED, key='oven')

        callers = Callers(routers, rate_per_s=100, make=make)

        async def move() -> None:
            await asyncio.sleep(2)
            new.ownership.moving.update(range(16))
            proxy_fleet.own_all(new)
            entries = await old.proxy.close_shards(
                all_shards(KEYED), deadline_s=9
            )
            new.proxy.open_shards(all_shards(KEYED), entries)
            new.ownership.moving.clear()

        await asyncio.gather(callers.run(4), move())
        for _, request, result, latency_s in callers.results:
            assert result == answered(request)
            assert _run_count(proxy_fleet, request) == 1
            assert latency_s < _MAX_MOVE_LATENCY_S
        assert new.upstream.runs

    run_virtual(scenario())


def test_taking_a_zone_out_under_load_refuses_no_caller() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(lambda: FakeUpstream(slots=20))
        gone = proxy_fleet.nodes[1]
        callers = Callers(routers, rate_per_s=100)
        await callers.run(2)
        proxy_fleet.fleet.publish(
            zones_out={gone.zone: OutOfService('fibre work')}
        )
        runs_before = sum(gone.upstream.runs.values())
        await callers.run(5)
        assert sum(gone.upstream.runs.values()) == runs_before
        proxy_fleet.fleet.publish(zones_out={})
        await callers.run(5)
        for node in proxy_fleet.nodes:
            node.upstream.runs.clear()
        await callers.run(5)
        shares = [
            sum(node.upstream.runs.values()) for node in proxy_fleet.nodes
        ]
        assert shares[1] > _MIN_RETURNED_SHARE * sum(shares)
        assert all(
            isinstance(result, Success) for _, _, result, _ in callers.results
        )

    run_virtual(scenario())


def test_draining_upstream_gets_no_requests() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers, rate_per_s=100)
        await callers.run(1)
        leaving = proxy_fleet.nodes[0]
        stopping = asyncio.create_task(leaving.proxy.stop())
        await callers.run(1)
        await stopping
        runs_before = sum(leaving.upstream.runs.values())
        await callers.run(5)
        assert sum(leaving.upstream.runs.values()) == runs_before
        assert all(
            isinstance(result, Success) for _, _, result, _ in callers.results
        )

    run_virtual(scenario())


def test_deposit_with_unknown_outcome_is_not_retried() -> None:
    async def scenario() -> None:
        proxy_fleet, owner = await _entry_and_owner()
        owner.upstream.poison.add(b'deposit')
        deposit = make_deposit('d1')
        router = make_router(proxy_fleet, proxy_fleet.nodes[0])
        assert verdict(await router.route(deposit)) == (
            Outcome.UNKNOWN,
            RefusalReason.UPSTREAM_FAILED,
        )
        assert _run_count(proxy_fleet, deposit) == 1

    run_virtual(scenario())


def test_refused_retry_does_not_hide_an_earlier_run() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones()
        for node in proxy_fleet.nodes:
            node.upstream.poison.add(b'bad')
        request = make_request(body=b'bad')
        outcome, _ = verdict(await routers[0].route(request))
        assert _run_count(proxy_fleet, request) > 0
        assert outcome is Outcome.UNKNOWN

    run_virtual(scenario())


def test_unknown_service_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        proxy_fleet, routers = await three_zones()
        proxy_fleet.fleet.config.services.clear()
        proxy_fleet.fleet.publish()
        assert verdict(await routers[0].route(make_request())) == (
            Outcome.NOT_RUN,
            RefusalReason.UNKNOWN_SERVICE,
        )

    run_virtual(scenario())
