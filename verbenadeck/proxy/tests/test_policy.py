"""Effective policy of a proxy."""

from verbenadeck.model import ExceptionRule, NodeId, Zone
from verbenadeck.proxy import PolicyCache
from verbenadeck.proxy.tests.fakes import SERVICE, FakeFleet
from verbenadeck.testing import run_virtual, virtual_clock

_ZONE = Zone('suva')
_NODE = NodeId('node-1')


def test_narrower_exception_applies_whatever_the_order() -> None:
    async def scenario() -> None:
        fleet = FakeFleet()
        fleet.publish(
            exceptions=(
                ExceptionRule('one', 'x', 'queue_limit', 3, upstream=_NODE),
                ExceptionRule('two', 'x', 'queue_limit', 9, service=SERVICE),
            )
        )
        cache = PolicyCache(
            fleet=fleet, clock=virtual_clock(), zone=_ZONE, upstream=_NODE
        )
        policy = cache.policy(SERVICE)
        assert policy is not None
        assert policy.queue_limit == 3

    run_virtual(scenario())
