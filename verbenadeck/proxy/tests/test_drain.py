"""Draining, and zones or upstreams out of service."""

import asyncio
import math

import pytest
from returns.result import Success

from verbenadeck.model import Outcome, OutOfService, RefusalReason
from verbenadeck.proxy.tests.builders import (
    ProxyFleet,
    admit,
    answered,
    make_deposit,
    make_request,
    verdict,
)
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream
from verbenadeck.testing import run_virtual


def test_stop_with_a_full_queue_answers_all_admitted_requests() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=2, service_time_s=0.1))
        requests = [make_request() for _ in range(20)]
        tasks = [asyncio.create_task(admit(node, one)) for one in requests]
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(node.proxy.stop())
        await asyncio.sleep(0)
        late = make_request()
        assert verdict(await admit(node, late)) == (
            Outcome.NOT_RUN,
            RefusalReason.DRAINING,
        )
        results = await asyncio.gather(*tasks)
        await stopping
        assert results == [answered(one) for one in requests]
        assert node.upstream.is_drained
        assert node.upstream.runs[late.request_id] == 0

    run_virtual(scenario())


def test_drain_past_its_deadline_refuses_the_queue_but_cancels_no_run() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=2, service_time_s=1))
        requests = [make_request(timeout_s=30) for _ in range(20)]
        tasks = [asyncio.create_task(admit(node, one)) for one in requests]
        await asyncio.sleep(0.05)
        now_s = asyncio.get_running_loop().time()
        await node.proxy.drain(deadline_s=now_s + 1.5)
        results = await asyncio.gather(*tasks)
        for request, result in zip(requests, results, strict=True):
            ran = node.upstream.runs[request.request_id]
            assert ran == isinstance(result, Success)
            if not ran:
                assert verdict(result) == (
                    Outcome.NOT_RUN,
                    RefusalReason.DRAINING,
                )
        assert sum(node.upstream.runs.values()) == 4
        assert not node.upstream.cancelled

    run_virtual(scenario())


# Guards against requests that are sent to an instance after it has left.
def test_waiting_requests_are_not_sent_to_an_upstream_that_has_left() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(slots=2, service_time_s=1))
        await admit(node, make_request())
        requests = [make_request(timeout_s=30) for _ in range(20)]
        tasks = [asyncio.create_task(admit(node, one)) for one in requests]
        await asyncio.sleep(0.5)
        node.proxy.close_at(site.clock.now_s() + 1)
        await asyncio.sleep(0.01)
        refused_at_once = [task for task in tasks if task.done()]
        assert len(refused_at_once) >= len(requests) - 6
        results = await asyncio.gather(*tasks)
        sent_count = sum(isinstance(result, Success) for result in results)
        assert sent_count == 4
        for result in results:
            if not isinstance(result, Success):
                assert verdict(result) == (
                    Outcome.NOT_RUN,
                    RefusalReason.DRAINING,
                )
        assert len(node.upstream.upstream_requests) == sent_count + 1

    run_virtual(scenario())


def test_request_that_arrives_after_the_upstream_has_left_is_refused() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream())
        node.proxy.close_at(site.clock.now_s())
        assert verdict(await admit(node, make_request())) == (
            Outcome.NOT_RUN,
            RefusalReason.DRAINING,
        )
        node.proxy.close_at(math.inf)
        request = make_request()
        assert await admit(node, request) == answered(request)

    run_virtual(scenario())


# Guards against requests that wait in an evacuated zone and are sent there.
@pytest.mark.parametrize('is_known_from_log', [True, False])
def test_waiting_requests_are_not_sent_in_a_zone_that_is_out(
    is_known_from_log: bool,
) -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=1, service_time_s=1)
        node = await site.add(upstream, zone='nadi')
        running = make_request(timeout_s=30)
        waiting = make_request(timeout_s=30)
        tasks = [
            asyncio.create_task(admit(node, one)) for one in (running, waiting)
        ]
        await asyncio.sleep(0.1)
        if is_known_from_log:
            site.fleet.publish(zones_out={'nadi': OutOfService('fibre work')})
        else:
            node.proxy.set_zone_out(is_out=True)
        results = await asyncio.gather(*tasks)
        assert results[0] == answered(running)
        assert verdict(results[1]) == (
            Outcome.NOT_RUN,
            RefusalReason.ZONE_OUT,
        )

    run_virtual(scenario())


def test_zone_out_refuses_new_requests_and_finishes_running_ones() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service_time_s=1), zone='nadi')
        running = make_request()
        task = asyncio.create_task(admit(node, running))
        await asyncio.sleep(0.1)
        site.fleet.publish(zones_out={'nadi': OutOfService('fibre work')})
        refused = make_request()
        assert verdict(await admit(node, refused)) == (
            Outcome.NOT_RUN,
            RefusalReason.ZONE_OUT,
        )
        assert await task == answered(running)
        assert node.upstream.runs[refused.request_id] == 0
        assert not node.proxy.load.is_admitting
        site.fleet.publish(zones_out={})
        assert await admit(node, refused) == answered(refused)

    run_virtual(scenario())


def test_operator_change_of_a_zone_applies_before_the_log_has_it() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(zone='nadi')
        node.proxy.set_zone_out(is_out=True)
        refused = make_request()
        assert verdict(await admit(node, refused)) == (
            Outcome.NOT_RUN,
            RefusalReason.ZONE_OUT,
        )
        node.proxy.set_zone_out(is_out=False)
        assert await admit(node, refused) == answered(refused)

    run_virtual(scenario())


def test_owner_out_of_service_serves_its_shards_for_a_grace_time() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add(FakeUpstream(service=KEYED))
        site.own_all(node)
        site.fleet.publish(
            upstreams_out={node.node_id: OutOfService('upgrade')}
        )
        early = make_request(service=KEYED, key='oven')
        assert await admit(node, early) == answered(early)
        await asyncio.sleep(3)
        late = make_request(service=KEYED, key='oven')
        assert verdict(await admit(node, late)) == (
            Outcome.NOT_RUN,
            RefusalReason.ZONE_OUT,
        )

    run_virtual(scenario())


def test_resend_is_answered_while_the_proxy_drains() -> None:
    async def scenario() -> None:
        site = ProxyFleet()
        node = await site.add()
        site.own_all(node)
        deposit = make_deposit('d1')
        assert await admit(node, deposit) == answered(deposit)
        await node.proxy.drain(deadline_s=5)
        assert await admit(node, deposit) == answered(deposit)
        assert node.upstream.runs['d1'] == 1

    run_virtual(scenario())
