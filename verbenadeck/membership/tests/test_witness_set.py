import asyncio

import pytest

from verbenadeck.testing import VirtualFleet, run_processes, zoned_specs

_SLOW_APPEND_S = 0.3


# The task of the change failed when a new incarnation had begun meanwhile.
@pytest.mark.xfail(
    strict=True,
    raises=ValueError,
    reason='found beside issue 34: reset discards a change in progress',
)
def test_change_of_the_witness_set_may_end_after_a_reset() -> None:
    async def scenario() -> None:
        async with VirtualFleet(zoned_specs(1, 1, 1)) as fleet:
            await fleet.wait_until(fleet.is_served)
            node = next(iter(fleet.nodes.values()))
            member = node.membership.member
            assert member is not None
            manager = node.membership._witness_set_manager
            fleet.log.latency_s = _SLOW_APPEND_S
            change = node.process.spawn(
                manager._change(member, member.witnesses[:1])
            )
            await asyncio.sleep(_SLOW_APPEND_S / 2)
            manager.reset()
            await change

    run_processes(scenario())
