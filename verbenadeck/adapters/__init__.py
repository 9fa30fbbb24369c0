"""Adapters to the platform's log, the upstream and the callers."""

from verbenadeck.adapters._log import (
    LogAdapter,
    LogError,
    LogFailure,
    LogPage,
)
from verbenadeck.adapters._upstream import (
    Announcement,
    Grant,
    GrantedRange,
    LoadReport,
    Order,
    UpstreamAdapter,
    UpstreamError,
    UpstreamFailure,
)

__all__ = (
    'Announcement',
    'Grant',
    'GrantedRange',
    'LoadReport',
    'LogAdapter',
    'LogError',
    'LogFailure',
    'LogPage',
    'Order',
    'UpstreamAdapter',
    'UpstreamError',
    'UpstreamFailure',
)
