"""Load: uploads that exceed what the link or the queue of a proxy can take."""

import asyncio
import random

import pytest

from verbenadeck.metrics import Metrics
from verbenadeck.model import AttemptId, Refusal, RefusalReason, Zone
from verbenadeck.proxy import TransferReply
from verbenadeck.proxy._link_schedule import (
    MAX_BACKLOG_S,
    LinkSchedule,
    LinkSpan,
)
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.proxy._transfers import (
    ARRIVAL_GRACE_S,
    MAX_DELAYED_BACKLOG_S,
    Transfers,
    TransferVerdict,
    link_refusal,
)
from verbenadeck.proxy.tests.builders import Node, ProxyFleet, admit, answered
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.proxy.tests.transfer_builders import (
    BODY_BYTES,
    LINK_BYTES_PER_S,
    draw_body_bytes,
    make_upload,
    publish_uploads,
    reserve,
)
from verbenadeck.testing import run_virtual, virtual_clock

_BODY_S = BODY_BYTES / LINK_BYTES_PER_S


async def _entry_and_proxy(
    *, slots: int = 4, link_bytes_per_s: float | None = LINK_BYTES_PER_S
) -> tuple[Node, Node]:
    site = ProxyFleet()
    publish_uploads(site)
    entry = await site.add()
    proxy = await site.add(
        FakeUpstream(slots=slots, service_time_s=0.289),
        link_bytes_per_s=link_bytes_per_s,
    )
    return entry, proxy


def _reason(reply: TransferReply) -> RefusalReason:
    assert isinstance(reply.refusal, Refusal)
    return reply.refusal.reason


# Guards against bodies that delay calls and leases on the link, and against
# a body over the limit that no proxy ever takes.
@pytest.mark.parametrize(
    ('body_s', 'backlog_s', 'retry_after_s'),
    (
        (0.1, 0, None),
        (9, 0, None),
        (0.1, MAX_DELAYED_BACKLOG_S - 0.1, None),
        (0.1, MAX_DELAYED_BACKLOG_S, 0.1),
        (9, 0.1, 0.1),
    ),
)
def test_backlog_of_the_link_is_bounded(
    body_s: float, backlog_s: float, retry_after_s: float | None
) -> None:
    refusal = link_refusal(body_s, backlog_s=backlog_s)
    if retry_after_s is None:
        assert refusal is None
    else:
        assert refusal is not None
        assert refusal.retry_after_s == pytest.approx(retry_after_s)


# Guards against entries that all see the same free capacity.
def test_reserved_upload_is_queued_until_its_body_arrives() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        upload = make_upload()
        reply = await reserve(entry, proxy, upload, 'a1')
        assert (reply.refusal, reply.load.queued) == (None, 1)
        again = await reserve(entry, proxy, upload, 'a1')
        assert (again.refusal, again.load.queued) == (None, 1)
        task = asyncio.create_task(admit(proxy, upload, 'a1'))
        await asyncio.sleep(0.01)
        assert (proxy.proxy.load.queued, proxy.proxy.load.running) == (0, 1)
        assert await task == answered(upload)

    run_virtual(scenario())


# Guards against bodies that use the whole link because they arrive early.
def test_body_that_arrives_early_leaves_the_link_to_others() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        for attempt in ('a1', 'a2'):
            upload = make_upload()
            reply = await reserve(entry, proxy, upload, attempt)
            task = asyncio.create_task(admit(proxy, upload, attempt))
        delay_s = 2 * _BODY_S - MAX_BACKLOG_S
        assert reply.start_after_s == pytest.approx(delay_s, abs=0.01)
        await asyncio.sleep(_BODY_S)
        later = await reserve(entry, proxy, make_upload(), 'a3')
        # The messages of the reservations take 0.02 s.
        assert later.start_after_s == pytest.approx(delay_s, abs=0.03)
        await task

    run_virtual(scenario())


# Guards against more bodies for a link on which one is late.
def test_late_body_delays_later_ones() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        await reserve(entry, proxy, make_upload(), 'a1')
        await asyncio.sleep(_BODY_S + 0.05)
        reply = await reserve(entry, proxy, make_upload(2 * BODY_BYTES), 'a2')
        assert reply.start_after_s == pytest.approx(_BODY_S, abs=0.01)

    run_virtual(scenario())


# Guards against capacity that is held for an entry that was killed.
def test_reservation_expires_when_its_body_does_not_arrive() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        upload = make_upload()
        await reserve(entry, proxy, upload)
        await asyncio.sleep(_BODY_S + ARRIVAL_GRACE_S - 0.05)
        assert proxy.proxy.load.queued == 1
        await asyncio.sleep(0.1)
        assert proxy.proxy.load.queued == 0
        # A body that is still under way is admitted by the ordinary rules.
        assert await admit(proxy, upload, 'a1') == answered(upload)

    run_virtual(scenario())


# Guards against reservations and bodies of callers that have gone.
def test_cancelled_attempt_ends_its_reservation() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        await reserve(entry, proxy, make_upload(), 'a1')
        await proxy.proxy.cancel(AttemptId('a1'))
        assert proxy.proxy.load.queued == 0
        again = await reserve(entry, proxy, make_upload(), 'a1')
        assert _reason(again) is RefusalReason.CANCELLED

    run_virtual(scenario())


# Guards against bodies that are sent only to be refused for lack of slots:
# ten reservations of 0.289 s at one slot exceed the objective of 2.816 s.
def test_reservations_fill_the_queue_like_requests() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy(slots=1, link_bytes_per_s=None)
        warm = make_upload()
        assert await admit(proxy, warm) == answered(warm)
        replies = [
            await reserve(entry, proxy, make_upload(), f'a{number}')
            for number in range(10)
        ]
        assert replies[0].refusal is None
        assert _reason(replies[-1]) is RefusalReason.QUEUE_FULL
        granted = sum(reply.refusal is None for reply in replies)
        assert replies[-1].load.queued == granted

    run_virtual(scenario())


def test_body_that_would_arrive_too_late_is_not_sent() -> None:
    """Guards against transfers in vain to a link that is too slow."""

    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        reply = await reserve(
            entry, proxy, make_upload(4 * BODY_BYTES, timeout_s=0.5)
        )
        assert _reason(reply) is RefusalReason.DEADLINE

    run_virtual(scenario())


# Guards against a refusal "not run" of a request id that has run.
def test_repeat_of_an_answered_upload_is_not_refused() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        upload = make_upload(request_id='upload-1')
        assert await admit(proxy, upload) == answered(upload)
        await reserve(entry, proxy, make_upload(), 'a1')
        assert _reason(
            await reserve(entry, proxy, make_upload(6 * BODY_BYTES), 'a2')
        ) is (RefusalReason.QUEUE_FULL)
        repeat = make_upload(6 * BODY_BYTES, request_id='upload-1')
        assert (await reserve(entry, proxy, repeat, 'a3')).refusal is None

    run_virtual(scenario())


# Guards against bodies sent to a node that leaves during a replacement.
def test_leaving_proxy_refuses_before_the_body() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        proxy.proxy.set_draining(is_draining=True)
        reply = await reserve(entry, proxy, make_upload())
        assert _reason(reply) is RefusalReason.DRAINING
        assert reply.load.queued == 0

    run_virtual(scenario())


def test_transfers_are_counted_by_result() -> None:
    """Guards against refusals that nobody sees, and names without a metric."""

    async def scenario() -> None:
        clock = virtual_clock()
        metrics = Metrics(zone=Zone('suva'), known_services=tuple)
        transfers = Transfers(
            clock=clock,
            slots=SlotQueue(
                clock=clock, limit=lambda: 5, service_time_s=lambda: 0.289
            ),
            service_times=ServiceTimes(overall_s=lambda: 0.289),
            link_bytes_per_s=LINK_BYTES_PER_S,
            count=metrics.count,
        )
        for attempt in ('a1', 'a2', 'a3', 'a4'):
            waiter = Waiter(clock.now_s() + 4, -1)
            transfers.reserve(
                AttemptId(attempt), waiter, 3 * BODY_BYTES, queue_limit=64
            )
        transfers.record(TransferVerdict.NOT_ADMITTED)
        transfers.record(TransferVerdict.QUEUE_FULL)
        assert metrics.counters == {
            'transfers_reserved': 2,
            'transfers_refused_link': 2,
            'transfers_refused_admission': 1,
            'transfers_refused_queue': 1,
        }

    run_virtual(scenario())


def _occupied_s(spans: list[LinkSpan], now_s: float) -> float:
    """Return for how long the bodies under way occupy the link, in seconds."""
    return sum(
        span.ends_at_s - max(now_s, span.starts_at_s)
        for span in spans
        if span.send_at_s <= now_s < span.ends_at_s
    )


# Guards against bodies that are sent together after their delays: a burst has
# 2.5 times the usual rate, 12.5 uploads a second and proxy. A fifth of them is
# cancelled, which lets others take their places.
def test_burst_keeps_the_bodies_under_way_within_the_bound() -> None:
    source = random.Random(11)
    link = LinkSchedule(LINK_BYTES_PER_S)
    spans: list[LinkSpan] = []
    now_s = 0.0
    for _ in range(2000):
        now_s += source.expovariate(12.5)
        span = link.find_span(draw_body_bytes(source), now_s)
        if span.ends_at_s - now_s <= MAX_DELAYED_BACKLOG_S:
            link.add(span)
            spans.append(span)
        delayed = [each for each in spans if each.send_at_s > now_s]
        if delayed and source.randrange(5) == 0:
            cancelled = source.choice(delayed)
            link.cancel(cancelled, now_s)
            spans.remove(cancelled)
        for each in spans:
            if each.ends_at_s <= now_s and not each.is_over:
                link.record_arrival(each)
        # The bound holds also at the times when delayed bodies are sent.
        for at_s in (now_s, *(each.send_at_s for each in spans)):
            if at_s >= now_s:
                bound_s = max(
                    MAX_BACKLOG_S,
                    *(each.body_s for each in spans if each.send_at_s <= at_s),
                    0,
                )
                assert _occupied_s(spans, at_s) <= bound_s + 1e-6
        spans = [each for each in spans if each.ends_at_s > now_s]


async def _count_refused(uploads: int) -> int:
    """Return how many uploads are refused at 48% of a link of 5 Mbit/s."""
    entry, proxy = await _entry_and_proxy(slots=5)
    source = random.Random(5)
    refused = 0

    async def send(number: int, body_bytes: int) -> None:
        nonlocal refused
        upload = make_upload(body_bytes)
        reply = await reserve(entry, proxy, upload, f'a{number}')
        if reply.refusal is not None:
            refused += 1
            return
        await asyncio.sleep(reply.start_after_s + body_bytes / LINK_BYTES_PER_S)
        await admit(proxy, upload, f'a{number}')

    async with asyncio.TaskGroup() as group:
        for number in range(uploads):
            group.create_task(send(number, draw_body_bytes(source)))
            await asyncio.sleep(source.expovariate(5))
    return refused


# Guards against uploads that are refused at their usual rate although their
# objectives leave time: 5 a second and proxy, 48% of the link.
def test_usual_uploads_are_refused_less_with_a_delayed_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        delayed = await _count_refused(1000)
        monkeypatch.setattr(
            'verbenadeck.proxy._transfers.MAX_DELAYED_BACKLOG_S', MAX_BACKLOG_S
        )
        at_once = await _count_refused(1000)
        assert delayed < at_once

    run_virtual(scenario())


# Guards against places on the link that a caller that has gone keeps.
def test_delayed_transfer_that_is_cancelled_frees_its_place() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        started_s = asyncio.get_running_loop().time()
        for attempt in ('a1', 'a2', 'a3'):
            reply = await reserve(
                entry, proxy, make_upload(2 * BODY_BYTES), attempt
            )
            assert reply.refusal is None
        refused = await reserve(entry, proxy, make_upload(2 * BODY_BYTES), 'a4')
        assert _reason(refused) is RefusalReason.QUEUE_FULL
        # The place is between those of two others.
        await proxy.proxy.cancel(AttemptId('a2'))
        freed = await reserve(entry, proxy, make_upload(2 * BODY_BYTES), 'a5')
        assert freed.refusal is None
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert elapsed_s + freed.start_after_s == pytest.approx(
            2 * _BODY_S, abs=0.02
        )
        assert freed.load.queued == 3

    run_virtual(scenario())


# Guards against a reservation that expires before its body may be sent, and
# one of a killed entry that stays.
def test_delayed_reservation_expires_after_its_delay() -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        first = make_upload(5 * BODY_BYTES)
        await reserve(entry, proxy, first, 'a1')
        task = asyncio.create_task(admit(proxy, first, 'a1'))
        await reserve(entry, proxy, make_upload(), 'a2')
        await asyncio.sleep(6 * _BODY_S + ARRIVAL_GRACE_S - 0.05)
        assert proxy.proxy.load.queued == 1
        await asyncio.sleep(0.1)
        assert proxy.proxy.load.queued == 0
        await task

    run_virtual(scenario())


# Guards against a wait for the link that ends in an answer that is too late:
# the run takes 0.289 s, the two transfers 0.64 s.
@pytest.mark.parametrize(
    ('left_s', 'reason'),
    (
        ({'objective_left_s': 0.8}, RefusalReason.QUEUE_FULL),
        ({'timeout_s': 0.8}, RefusalReason.DEADLINE),
        ({'objective_left_s': 1.0}, None),
        # One that is late already may wait.
        ({'objective_left_s': -0.1}, None),
    ),
)
def test_delay_that_leaves_no_time_for_the_run_is_refused(
    left_s: dict[str, float], reason: RefusalReason | None
) -> None:
    async def scenario() -> None:
        entry, proxy = await _entry_and_proxy()
        warm = make_upload()
        assert await admit(proxy, warm) == answered(warm)
        await reserve(entry, proxy, make_upload(3 * BODY_BYTES), 'a1')
        upload = make_upload(**left_s)  # type: ignore[arg-type]
        reply = await reserve(entry, proxy, upload, 'a2')
        assert (reply.refusal and reply.refusal.reason) is reason

    run_virtual(scenario())
