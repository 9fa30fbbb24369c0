import asyncio
from collections.abc import Callable

import pytest
from returns.result import Success

from verbenadeck.model import Outcome, OutOfService, RefusalReason, Request
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

_SOON_AFTER_S = 1.8
_MOVE_LATENCY_S = 0.3
_RETURNED_SHARE = 0.15


def _runs(site: ProxyFleet, request: Request) -> int:
    return sum(node.upstream.runs[request.request_id] for node in site.nodes)


async def _entry_and_owner(
    service_time_s: float = 0.3,
) -> tuple[ProxyFleet, Node]:
    """Make an entry, and an owner of all shards of both services."""
    site = ProxyFleet()
    await site.add(FakeUpstream(service_time_s=service_time_s))
    owner = await site.add(FakeUpstream(service_time_s=service_time_s))
    site.own_all(owner)
    return site, owner


def test_a_lost_reply_is_asked_for_again_and_the_deposit_runs_once() -> None:
    async def scenario() -> None:
        site, owner = await _entry_and_owner()
        entry = site.nodes[0]
        site.network.blocked_links.add((owner.address, entry.address))
        asyncio.get_running_loop().call_later(1.5, site.network.heal)
        deposit = make_deposit('d1')
        router = make_router(site, entry)
        assert await router.route(deposit) == answered(deposit)
        assert _runs(site, deposit) == 1

    run_virtual(scenario())


def test_a_connection_that_stays_silent_ends_as_unknown() -> None:
    async def scenario() -> None:
        site, owner = await _entry_and_owner()
        entry = site.nodes[0]
        site.network.blocked_links.add((owner.address, entry.address))
        deposit = make_deposit('d1')
        outcome, _ = verdict(await make_router(site, entry).route(deposit))
        assert outcome is Outcome.UNKNOWN
        assert _runs(site, deposit) == 1
        site.network.heal()
        again = make_deposit('d1')
        assert await make_router(site, entry).route(again) == answered(again)
        assert _runs(site, deposit) == 1

    run_virtual(scenario())


def test_what_waited_in_a_queue_up_to_its_deadline_is_known_not_run() -> None:
    """All slots of the owner hang, so nothing leaves its queue."""

    async def scenario() -> None:
        site = ProxyFleet()
        await site.add(FakeUpstream(service=KEYED))
        owner = await site.add(FakeUpstream(service=KEYED, service_time_s=60))
        site.own_all(owner)
        router = make_router(site, site.nodes[0])
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


def test_a_read_whose_door_goes_silent_is_answered_by_another() -> None:
    async def scenario() -> None:
        site, routers = await three_zones()
        await Callers(routers[:1], rate_per_s=50).run(1)
        for node in site.nodes:
            node.upstream.is_silent = True
        site.nodes[2].upstream.is_silent = False
        result = await routers[0].route(make_request())
        assert isinstance(result, Success)

    run_virtual(scenario())


def test_a_deposit_through_another_entry_joins_the_first() -> None:
    async def scenario() -> None:
        site, routers = await three_zones()
        site.own_all(site.nodes[2])
        deposit = make_deposit('d1')
        results = await asyncio.gather(
            *(router.route(deposit) for router in routers)
        )
        assert results == [answered(deposit) for _ in routers]
        assert _runs(site, deposit) == 1

    run_virtual(scenario())


def test_a_lost_owner_leaves_the_deposit_unknown_but_run_once() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        nodes = [await site.add() for _ in range(3)]
        witnesses = tuple(node.incarnation for node in nodes)
        owner = await site.add(
            FakeUpstream(service_time_s=1), witnesses=witnesses
        )
        site.own_all(owner)
        successor = site.nodes[1]
        site.rewitness(successor, witnesses)
        deposit = make_deposit('d1')
        router = make_router(site, site.nodes[0])
        task = asyncio.create_task(router.route(deposit))
        await asyncio.sleep(0.5)
        site.lose(owner)
        await asyncio.sleep(1)
        site.own_all(successor)
        successor.proxy.open_shards(all_shards(), None)
        assert verdict(await task) == (
            Outcome.UNKNOWN,
            RefusalReason.LEDGER_LOST,
        )
        assert _runs(site, deposit) == 1
        fresh = make_deposit('d2')
        assert await router.route(fresh) == answered(fresh)

    run_virtual(scenario())


@pytest.mark.parametrize('make', [make_request, make_deposit])
def test_a_request_waits_while_its_shard_has_no_owner(
    make: Callable[..., Request],
) -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        for _ in range(2):
            await site.add(FakeUpstream(service=KEYED))
        request = make(service=KEYED, key='oven')
        task = asyncio.create_task(
            make_router(site, site.nodes[0]).route(request)
        )
        await asyncio.sleep(1.5)
        site.own_all(site.nodes[1])
        assert await task == answered(request)
        assert site.clock.now_s() < _SOON_AFTER_S
        assert _runs(site, request) == 1

    run_virtual(scenario())


def test_without_an_owner_the_refusal_is_not_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service=KEYED))
        request = make_request(service=KEYED, key='oven', timeout_s=1)
        assert verdict(await make_router(site, node).route(request)) == (
            Outcome.NOT_RUN,
            RefusalReason.NO_OWNER,
        )

    run_virtual(scenario())


def test_a_planned_move_under_load_loses_and_doubles_nothing() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        for _ in range(2):
            await site.add(FakeUpstream(service=KEYED, slots=20))
        old, new = site.nodes
        site.own_all(old)
        routers = [make_router(site, node) for node in site.nodes]

        def make() -> Request:
            return make_deposit(service=KEYED, key='oven')

        callers = Callers(routers, rate_per_s=100, make=make)

        async def move() -> None:
            await asyncio.sleep(2)
            new.ownership.moving.update(range(16))
            site.own_all(new)
            entries = await old.proxy.close_shards(
                all_shards(KEYED), deadline_s=9
            )
            new.proxy.open_shards(all_shards(KEYED), entries)
            new.ownership.moving.clear()

        await asyncio.gather(callers.run(4), move())
        for _, request, result, latency_s in callers.results:
            assert result == answered(request)
            assert _runs(site, request) == 1
            assert latency_s < _MOVE_LATENCY_S
        assert new.upstream.runs

    run_virtual(scenario())


def test_a_zone_taken_out_under_load_refuses_no_caller() -> None:
    async def scenario() -> None:
        site, routers = await three_zones(lambda: FakeUpstream(slots=20))
        gone = site.nodes[1]
        callers = Callers(routers, rate_per_s=100)
        await callers.run(2)
        site.fleet.publish(zones_out={gone.zone: OutOfService('fibre work')})
        runs_before = sum(gone.upstream.runs.values())
        await callers.run(5)
        assert sum(gone.upstream.runs.values()) == runs_before
        site.fleet.publish(zones_out={})
        await callers.run(5)
        for node in site.nodes:
            node.upstream.runs.clear()
        await callers.run(5)
        shares = [sum(node.upstream.runs.values()) for node in site.nodes]
        assert shares[1] > _RETURNED_SHARE * sum(shares)
        assert all(
            isinstance(result, Success) for _, _, result, _ in callers.results
        )

    run_virtual(scenario())


def test_a_leaving_upstream_is_left_alone() -> None:
    async def scenario() -> None:
        site, routers = await three_zones(lambda: FakeUpstream(slots=20))
        callers = Callers(routers, rate_per_s=100)
        await callers.run(1)
        leaving = site.nodes[0]
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


def test_a_broken_deposit_is_not_tried_again() -> None:
    async def scenario() -> None:
        site, owner = await _entry_and_owner()
        owner.upstream.poison.add(b'deposit')
        deposit = make_deposit('d1')
        router = make_router(site, site.nodes[0])
        assert verdict(await router.route(deposit)) == (
            Outcome.UNKNOWN,
            RefusalReason.UPSTREAM_FAILED,
        )
        assert _runs(site, deposit) == 1

    run_virtual(scenario())


def test_not_run_of_a_retry_does_not_hide_an_earlier_run() -> None:
    async def scenario() -> None:
        site, routers = await three_zones()
        for node in site.nodes:
            node.upstream.poison.add(b'bad')
        request = make_request(body=b'bad')
        outcome, _ = verdict(await routers[0].route(request))
        assert _runs(site, request) > 0
        assert outcome is Outcome.UNKNOWN

    run_virtual(scenario())


def test_an_unknown_service_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        site, routers = await three_zones()
        site.fleet.config.services.clear()
        site.fleet.publish()
        assert verdict(await routers[0].route(make_request())) == (
            Outcome.NOT_RUN,
            RefusalReason.UNKNOWN_SERVICE,
        )

    run_virtual(scenario())
