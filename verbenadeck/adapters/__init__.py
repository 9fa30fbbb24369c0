"""Adapters between the router and the log, the upstream and the callers."""

from verbenadeck.adapters._announce import AnnounceError, read_announcement
from verbenadeck.adapters._answer_budget import AnswerBudget
from verbenadeck.adapters._answer_status import CheckedConnector
from verbenadeck.adapters._bounded_connector import MAX_ANSWER_BYTES
from verbenadeck.adapters._caller_calls import (
    OutgoingCall,
    OwnerHint,
    read_answer,
    read_owner_hint,
    write_call,
    write_owner_hint,
)
from verbenadeck.adapters._caller_headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_MS_HEADER,
    CallerAnswer,
    CallerRequest,
    read_call,
    write_answer,
    write_refusal,
)
from verbenadeck.adapters._http_headers import Headers, end_to_end_headers
from verbenadeck.adapters._log import (
    LogAdapter,
    LogError,
    LogFailure,
    LogPage,
    NewestRecords,
)
from verbenadeck.adapters._log_http import LogHttpAdapter
from verbenadeck.adapters._registry import (
    CALLER_FORMATS,
    LOG_ADAPTERS,
    STANDIN_FORMAT,
    UPSTREAM_ADAPTERS,
    AnnouncedUpstream,
    CallerFormat,
    LogAdapterFactory,
    UpstreamAdapterFactory,
)
from verbenadeck.adapters._report_order import (
    OrderFault,
    ReportOrder,
    ReportPosition,
)
from verbenadeck.adapters._upstream import (
    MAX_SLOTS,
    WARMED_UP,
    Announcement,
    ColdStartState,
    Grant,
    GrantedRange,
    HeldRange,
    HoldReply,
    HoldReport,
    KeyHandover,
    LoadReport,
    UpstreamAdapter,
    UpstreamDeparture,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.adapters._upstream_exchange import describe_broken_answer
from verbenadeck.adapters._upstream_http import UpstreamHttpAdapter
from verbenadeck.adapters._upstream_session import (
    UpstreamSession,
    WatchedResponse,
)

__all__ = (
    'CALLER_FORMATS',
    'DEADLINE_HEADER',
    'IDEMPOTENCY_HEADER',
    'LOG_ADAPTERS',
    'MAX_ANSWER_BYTES',
    'MAX_SLOTS',
    'OUTCOME_HEADER',
    'REASON_HEADER',
    'RETRY_AFTER_MS_HEADER',
    'STANDIN_FORMAT',
    'UPSTREAM_ADAPTERS',
    'AnnounceError',
    'AnswerBudget',
    'AnnouncedUpstream',
    'CallerAnswer',
    'CheckedConnector',
    'OrderFault',
    'OutgoingCall',
    'OwnerHint',
    'read_owner_hint',
    'read_answer',
    'write_call',
    'write_owner_hint',
    'CallerRequest',
    'CallerFormat',
    'LogHttpAdapter',
    'LogAdapterFactory',
    'UpstreamHttpAdapter',
    'UpstreamAdapterFactory',
    'UpstreamSession',
    'WatchedResponse',
    'describe_broken_answer',
    'end_to_end_headers',
    'read_announcement',
    'read_call',
    'write_answer',
    'write_refusal',
    'Announcement',
    'Grant',
    'GrantedRange',
    'Headers',
    'HeldRange',
    'HoldReply',
    'HoldReport',
    'KeyHandover',
    'UpstreamDeparture',
    'LoadReport',
    'LogAdapter',
    'LogError',
    'LogFailure',
    'LogPage',
    'NewestRecords',
    'UpstreamRequest',
    'ReportOrder',
    'ReportPosition',
    'UpstreamAdapter',
    'UpstreamError',
    'UpstreamFailure',
    'WARMED_UP',
    'ColdStartState',
)
