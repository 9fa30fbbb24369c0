"""Loads of upstreams with few slots, where counts and means mislead."""

import asyncio
from collections import Counter

import msgspec
import pytest
from returns.result import Success

from verbenadeck.adapters import ColdStartState
from verbenadeck.model import AttemptId, Outcome, Refusal, RefusalReason
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy import ForwardAnswer, ForwardRequest, QueueOptions
from verbenadeck.proxy._transfers import Transfers
from verbenadeck.proxy.tests.builders import (
    ProxyFleet,
    admit,
    answered,
    make_deposit,
    make_request,
    refusal,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.proxy.tests.few_slots_load import (
    Kind,
    Upstream,
    simulate_returning_callers,
)
from verbenadeck.proxy.tests.transfer_builders import (
    LINK_BYTES_PER_S,
    make_upload,
    publish_uploads,
    reserve,
)
from verbenadeck.testing import run_virtual

_LONG = Kind('ledger', 1, 5, 9, priority=2)
_SHORT = Kind('payout', 0.1, 0.8, 1.6)
_SHORT_AND_LONG = (
    Kind('payout', 0.071, 0.305, 1.22, weight=130),
    Kind('ledger', 0.41, 1.207, 5.028, priority=2, weight=75),
    Kind('check', 0.03, 0.125, 0.416, weight=300),
)
_LOOKUPS = (Kind('balance', 0.244, 0.966, 3.293),)
_VIEWS_AND_ORDERS = (
    Kind('view', 0.1, 0.404, 1.516, priority=2, weight=421),
    Kind('order', 0.14, 0.61, 2.032, priority=1, weight=162),
)
_LOADS = (1.5, 0.7, 1.5, 0.7)
_HERE = PeerAddress('127.0.0.1', 7001)
_THERE = PeerAddress('127.0.0.1', 7002)


def _start(
    upstream: Upstream, kind: Kind, *, origin: PeerAddress = _HERE
) -> 'asyncio.Task[Refusal | None]':
    waiter = upstream.waiter(kind, origin=origin)
    return asyncio.create_task(upstream.run(waiter, kind))


# Guards against calls lost behind reports that take ten times as long, and
# against refusals because of a long queue of calls that take a tenth.
@pytest.mark.parametrize(
    ('ahead', 'few_slots', 'is_admitted'),
    (
        (_SHORT, 0, False),
        (_SHORT, 5, True),
        (_LONG, 0, True),
        (_LONG, 5, False),
    ),
)
def test_mixed_kinds_are_forecast_by_their_own_times(
    ahead: Kind, few_slots: int, is_admitted: bool
) -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=2, few_slots=few_slots)
        # The mean over all requests is that of the other kind.
        other = _LONG if ahead is _SHORT else _SHORT
        for _ in range(40):
            upstream.learn(other)
        upstream.learn(ahead)
        urgent = ahead._replace(priority=0, objective_s=0.7, timeout_s=9)
        tasks = [_start(upstream, urgent) for _ in range(4)]
        await asyncio.sleep(0.01)
        arriving = upstream.waiter(_SHORT)
        found = upstream.queue.queue_refusal(arriving, 64)
        assert (found is None) == is_admitted
        await asyncio.gather(*tasks)

    run_virtual(scenario())


def test_overdue_run_is_not_forecast_to_end_at_once() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_LONG)
        overdue = _start(upstream, _LONG._replace(service_s=3))
        await asyncio.sleep(1.5)
        hasty = upstream.waiter(_SHORT._replace(objective_s=0.3, timeout_s=0.5))
        assert upstream.queue.queue_refusal(hasty, 64) is not None
        await overdue

    run_virtual(scenario())


# Guards against requests that wait until their deadlines in vain, so that
# their callers have no time left to return.
def test_waiter_is_refused_when_those_ahead_leave_it_no_time() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_LONG, _SHORT)
        patient = _LONG._replace(timeout_s=3.3, objective_s=3.2)
        running = _start(upstream, _LONG)
        await asyncio.sleep(0)
        waiting = _start(upstream, patient)
        urgent = [
            _start(upstream, _LONG._replace(priority=0)) for _ in range(6)
        ]
        await asyncio.sleep(0.01)
        assert waiting.done()
        found = await waiting
        assert found is not None
        assert found.outcome is Outcome.NOT_RUN
        assert found.reason is RefusalReason.DEADLINE
        await asyncio.gather(running, *urgent)

    run_virtual(scenario())


def test_waiter_behind_a_stuck_run_is_refused_before_its_deadline() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_LONG, _SHORT)
        stuck = _start(upstream, _LONG._replace(service_s=9))
        await asyncio.sleep(0.5)
        started_s = upstream.clock.now_s()
        found = await _start(upstream, _SHORT)
        assert found is not None
        waited_s = upstream.clock.now_s() - started_s
        assert waited_s <= _SHORT.timeout_s - _SHORT.service_s + 0.01
        await stuck

    run_virtual(scenario())


def _simulate(
    kinds: tuple[Kind, ...], *, slots: int, few_slots: int
) -> Counter[str]:
    counts: Counter[str] = Counter()
    for seed in range(4):
        counts.update(
            simulate_returning_callers(
                kinds, slots=slots, few_slots=few_slots, loads=_LOADS, seed=seed
            )
        )
    return counts


# Guards against callers that are refused in bursts of 1.5 times the capacity,
# return while it is still taken, and are refused for good.
@pytest.mark.parametrize(
    ('kinds', 'slots'), ((_LOOKUPS, 5), (_VIEWS_AND_ORDERS, 3))
)
def test_callers_refused_in_a_burst_are_refused_again_less_often(
    kinds: tuple[Kind, ...], slots: int
) -> None:
    before = _simulate(kinds, slots=slots, few_slots=0)
    after = _simulate(kinds, slots=slots, few_slots=5)
    assert after['second refusal'] < before['second refusal']
    assert after['answered'] > before['answered']


def test_calls_beside_reports_are_never_refused_at_their_deadlines() -> None:
    counts = _simulate(_SHORT_AND_LONG, slots=3, few_slots=5)
    assert counts['first refusal']
    assert counts['refusals at the deadline'] == 0


def test_upstream_with_more_slots_keeps_the_count_rules() -> None:
    assert _simulate(_SHORT_AND_LONG, slots=3, few_slots=2) == _simulate(
        _SHORT_AND_LONG, slots=3, few_slots=0
    )


def test_requests_refused_together_get_successive_retry_times() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=2, few_slots=5)
        upstream.learn(_SHORT)
        patient = _SHORT._replace(timeout_s=9)
        tasks = [_start(upstream, patient) for _ in range(40)]
        await asyncio.sleep(0.01)
        refusals = [await each for each in tasks if each.done()]
        hints = [each.retry_after_s for each in refusals if each is not None]
        assert len(hints) > 20
        interval_s = _SHORT.service_s / 2
        for earlier_s, later_s in zip(hints, hints[1:], strict=False):
            assert later_s - earlier_s == pytest.approx(interval_s)
        assert hints[0] >= _SHORT.objective_s - _SHORT.service_s
        await asyncio.gather(*tasks)

    run_virtual(scenario())


# Guards against urgent callers that are told to return only behind all less
# urgent ones, so that they miss their objective or don't return.
def test_urgent_request_is_not_told_to_return_behind_less_urgent_ones() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=2, few_slots=5)
        upstream.learn(_SHORT, _LONG)
        waiting = [_start(upstream, _LONG) for _ in range(8)]
        await asyncio.sleep(0.01)
        hurried = _SHORT._replace(timeout_s=0.5, objective_s=0.3)
        found = await _start(upstream, hurried)
        assert found is not None
        assert found.retry_after_s <= _LONG.service_s
        await asyncio.gather(*waiting)

    run_virtual(scenario())


# Guards against callers that return at once, while the slow span lasts, and are
# refused for good: no other request waits, so the forecast wait is 0.
def test_request_refused_after_a_slow_answer_gets_a_retry_time() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_LONG)
        slow = _start(upstream, _LONG._replace(service_s=3))
        await asyncio.sleep(0.01)
        waiting = _start(upstream, _LONG._replace(objective_s=4, timeout_s=4.5))
        await slow
        found = await waiting
        assert found is not None
        assert found.reason is RefusalReason.DEADLINE
        assert found.retry_after_s >= _LONG.service_s

    run_virtual(scenario())


def test_late_returning_requests_wait_while_fewer_than_slots() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=2, few_slots=5)
        upstream.learn(_LONG)
        tasks = [_start(upstream, _LONG) for _ in range(4)]
        await asyncio.sleep(0.01)
        began_s = upstream.clock.now_s()
        hasty = _LONG._replace(objective_s=1.5)
        returning = [
            upstream.waiter(hasty, started_s=began_s - 0.1) for _ in range(3)
        ]
        found: list[Refusal | None] = []
        for waiter in returning:
            found.append(upstream.queue.queue_refusal(waiter, 64))
            if found[-1] is None:
                tasks.append(asyncio.create_task(upstream.run(waiter, hasty)))
            await asyncio.sleep(0)
        assert [each is None for each in found] == [True, True, False]
        new = upstream.waiter(hasty)
        assert upstream.queue.queue_refusal(new, 64) is not None
        assert not any(await asyncio.gather(*tasks))

    run_virtual(scenario())


# Guards against late requests that fill the queue of an upstream.
def test_requests_past_their_objectives_wait_while_fewer_than_slots() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=2, few_slots=5)
        upstream.learn(_LONG)
        late = _LONG._replace(objective_s=-0.1)
        running = [_start(upstream, _LONG) for _ in range(2)]
        await asyncio.sleep(0.01)
        tasks = [_start(upstream, late) for _ in range(3)]
        refused = [each is not None for each in await asyncio.gather(*tasks)]
        assert refused == [False, False, True]
        await asyncio.gather(*running)

    run_virtual(scenario())


# Guards against a second refusal, final for most callers, of a request that
# can still meet its deadline behind more urgent ones.
@pytest.mark.parametrize('is_returning', (True, False))
def test_only_a_returning_request_waits_when_it_is_overtaken(
    is_returning: bool,
) -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_LONG)
        tasks = [_start(upstream, _LONG)]
        await asyncio.sleep(0.01)
        kind = _LONG._replace(objective_s=2.5)
        began_s = upstream.clock.now_s() if is_returning else None
        waiter = upstream.waiter(kind, started_s=began_s)
        overtaken = asyncio.create_task(upstream.run(waiter, kind))
        await asyncio.sleep(0)
        urgent = _LONG._replace(priority=0)
        tasks += [_start(upstream, urgent) for _ in range(3)]
        assert (await overtaken is None) == is_returning
        assert not any(await asyncio.gather(*tasks))

    run_virtual(scenario())


# Guards against refusals of requests that would be served, since one answer in
# a slow span has doubled the expected times: five of 0.1 s in a second.
def test_slow_answer_does_not_empty_the_queue() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_SHORT)
        kind = _SHORT._replace(objective_s=0.9, timeout_s=1)
        slow = _start(upstream, kind._replace(service_s=0.3))
        await asyncio.sleep(0)
        tasks = [_start(upstream, kind) for _ in range(5)]
        assert not any(await asyncio.gather(slow, *tasks))

    run_virtual(scenario())


# Guards against requests admitted to an upstream with free slots that bears
# 7.8 requests a second after its start, and retry times before their turn.
def test_cold_upstream_is_forecast_by_the_rate_that_it_bears() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=5, few_slots=5)
        upstream.learn(_SHORT)
        now_s = upstream.clock.now_s()
        rate_per_s = 7.8
        upstream.cold_start_rate.set_cold_start(
            ColdStartState(cold_until_s=now_s + 3, requests_per_s=rate_per_s)
        )
        kind = _SHORT._replace(objective_s=0.97, timeout_s=3.3)
        tasks = [_start(upstream, kind) for _ in range(20)]
        await asyncio.sleep(0.01)
        refused = [await each for each in tasks if each.done()]
        longest_wait_s = kind.objective_s - kind.service_s
        assert upstream.queue.queued == pytest.approx(
            longest_wait_s * rate_per_s, abs=1
        )
        assert len(refused) > 10
        for found in refused:
            assert found is not None
            assert found.retry_after_s >= longest_wait_s
        await asyncio.gather(*tasks)

    run_virtual(scenario())


def test_burst_of_one_origin_does_not_push_out_another() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=2, few_slots=5)
        upstream.learn(_SHORT)
        burst = [_start(upstream, _SHORT, origin=_THERE) for _ in range(60)]
        await asyncio.sleep(0.01)
        refused_before = sum(each.done() for each in burst)
        calm = [_start(upstream, _SHORT, origin=_HERE) for _ in range(3)]
        assert not any(await asyncio.gather(*calm))
        refused = sum(map(bool, await asyncio.gather(*burst)))
        assert refused - refused_before == 3
        assert upstream.counters['requests_displaced'] == 3

    run_virtual(scenario())


# Guards against abandoned requests that stay in the queue behind more urgent
# ones: they lengthen the reported queue and count as ahead of late requests.
def test_abandoned_request_leaves_the_queue_while_all_slots_are_in_use() -> (
    None
):
    async def scenario() -> None:
        fleet = ProxyFleet()
        node = await fleet.add(
            FakeUpstream(slots=1, service_time_s=0.1),
            queue=QueueOptions(few_slots=5),
        )
        fleet.own_all(node)
        kept = [make_deposit() for _ in range(2)]
        tasks = [asyncio.create_task(admit(node, each)) for each in kept]
        await asyncio.sleep(0.001)
        abandoned = asyncio.create_task(admit(node, make_deposit()))
        await asyncio.sleep(0.001)
        assert node.proxy.load.queued == 2
        abandoned.cancel()
        await asyncio.gather(abandoned, return_exceptions=True)
        await asyncio.sleep(0.001)
        assert (node.proxy.load.running, node.proxy.load.queued) == (1, 1)
        await asyncio.gather(*tasks)

    run_virtual(scenario())


# Guards against uploads of an entry above its share that are taken for those of
# the proxy's own node and displace others.
def test_upload_counts_for_the_origin_that_reserves_its_transfer() -> None:
    async def scenario() -> None:
        fleet = ProxyFleet()
        publish_uploads(fleet)
        upstream = FakeUpstream(slots=1, service_time_s=0.289)
        node = await fleet.add(upstream, queue=QueueOptions(few_slots=5))
        entry = await fleet.add()
        warm = make_upload()
        assert await admit(node, warm) == answered(warm)
        uploads = [make_upload() for _ in range(8)]
        tasks = [
            asyncio.create_task(
                entry.transport.call(
                    node.address,
                    ForwardRequest.pack(AttemptId(f'a{number}'), each, 4),
                    deadline_s=each.deadline_s,
                )
            )
            for number, each in enumerate(uploads)
        ]
        await asyncio.sleep(0.1)
        assert node.proxy.load.queued >= 5
        replies = [
            await reserve(entry, node, make_upload(), f'r{number}')
            for number in range(5)
        ]
        assert replies[-1].refusal is not None
        await asyncio.gather(*tasks)
        assert set(upstream.runs) == {
            each.request_id for each in (warm, *uploads)
        }

    run_virtual(scenario())


# Guards against a waiting request that is displaced by an upload whose body
# can't arrive in time, so that both are refused.
def test_upload_that_arrives_too_late_displaces_no_waiting_request() -> None:
    async def scenario() -> None:
        upstream = Upstream(slots=1, few_slots=5)
        upstream.learn(_LONG)
        patient = _LONG._replace(objective_s=4.5, timeout_s=5)
        tasks = [_start(upstream, patient, origin=_THERE) for _ in range(8)]
        await asyncio.sleep(0.01)
        waiting = upstream.queue.queued
        assert waiting > 2
        transfers = Transfers(
            clock=upstream.clock,
            slots=upstream.queue,
            service_times=upstream.times,
            link_bytes_per_s=LINK_BYTES_PER_S,
            count=lambda _name: None,
        )
        upload = upstream.waiter(patient, origin=_HERE)
        body_bytes = int(LINK_BYTES_PER_S * patient.timeout_s)
        reserved = transfers.reserve(
            AttemptId('a1'), upload, body_bytes, queue_limit=64
        )
        assert not isinstance(reserved, Success)
        assert upstream.queue.queued == waiting
        assert upstream.counters['requests_displaced'] == 0
        await asyncio.gather(*tasks)

    run_virtual(scenario())


# Guards against a displaced deposit that was refused as not run and then runs.
def test_forwarded_deposit_displaces_a_local_one_that_never_runs() -> None:
    async def scenario() -> None:
        fleet = ProxyFleet()
        upstream = FakeUpstream(slots=1)
        node = await fleet.add(upstream, queue=QueueOptions(few_slots=5))
        fleet.own_all(node)
        entry = await fleet.add()
        local = [make_deposit() for _ in range(70)]
        tasks = [asyncio.create_task(admit(node, each)) for each in local]
        await asyncio.sleep(0)
        forwarded = make_deposit()
        reply = await entry.transport.call(
            node.address,
            ForwardRequest.pack(AttemptId('forwarded'), forwarded, 5),
            deadline_s=forwarded.deadline_s,
        )
        assert isinstance(reply, Success)
        answer = reply.unwrap()
        assert isinstance(answer, ForwardAnswer)
        assert answer.unpack() == answered(forwarded)
        results = await asyncio.gather(*tasks)
        for deposit, result in zip(local, results, strict=True):
            runs = int(isinstance(result, Success))
            assert upstream.runs[deposit.request_id] == runs
        refusals = [
            refusal(each) for each in results if not isinstance(each, Success)
        ]
        assert {each.outcome for each in refusals} == {Outcome.NOT_RUN}
        assert sum('its share' in each.detail for each in refusals) == 1

    run_virtual(scenario())


def test_forwarded_request_is_still_a_returning_one() -> None:
    request = msgspec.structs.replace(make_request(now_s=0), is_returning=True)
    message = ForwardRequest.pack(AttemptId('a'), request, 1)
    assert message.unpack(0).is_returning
