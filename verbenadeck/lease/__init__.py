"""Leases that witnesses renew, and fenced grants for upstreams."""

from verbenadeck.lease._fence_rules import (
    checks_fences,
    max_request_timeout_s,
    takeover_wait_s,
)
from verbenadeck.lease._grants import PushedGrants
from verbenadeck.lease._grants_interface import Grants, GrantsFactory
from verbenadeck.lease._heartbeat_grants import HeartbeatGrants
from verbenadeck.lease._messages import MESSAGE_TYPES, Release, ReleaseAck
from verbenadeck.lease._ownership import Ownership
from verbenadeck.lease._ranges import ranges_of, shards_in
from verbenadeck.lease._view import OwnershipView, Permit, ProxyHandover
from verbenadeck.lease._witness import LeaseWitness

__all__ = (
    'MESSAGE_TYPES',
    'HeartbeatGrants',
    'ProxyHandover',
    'PushedGrants',
    'Grants',
    'GrantsFactory',
    'Ownership',
    'OwnershipView',
    'Permit',
    'Release',
    'ReleaseAck',
    'LeaseWitness',
    'checks_fences',
    'max_request_timeout_s',
    'ranges_of',
    'shards_in',
    'takeover_wait_s',
)
