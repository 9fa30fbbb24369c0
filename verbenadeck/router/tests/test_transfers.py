"""Load: large uploads to proxies whose links are narrow."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Iterable, Iterator

import pytest
from returns.result import Failure, Result, Success

from verbenadeck.model import NO_MEMBER, Outcome, RefusalReason
from verbenadeck.peers import Message, PeerAddress, PeerError, PeerFailure
from verbenadeck.proxy import (
    ForwardAnswer,
    ForwardRequest,
    ProxyLoad,
    ReserveTransfer,
    TransferReply,
    not_run,
    refuse,
)
from verbenadeck.proxy.tests.builders import (
    Node,
    answered,
    refusal,
    verdict,
)
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.proxy.tests.transfer_builders import (
    BODY_BYTES,
    LINK_BYTES_PER_S,
    make_upload,
)
from verbenadeck.router._outcomes import _JITTER
from verbenadeck.router._transfers import MIN_BODY_BYTES
from verbenadeck.router.tests.builders import Callers
from verbenadeck.router.tests.transfer_builders import (
    Body,
    NarrowLink,
    make_upload_fleet,
)
from verbenadeck.testing import FakeTransport, run_virtual

_WINDOW_S = 0.25
_MAX_BACKLOG_S = 0.25
_MAX_BODY_BYTES = 360_000
_DELAYING_BYTES = 90_000
"""Size of a body after which another one of the size has to wait."""

_EARLIEST_S = 0.8


def _refuse_transfers(
    links: Iterable[NarrowLink], retry_after_s: Iterator[float]
) -> None:
    async def on_reserve(
        _peer: PeerAddress, _message: ReserveTransfer
    ) -> TransferReply:
        full = not_run(
            RefusalReason.QUEUE_FULL, retry_after_s=next(retry_after_s)
        )
        return TransferReply(full, ProxyLoad(5, 0, 5, 0.3, True))

    for link in links:
        link.node.transport.register_handler(ReserveTransfer, on_reserve)


def _refuse_bodies(link: NarrowLink) -> None:
    async def on_forward(
        _peer: PeerAddress, _message: ForwardRequest
    ) -> ForwardAnswer:
        full = refuse(not_run(RefusalReason.QUEUE_FULL, retry_after_s=1))
        return ForwardAnswer.pack(
            full, link.node.proxy.load, link.node.incarnation
        )

    link.node.transport.register_handler(ForwardRequest, on_forward)


def _fail_bodies(
    monkeypatch: pytest.MonkeyPatch, error: PeerError
) -> list[str]:
    """Let all calls with bodies fail; return the ids of their requests."""
    request_ids: list[str] = []
    call = FakeTransport.call

    async def call_or_fail(
        transport: FakeTransport,
        peer: PeerAddress,
        message: Message,
        *,
        deadline_s: float,
    ) -> Result[Message, PeerError]:
        if not isinstance(message, ForwardRequest):
            return await call(transport, peer, message, deadline_s=deadline_s)
        request_ids.append(message.request_id)
        return Failure(error)

    monkeypatch.setattr(FakeTransport, 'call', call_or_fail)
    return request_ids


def _exceeds_bound(bodies: Iterable[Body]) -> bool:
    """Return whether bodies of some window exceed the rate and the backlog.

    A body larger than the backlog may be sent when no other is under way.
    """
    large = [body for body in bodies if body.body_bytes >= MIN_BODY_BYTES]
    for first in large:
        sizes = [
            body.body_bytes
            for body in large
            if 0 <= body.at_s - first.at_s < _WINDOW_S
        ]
        backlog_bytes = max(LINK_BYTES_PER_S * _MAX_BACKLOG_S, *sizes, 0)
        if sum(sizes) > LINK_BYTES_PER_S * _WINDOW_S + backlog_bytes:
            return True
    return False


# The usual rate of uploads is 5 a second and proxy; a burst has 2.5 times that.
@pytest.mark.parametrize('reserves_transfers', (True, False))
def test_burst_of_uploads_leaves_the_links_to_calls(
    reserves_transfers: bool,
) -> None:
    """Guards against links that bodies saturate, as they do unreserved."""

    async def scenario() -> None:
        uploads = await make_upload_fleet(
            entries=4, proxies=5, reserves_transfers=reserves_transfers
        )
        source = random.Random(3)
        callers = Callers(
            uploads.routers,
            rate_per_s=5 * 5 * 2.5,
            make=lambda: make_upload(
                min(_MAX_BODY_BYTES, int(source.expovariate(1 / BODY_BYTES)))
            ),
        )
        await callers.run(7)
        exceeding = [_exceeds_bound(link.bodies) for link in uploads.links]
        assert any(exceeding) is not reserves_transfers
        if reserves_transfers:
            sends = Counter(body.request_id for body in uploads.bodies)
            assert max(sends.values()) <= 2

    run_virtual(scenario())


# Guards against bodies that are sent only to be refused.
def test_refused_transfer_goes_to_another_proxy_without_the_body() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=3)
        _refuse_transfers(uploads.links[:2], itertools.repeat(1))
        for _ in range(5):
            upload = make_upload()
            assert await uploads.routers[0].route(upload) == answered(upload)
        assert not uploads.links[0].bodies + uploads.links[1].bodies
        assert len(uploads.links[2].bodies) == 5

    run_virtual(scenario())


# Guards against requests that occupy all proxies in a burst, and callers that
# come again before there is capacity.
def test_four_refused_transfers_end_with_the_earliest_retry_time() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=6)
        times_s = itertools.chain((2, _EARLIEST_S), itertools.repeat(2))
        _refuse_transfers(uploads.links, times_s)
        found = refusal(await uploads.routers[0].route(make_upload()))
        assert found.outcome is Outcome.NOT_RUN
        assert found.reason is RefusalReason.QUEUE_FULL
        assert found.retry_after_s <= _EARLIEST_S * (1 + _JITTER)
        assert found.retry_after_s >= _EARLIEST_S / 2
        assert len(uploads.asked) == 4
        assert not uploads.bodies

    run_virtual(scenario())


# Guards against a body that is sent to every proxy of the service.
def test_body_is_sent_at_most_twice() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=5)
        for link in uploads.links:
            _refuse_bodies(link)
        found = verdict(await uploads.routers[0].route(make_upload()))
        assert found == (Outcome.NOT_RUN, RefusalReason.QUEUE_FULL)
        assert len(uploads.bodies) == 2

    run_virtual(scenario())


# Guards against places that stay reserved for a body that could not be sent.
def test_body_that_is_not_sent_ends_its_reservation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=1)
        _fail_bodies(monkeypatch, PeerError(PeerFailure.NOT_SENT, 'full'))
        task = asyncio.create_task(uploads.routers[0].route(make_upload()))
        await asyncio.sleep(0.3)
        assert uploads.asked
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.02)
        assert uploads.links[0].node.proxy.load.queued == 0

    run_virtual(scenario())


# Guards against a body that is sent to every proxy that has too many calls, and
# against an upload that fails at two proxies to which nothing was sent.
@pytest.mark.parametrize('has_used_link', (True, False))
def test_rejected_bodies_count_as_sent(
    has_used_link: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=5)
        error = PeerError(PeerFailure.NOT_SENT, 'too many calls', has_used_link)
        sent = _fail_bodies(monkeypatch, error)
        found = refusal(await uploads.routers[0].route(make_upload()))
        assert found.outcome is Outcome.NOT_RUN
        assert (len(sent) > 2) is not has_used_link

    run_virtual(scenario())


# Guards against an upload that waits for a proxy whose link is cut, and
# against its reservation staying behind.
def test_lost_reply_to_a_reservation_leads_to_another_proxy() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=2)
        entry = uploads.fleet.nodes[0]
        lost, other = uploads.links

        def cut() -> None:
            uploads.fleet.network.blocked_links.add(
                (lost.address, entry.address)
            )

        lost.on_asked = cut
        for _ in range(3):
            upload = make_upload()
            assert await uploads.routers[0].route(upload) == answered(upload)
        assert lost.asked
        assert not lost.bodies
        assert lost.node.proxy.load.queued == 0

    run_virtual(scenario())


# Guards against an upload that is lost with the reservations of a process.
def test_proxy_that_restarted_takes_the_body_without_a_reservation() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=1)
        link = uploads.links[0]
        successor = Node(
            uploads.fleet,
            link.node.incarnation,
            FakeUpstream(),
            zone=link.node.zone,
            link_bytes_per_s=LINK_BYTES_PER_S,
        )
        uploads.fleet.network.transports[link.address] = link
        await successor.proxy.start()
        successor.upstream.announce()

        def restart() -> None:
            link.node = successor

        link.on_asked = restart
        upload = make_upload()
        assert await uploads.routers[0].route(upload) == answered(upload)
        assert successor.upstream.runs[upload.request_id] == 1
        assert successor.proxy.load.queued == 0

    run_virtual(scenario())


# Guards against transfers for callers that have gone.
def test_cancelled_upload_ends_its_reservation() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=1)
        link = uploads.links[0]
        task = asyncio.create_task(uploads.routers[0].route(make_upload()))
        link.on_asked = task.cancel
        with pytest.raises(asyncio.CancelledError):
            await task
        assert link.node.proxy.load.queued == 1
        await asyncio.sleep(0.1)
        assert link.node.proxy.load.queued == 0

    run_virtual(scenario())


# Guards against bodies that are sent at once although the link is occupied,
# and against their refusal although there is time.
def test_delayed_upload_is_sent_after_its_delay() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=1)
        requests = [make_upload(_DELAYING_BYTES) for _ in range(2)]
        results = await asyncio.gather(
            *(uploads.routers[0].route(upload) for upload in requests)
        )
        assert results == [answered(upload) for upload in requests]
        first, second = uploads.links[0].bodies
        delay_s = 2 * _DELAYING_BYTES / LINK_BYTES_PER_S - _MAX_BACKLOG_S
        assert second.at_s - first.at_s == pytest.approx(delay_s, abs=0.03)

    run_virtual(scenario())


# Guards against bodies and reservations of callers that go during the delay.
def test_upload_that_is_cancelled_during_its_delay_is_not_sent() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=1)
        link = uploads.links[0]
        first, second = (
            asyncio.create_task(
                uploads.routers[0].route(make_upload(_DELAYING_BYTES))
            )
            for _ in range(2)
        )
        await asyncio.sleep(0.1)
        assert link.node.proxy.load.queued == 2
        second.cancel()
        await asyncio.sleep(0.03)
        assert link.node.proxy.load.queued == 1
        await first
        assert len(link.bodies) == 1

    run_virtual(scenario())


# Guards against a longer way for small requests and other deployments.
@pytest.mark.parametrize(
    ('body_bytes', 'reserves_transfers'),
    ((MIN_BODY_BYTES - 1, True), (_MAX_BODY_BYTES, False)),
)
def test_small_bodies_and_nodes_without_a_link_rate_reserve_nothing(
    body_bytes: int, reserves_transfers: bool
) -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(
            proxies=3, reserves_transfers=reserves_transfers
        )
        results = await asyncio.gather(
            *(
                uploads.routers[0].route(make_upload(body_bytes))
                for _ in range(3)
            )
        )
        assert all(isinstance(result, Success) for result in results)
        assert not uploads.asked

    run_virtual(scenario())


# Guards against an upload that fails while its key moves to another node.
def test_upload_waits_for_the_next_owner_without_its_body() -> None:
    async def scenario() -> None:
        uploads = await make_upload_fleet(proxies=2, is_owned=True)
        lost, successor = uploads.links
        uploads.fleet.own_all(lost.node)
        lost.node.ownership.incarnation = NO_MEMBER
        asyncio.get_running_loop().call_later(
            0.3, uploads.fleet.own_all, successor.node
        )
        upload = make_upload()
        assert await uploads.routers[0].route(upload) == answered(upload)
        assert not lost.bodies
        assert len(successor.bodies) == 1

    run_virtual(scenario())
