"""Load: uploads that exceed what the link or the queue of a proxy can take."""

import asyncio

import pytest

from verbenadeck.metrics import Metrics
from verbenadeck.model import AttemptId, Refusal, RefusalReason, Zone
from verbenadeck.proxy import TransferReply
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.proxy._transfers import (
    ARRIVAL_GRACE_S,
    MAX_BACKLOG_S,
    Transfers,
    TransferVerdict,
    link_refusal,
)
from verbenadeck.proxy.tests.builders import Node, ProxyFleet, admit, answered
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.proxy.tests.transfer_builders import (
    BODY_BYTES,
    LINK_BYTES_PER_S,
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
        (0.1, MAX_BACKLOG_S - 0.1, None),
        (0.1, MAX_BACKLOG_S, 0.1),
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
            if attempt == 'a2':
                assert _reason(reply) is RefusalReason.QUEUE_FULL
        await asyncio.sleep(_BODY_S)
        assert (await reserve(entry, proxy, make_upload(), 'a3')).refusal is (
            None
        )
        await task

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
            await reserve(entry, proxy, make_upload(2 * BODY_BYTES), 'a2')
        ) is (RefusalReason.QUEUE_FULL)
        repeat = make_upload(2 * BODY_BYTES, request_id='upload-1')
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
        for attempt in ('a1', 'a2', 'a3'):
            waiter = Waiter(clock.now_s() + 4, -1)
            transfers.reserve(
                AttemptId(attempt), waiter, BODY_BYTES, queue_limit=64
            )
        transfers.record(TransferVerdict.NOT_ADMITTED)
        transfers.record(TransferVerdict.QUEUE_FULL)
        assert metrics.counters == {
            'transfers_reserved': 1,
            'transfers_refused_link': 2,
            'transfers_refused_admission': 1,
            'transfers_refused_queue': 1,
        }

    run_virtual(scenario())
