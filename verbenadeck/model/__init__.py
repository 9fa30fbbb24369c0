"""Ids, requests, outcomes and configuration shared by all subpackages."""

from verbenadeck.model._config import (
    Admission,
    ConfigDocument,
    ExceptionRule,
    OutOfService,
    ServicePolicy,
)
from verbenadeck.model._ids import (
    NO_FENCE,
    NO_MEMBER,
    AttemptId,
    ConfigVersion,
    Epoch,
    Fence,
    Incarnation,
    NodeId,
    Offset,
    Region,
    RequestId,
    ServiceName,
    Shard,
    WriterId,
    Zone,
)
from verbenadeck.model._outcomes import (
    Answer,
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
)
from verbenadeck.model._requests import Request

__all__ = (
    'NO_FENCE',
    'NO_MEMBER',
    'Admission',
    'Answer',
    'AnswerResult',
    'AttemptId',
    'ConfigDocument',
    'ConfigVersion',
    'Epoch',
    'ExceptionRule',
    'Fence',
    'Incarnation',
    'NodeId',
    'Offset',
    'OutOfService',
    'Outcome',
    'Refusal',
    'RefusalReason',
    'Region',
    'Request',
    'RequestId',
    'ServiceName',
    'ServicePolicy',
    'Shard',
    'WriterId',
    'Zone',
)
