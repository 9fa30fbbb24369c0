"""State of the fleet that every node derives from the log."""

from verbenadeck.fleet._members import eviction_quorum, renewal_quorum
from verbenadeck.fleet._sharding import shard_of
from verbenadeck.fleet._snapshot import pack_pieces
from verbenadeck.fleet._state import FleetState
from verbenadeck.fleet._view import (
    AppliedListener,
    FleetTables,
    FleetView,
    Member,
    MemberState,
    ShardView,
)

__all__ = (
    'AppliedListener',
    'FleetState',
    'FleetTables',
    'FleetView',
    'Member',
    'MemberState',
    'ShardView',
    'eviction_quorum',
    'pack_pieces',
    'renewal_quorum',
    'shard_of',
)
