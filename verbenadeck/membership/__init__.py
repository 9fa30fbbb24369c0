"""Membership of a node: join, witnesses, heartbeats, lease and leave."""

from verbenadeck.membership._membership import Membership
from verbenadeck.membership._messages import (
    MESSAGE_TYPES,
    Heartbeat,
    HeartbeatAck,
)
from verbenadeck.membership._successors import has_shards
from verbenadeck.membership._timing import LeaseTiming

__all__ = (
    'MESSAGE_TYPES',
    'Heartbeat',
    'HeartbeatAck',
    'LeaseTiming',
    'Membership',
    'has_shards',
)
