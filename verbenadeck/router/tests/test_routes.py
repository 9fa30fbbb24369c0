"""Routing of keyed and of deduplicated requests to the owner."""

from returns.result import Success

from verbenadeck.model import Answer
from verbenadeck.proxy.tests.builders import (
    ProxyFleet,
    make_deposit,
    make_request,
)
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream
from verbenadeck.router.tests.builders import make_router
from verbenadeck.testing import run_virtual


def test_keyed_request_goes_to_the_owner() -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        entry = await proxy_fleet.add(FakeUpstream(service=KEYED))
        owner = await proxy_fleet.add(FakeUpstream(service=KEYED))
        proxy_fleet.own_all(owner)
        router = make_router(proxy_fleet, entry)
        request = make_request(request_id='r1', service=KEYED, key='oven')
        assert await router.route(request) == Success(Answer(200, (), b'r1'))
        assert owner.upstream.runs['r1'] == 1
        assert entry.upstream.runs['r1'] == 0

    run_virtual(scenario())


def test_deposit_sent_through_three_entries_runs_once() -> None:
    async def scenario() -> None:
        proxy_fleet = ProxyFleet()
        nodes = [await proxy_fleet.add() for _ in range(3)]
        proxy_fleet.own_all(nodes[2])
        deposit = make_deposit('d1')
        for node in nodes:
            result = await make_router(proxy_fleet, node).route(deposit)
            assert result == Success(Answer(200, (), b'd1'))
        assert sum(node.upstream.runs['d1'] for node in nodes) == 1

    run_virtual(scenario())
