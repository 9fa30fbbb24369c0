"""Partly failed upstreams, which shed or slow down whatever their load.

Reducing the limit for each shed request would leave one slot in use, though
the upstream still answers about half of the requests.
"""

import asyncio
import random

from returns.result import Success

from verbenadeck.proxy import ConcurrencyLimit, LimitOptions, fixed_limit
from verbenadeck.proxy.tests.builders import ProxyFleet, admit, make_request
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.testing import run_virtual

_SHED_SHARE = 0.55
_EXACT_SLOTS = LimitOptions(algorithm=fixed_limit, min_share=0.8)


def test_shed_requests_of_a_partly_failed_upstream_leave_most_of_its_slots() -> (
    None
):
    limit = ConcurrencyLimit(options=_EXACT_SLOTS)
    limit.reset_for_instance(9, 9, now_s=0)
    source = random.Random(3)
    min_limit = 9
    for step in range(400):
        now_s = step * 0.02
        if source.random() < _SHED_SHARE:
            limit.record_shed(None, sent_at_s=now_s - 0.001, now_s=now_s)
        else:
            limit.record_answer(0.2, now_s=now_s)
        min_limit = min(min_limit, limit.limit)
    assert min_limit >= 7


def test_stated_capacity_lowers_the_limit_at_once() -> None:
    limit = ConcurrencyLimit(options=_EXACT_SLOTS)
    limit.reset_for_instance(9, 9, now_s=0)
    limit.record_shed(2, sent_at_s=1, now_s=1.1)
    assert limit.limit == 2


def test_slow_upstream_keeps_most_of_its_slots() -> None:
    limit = ConcurrencyLimit(options=_EXACT_SLOTS)
    limit.reset_for_instance(9, 9, now_s=0)
    for step in range(100):
        limit.record_answer(0.2, now_s=step * 0.1)
    for step in range(20):
        limit.record_answer(2.4, now_s=10 + step * 0.1)
    assert limit.limit >= 7


def test_partly_failed_upstream_answers_most_requests_it_does_not_shed() -> (
    None
):
    async def scenario() -> None:
        site = ProxyFleet()
        upstream = FakeUpstream(slots=9, service_time_s=0.2)
        node = await site.add(upstream, limits=_EXACT_SLOTS)
        source = random.Random(5)
        upstream.sheds_with_hint = False
        loop = asyncio.get_running_loop()
        answer_count = request_count = 0

        async def one() -> None:
            nonlocal answer_count
            # The fake sheds from this number of running requests on.
            is_shed = source.random() < _SHED_SHARE
            upstream.sheds_above = 0 if is_shed else None
            result = await admit(node, make_request(timeout_s=1))
            answer_count += isinstance(result, Success)

        end_s = loop.time() + 8
        tasks = []
        while loop.time() < end_s:
            request_count += 1
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(1 / 30)
        await asyncio.gather(*tasks)
        assert answer_count > 0.4 * request_count

    run_virtual(scenario())
