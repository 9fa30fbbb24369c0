"""Adapters to the platform's log, the upstream and the callers."""

from verbenadeck.adapters._announce import AnnounceError, read_announcement
from verbenadeck.adapters._caller_calls import (
    CallerCall,
    OwnerHint,
    read_owner,
    read_reply,
    write_call,
    write_owner,
)
from verbenadeck.adapters._caller_headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_MS_HEADER,
    CallerAnswer,
    CallerFields,
    read_call,
    write_answer,
    write_refusal,
)
from verbenadeck.adapters._log import (
    LogAdapter,
    LogError,
    LogFailure,
    LogPage,
)
from verbenadeck.adapters._log_http import LogHttpAdapter
from verbenadeck.adapters._registry import (
    CALLER_FORMATS,
    LOG_FORMATS,
    STANDIN_FORMAT,
    UPSTREAM_FORMATS,
    AnnouncedUpstream,
    CallerFormat,
    LogMaker,
    UpstreamMaker,
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
from verbenadeck.adapters._upstream_http import UpstreamHttpAdapter

__all__ = (
    'CALLER_FORMATS',
    'DEADLINE_HEADER',
    'IDEMPOTENCY_HEADER',
    'LOG_FORMATS',
    'OUTCOME_HEADER',
    'REASON_HEADER',
    'RETRY_AFTER_MS_HEADER',
    'STANDIN_FORMAT',
    'UPSTREAM_FORMATS',
    'AnnounceError',
    'AnnouncedUpstream',
    'CallerAnswer',
    'CallerCall',
    'OwnerHint',
    'read_owner',
    'read_reply',
    'write_call',
    'write_owner',
    'CallerFields',
    'CallerFormat',
    'LogHttpAdapter',
    'LogMaker',
    'UpstreamHttpAdapter',
    'UpstreamMaker',
    'read_announcement',
    'read_call',
    'write_answer',
    'write_refusal',
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
