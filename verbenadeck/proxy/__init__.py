"""Proxy in front of one upstream, the only sender to it.

It applies admission control: a concurrency limit, a bounded queue, a ledger of
non-repeatable requests and a drain before it stops.
"""

from verbenadeck.proxy._interface import Proxy, ProxyLoad
from verbenadeck.proxy._ledger import Ledger
from verbenadeck.proxy._limit import (
    ConcurrencyLimit,
    LimitAlgorithm,
    LimitOptions,
    fixed_limit,
    gradient_limit,
)
from verbenadeck.proxy._messages import (
    MESSAGE_TYPES,
    CancelAttempt,
    ForwardAnswer,
    ForwardRequest,
    LoadQuery,
    LoadReply,
)
from verbenadeck.proxy._policy import PolicyCache
from verbenadeck.proxy._proxy import UpstreamProxy
from verbenadeck.proxy._queue_options import QueueOptions
from verbenadeck.proxy._refusals import not_run, refusal_of, refuse, unknown
from verbenadeck.proxy._shard_rates import ShardRates
from verbenadeck.proxy._transfer_messages import (
    ReserveTransfer,
    TransferReply,
)

__all__ = (
    'MESSAGE_TYPES',
    'LimitAlgorithm',
    'LimitOptions',
    'CancelAttempt',
    'ConcurrencyLimit',
    'Proxy',
    'ProxyLoad',
    'QueueOptions',
    'ForwardRequest',
    'ForwardAnswer',
    'Ledger',
    'LoadQuery',
    'LoadReply',
    'PolicyCache',
    'ReserveTransfer',
    'ShardRates',
    'TransferReply',
    'UpstreamProxy',
    'fixed_limit',
    'gradient_limit',
    'not_run',
    'refusal_of',
    'refuse',
    'unknown',
)
