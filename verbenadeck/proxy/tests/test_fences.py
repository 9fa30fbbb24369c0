"""Deadlines of requests to upstreams with and without fence checks."""

from verbenadeck.proxy.tests.builders import ProxyFleet, admit, make_request
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream, make_policy
from verbenadeck.testing import run_virtual


def _sent_deadline_s(*, checks_fences: bool) -> float:
    found = 0.0

    async def scenario() -> None:
        nonlocal found
        site = ProxyFleet()
        site.fleet.config.services[KEYED] = make_policy(
            is_keyed=True, checks_fences=checks_fences
        )
        node = await site.add(FakeUpstream(service=KEYED))
        site.own_all(node)
        node.ownership.lease_deadline_s = 1
        await admit(node, make_request(service=KEYED, key='oven'))
        found = node.upstream.upstream_requests[0].request.deadline_s

    run_virtual(scenario())
    return found


def test_upstream_without_fence_checks_gets_a_deadline_before_lease_end() -> (
    None
):
    assert _sent_deadline_s(checks_fences=False) < 1


def test_upstream_with_fence_checks_gets_the_request_deadline() -> None:
    assert _sent_deadline_s(checks_fences=True) == 5
