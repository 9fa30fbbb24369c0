"""Share of sends that succeed, as reported in the load of a proxy."""

import asyncio

import pytest
from returns.result import Result, Success

from verbenadeck.adapters import UpstreamError, UpstreamRequest
from verbenadeck.model import Answer
from verbenadeck.proxy.tests.builders import ProxyFleet, admit, make_request
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.testing import run_virtual

_SENDS = 20
_LOW_SHARE = 0.1
_RECOVERED_SHARE = 0.9


class _StatusUpstream(FakeUpstream):
    """Upstream that answers with a given status."""

    status = 200

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        await asyncio.sleep(self.service_time_s)
        return Success(Answer(self.status, (), b''))


@pytest.mark.parametrize(
    ('status', 'least', 'most'), [(499, 1, 1), (500, 0, 0.2), (504, 0, 0.2)]
)
def test_answers_of_500_and_above_lower_the_share_until_they_are_old(
    status: int, least: float, most: float
) -> None:
    """Guards against a share that stays low after the fault has ended."""

    async def scenario() -> None:
        upstream = _StatusUpstream()
        node = await ProxyFleet().add(upstream)
        upstream.status = status
        for _ in range(_SENDS):
            await admit(node, make_request())
        assert least <= node.proxy.load.success_share <= most
        await asyncio.sleep(6)
        assert node.proxy.load.success_share > _RECOVERED_SHARE

    run_virtual(scenario())


def test_refused_sends_lower_the_share_until_the_upstream_restarts() -> None:
    """Guards against avoiding a new instance for the faults of the old one."""

    async def scenario() -> None:
        upstream = FakeUpstream()
        node = await ProxyFleet().add(upstream)
        upstream.is_connected = False
        for _ in range(_SENDS):
            await admit(node, make_request())
        assert node.proxy.load.success_share < _LOW_SHARE
        upstream.crash()
        upstream.announce()
        assert node.proxy.load.success_share >= 1

    run_virtual(scenario())


@pytest.mark.parametrize('is_waiting', [True, False])
def test_send_without_answer_counts_unless_its_caller_left(
    is_waiting: bool,
) -> None:
    """Guards against avoiding upstreams whose callers hang up or hedge."""

    async def scenario() -> None:
        upstream = FakeUpstream()
        node = await ProxyFleet().add(upstream)
        upstream.is_silent = True
        task = asyncio.create_task(admit(node, make_request(timeout_s=0.5)))
        await asyncio.sleep(0.1)
        if not is_waiting:
            task.cancel()
        await asyncio.wait([task])
        assert (node.proxy.load.success_share < 1) is is_waiting

    run_virtual(scenario())
