"""Leases by witnesses and grants by fences."""

from verbenadeck.lease._beat_grants import BeatGrants
from verbenadeck.lease._fence_rules import (
    checks_fences,
    longest_timeout_s,
    takeover_wait_s,
)
from verbenadeck.lease._grants import GrantKeeper
from verbenadeck.lease._grants_port import Grants, GrantsMaker
from verbenadeck.lease._messages import MESSAGES, Release, ReleaseAck
from verbenadeck.lease._ownership import Ownership
from verbenadeck.lease._ranges import ranges_of, shards_in
from verbenadeck.lease._view import DoorHandover, OwnershipView, Permit
from verbenadeck.lease._witness import WitnessDuty

__all__ = (
    'MESSAGES',
    'BeatGrants',
    'DoorHandover',
    'GrantKeeper',
    'Grants',
    'GrantsMaker',
    'Ownership',
    'OwnershipView',
    'Permit',
    'Release',
    'ReleaseAck',
    'WitnessDuty',
    'checks_fences',
    'longest_timeout_s',
    'ranges_of',
    'shards_in',
    'takeover_wait_s',
)
