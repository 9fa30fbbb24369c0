"""Policy that a door follows."""

from verbenadeck.model import ExceptionRule, NodeId, Zone
from verbenadeck.proxy import PolicyCache
from verbenadeck.proxy.tests.fakes import SERVICE, FakeFleet
from verbenadeck.testing import run_virtual, virtual_clock

_ZONE = Zone('suva')
_NODE = NodeId('node-1')


def test_the_narrower_exception_counts_whatever_the_order() -> None:
    async def scenario() -> None:
        fleet = FakeFleet()
        fleet.publish(
            exceptions=(
                ExceptionRule('one', 'x', 'queue_limit', 3, upstream=_NODE),
                ExceptionRule('two', 'x', 'queue_limit', 9, service=SERVICE),
            )
        )
        reader = PolicyCache(
            fleet=fleet, clock=virtual_clock(), zone=_ZONE, upstream=_NODE
        )
        policy = reader.policy(SERVICE)
        assert policy is not None
        assert policy.queue_limit == 3

    run_virtual(scenario())
