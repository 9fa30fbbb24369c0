"""Fleet state that every node derives by applying the log."""

from verbenadeck.fleet._existing_shards import existing_shards
from verbenadeck.fleet._incarnations import (
    has_ended,
    may_be_member,
    newest_members,
)
from verbenadeck.fleet._members import eviction_quorum, renewal_quorum
from verbenadeck.fleet._sharding import key_shard, request_shard, shard_of
from verbenadeck.fleet._snapshot import compress_snapshot
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
    'existing_shards',
    'has_ended',
    'key_shard',
    'may_be_member',
    'newest_members',
    'compress_snapshot',
    'renewal_quorum',
    'request_shard',
    'shard_of',
)
