"""Load: many records reach an owner of a thousand shards, all of them open."""

from typing import Any

from verbenadeck.fleet import FleetState, ShardView
from verbenadeck.lease._owned_shards import OwnedShardTable
from verbenadeck.model import Fence, Incarnation, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.testing import run_virtual, virtual_clock

_SERVICE = ServiceName('specdesk')
_OWNER = Incarnation(1)
_SHARDS = 1_000
_FENCE = 7
_RANGE = ReleasedRange(_SERVICE, 0, _SHARDS)


class _CountingFleet:
    """Fleet state with one owner of all shards, which counts look-ups."""

    def __init__(self) -> None:
        self.lookup_count = 0
        self.fence_list = [_FENCE for _ in range(_SHARDS)]
        self._state = FleetState()
        self.config = self._state.config

    def owned_by(self, _incarnation: Incarnation) -> Any:
        return iter((_RANGE,))

    def fences(self, _service: ServiceName) -> list[int]:
        return self.fence_list

    def shard(self, _service: ServiceName, shard: Shard) -> Any:
        self.lookup_count += 1
        return ShardView(_OWNER, Fence(self.fence_list[shard]), ())


def test_open_shards_are_not_looked_up_again() -> None:
    async def scenario() -> None:
        fleet: Any = _CountingFleet()
        table = OwnedShardTable(clock=virtual_clock(), fleet=fleet)
        opened = table.refresh(_OWNER)
        assert sum(len(each.ranges) for each in opened) == 1
        fleet.lookup_count = 0
        assert not table.refresh(_OWNER)
        assert fleet.lookup_count == 0
        fleet.fence_list[3] = 9
        table.refresh(_OWNER)
        assert fleet.lookup_count == 1

    run_virtual(scenario())
