"""Door: admission, limits, queue, request ledger and drain."""

from verbenadeck.door._door import UpstreamDoor
from verbenadeck.door._ledger import Ledger
from verbenadeck.door._limit import (
    Adapt,
    ConcurrencyLimit,
    LimitOptions,
    fixed_limit,
    gradient_limit,
)
from verbenadeck.door._messages import (
    MESSAGES,
    Cancel,
    Forward,
    ForwardAnswer,
)
from verbenadeck.door._policy import PolicyReader
from verbenadeck.door._port import Door, DoorLoad
from verbenadeck.door._refusals import not_run, refusal_of, refuse, unknown
from verbenadeck.door._shard_rates import ShardRates

__all__ = (
    'MESSAGES',
    'Adapt',
    'LimitOptions',
    'Cancel',
    'ConcurrencyLimit',
    'Door',
    'DoorLoad',
    'Forward',
    'ForwardAnswer',
    'Ledger',
    'PolicyReader',
    'ShardRates',
    'UpstreamDoor',
    'fixed_limit',
    'gradient_limit',
    'not_run',
    'refusal_of',
    'refuse',
    'unknown',
)
