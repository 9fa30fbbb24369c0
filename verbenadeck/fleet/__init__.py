"""State of the fleet that every node derives from the log."""

from verbenadeck.fleet._sharding import shard_of
from verbenadeck.fleet._view import (
    AppliedListener,
    FleetView,
    Member,
    MemberState,
    ShardView,
)

__all__ = (
    'AppliedListener',
    'FleetView',
    'Member',
    'MemberState',
    'ShardView',
    'shard_of',
)
