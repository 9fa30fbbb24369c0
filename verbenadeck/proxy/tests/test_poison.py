"""Quarantine of requests that crash upstreams."""

import asyncio

from returns.result import Success

from verbenadeck.model import Outcome, RefusalReason
from verbenadeck.proxy.tests.builders import (
    ProxyFleet,
    admit,
    answered,
    make_deposit,
    make_request,
    verdict,
)
from verbenadeck.testing import run_virtual

_POISON = b'poison'


async def _fleet_with_poison() -> ProxyFleet:
    site = ProxyFleet()
    for _ in range(3):
        node = await site.add()
        node.upstream.poison.add(_POISON)
    return site


def test_request_that_crashed_two_upstreams_is_refused_by_all_proxies() -> None:
    async def scenario() -> None:
        site = await _fleet_with_poison()
        for node in site.nodes[:2]:
            outcome, _ = verdict(await admit(node, make_request(body=_POISON)))
            assert outcome is Outcome.UNKNOWN
            await asyncio.sleep(0.5)
        for node in site.nodes:
            request = make_request(body=_POISON)
            assert verdict(await admit(node, request)) == (
                Outcome.NOT_RUN,
                RefusalReason.POISON,
            )
            assert node.upstream.runs[request.request_id] == 0
        assert sum(node.upstream.restart_count for node in site.nodes) == 2

    run_virtual(scenario())


# Guards against a crash by a request that was admitted before its quarantine.
def test_request_that_waits_when_it_is_quarantined_is_not_sent() -> None:
    async def scenario() -> None:
        site = await _fleet_with_poison()
        last = site.nodes[2]
        last.upstream.service_time_s = 2
        busy = [
            asyncio.create_task(admit(last, make_request(timeout_s=30)))
            for _ in range(last.upstream.slots)
        ]
        await asyncio.sleep(0.1)
        waiting = make_request(body=_POISON, timeout_s=30)
        waiting_task = asyncio.create_task(admit(last, waiting))
        for node in site.nodes[:2]:
            await admit(node, make_request(body=_POISON))
            await asyncio.sleep(0.5)
        assert verdict(await waiting_task) == (
            Outcome.NOT_RUN,
            RefusalReason.POISON,
        )
        await asyncio.gather(*busy)
        assert last.upstream.runs[waiting.request_id] == 0

    run_virtual(scenario())


def test_quarantine_ends_after_a_minute() -> None:
    async def scenario() -> None:
        site = await _fleet_with_poison()
        for node in site.nodes[:2]:
            await admit(node, make_request(body=_POISON))
            await asyncio.sleep(0.5)
        site.nodes[2].upstream.poison.clear()
        await asyncio.sleep(61)
        request = make_request(body=_POISON)
        assert await admit(site.nodes[2], request) == answered(request)

    run_virtual(scenario())


def test_frequent_request_running_at_crashes_is_not_quarantined() -> None:
    async def scenario() -> None:
        site = await _fleet_with_poison()
        for node in site.nodes[:2]:
            popular = asyncio.create_task(
                admit(node, make_request(path='/list'))
            )
            await asyncio.sleep(0.01)
            await admit(node, make_request(body=_POISON))
            assert verdict(await popular)[0] is Outcome.UNKNOWN
            await asyncio.sleep(0.5)
            again = await admit(node, make_request(path='/list'))
            assert isinstance(again, Success)
            await asyncio.sleep(2)
        for node in site.nodes:
            listed = await admit(node, make_request(path='/list'))
            assert isinstance(listed, Success)
            poisoned = await admit(node, make_request(body=_POISON))
            assert verdict(poisoned)[1] is RefusalReason.POISON

    run_virtual(scenario())


def test_non_repeatable_request_that_crashes_runs_only_once() -> None:
    async def scenario() -> None:
        site = await _fleet_with_poison()
        node = site.nodes[0]
        site.own_all(node)
        deposit = make_deposit('d1', body=_POISON)
        for _ in range(3):
            outcome, _ = verdict(await admit(node, deposit))
            assert outcome is Outcome.UNKNOWN
            await asyncio.sleep(0.5)
        assert node.upstream.runs['d1'] == 1

    run_virtual(scenario())
