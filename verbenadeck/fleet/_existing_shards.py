"""Ranges of shards that a message or a record names, and that exist."""

from typing import Protocol

from verbenadeck.fleet._view import FleetView
from verbenadeck.model import ServiceName


class ShardRangeOfService(Protocol):
    """Range of shards of one service, as in records and messages."""

    @property
    def service(self) -> ServiceName:
        """Service of the shards."""
        ...

    @property
    def first_shard(self) -> int:
        """First shard."""
        ...

    @property
    def stop_shard(self) -> int:
        """One past the last shard."""
        ...


def existing_shards(fleet: FleetView, named: ShardRangeOfService) -> range:
    """Return the shards of a range, none of them unless all exist.

    Parameters
    ----------
    fleet : FleetView
        Services and their numbers of shards.
    named : ShardRangeOfService
        Range as another node or writer stated it; its bounds may be any
        numbers.
    """
    is_within = (
        0 <= named.first_shard
        and named.stop_shard <= fleet.shard_count(named.service)
    )
    return range(named.first_shard, named.stop_shard) if is_within else range(0)
