"""First assignment to members that join within a short time."""

import asyncio
from collections import Counter

from verbenadeck.lease.tests.builders import owner_of
from verbenadeck.testing import VirtualFleet, run_processes, zoned_specs

_SHARDS = 16
_JOIN_INTERVAL_S = 0.8


def test_first_assignment_includes_members_that_join_shortly_after() -> None:
    async def main() -> None:
        specs = zoned_specs(1, 1, 1)
        async with VirtualFleet(specs[:1], shard_count=_SHARDS) as fleet:
            for spec in specs[1:]:
                await asyncio.sleep(_JOIN_INTERVAL_S)
                await fleet.add(spec)
            await fleet.wait_until(fleet.is_served)
            shares = Counter(owner_of(fleet, shard) for shard in range(_SHARDS))
        assert sorted(shares.values()) == [5, 5, 6]

    run_processes(main())
