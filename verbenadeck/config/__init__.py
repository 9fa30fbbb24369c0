"""Checks of the configuration document and the policy it gives.

Operations on the log stand in `verbenadeck.config.operations`, apart from
here because the fleet state needs the checks and the operations need the
log client.
"""

from verbenadeck.config._changes import (
    ChangeResult,
    DocumentChange,
    add_exception,
    remove_exception,
    upstream_in,
    upstream_out,
    zone_in,
    zone_out,
)
from verbenadeck.config._document_rules import (
    MAX_EXCEPTIONS,
    MAX_TOTAL_SHARDS,
    CheckResult,
    check_document,
    decode_document,
    encode_document,
)
from verbenadeck.config._exception_rules import (
    FLEET_WIDE_FIELDS,
    parse_policy_value,
)
from verbenadeck.config._policy import next_exception_end_s, policy_for
from verbenadeck.config._policy_rules import MAX_SHARD_COUNT
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.config._text import parse_document

__all__ = (
    'FLEET_WIDE_FIELDS',
    'MAX_EXCEPTIONS',
    'MAX_SHARD_COUNT',
    'MAX_TOTAL_SHARDS',
    'DocumentChange',
    'ChangeResult',
    'CheckResult',
    'ConfigProblem',
    'add_exception',
    'check_document',
    'decode_document',
    'encode_document',
    'parse_policy_value',
    'next_exception_end_s',
    'parse_document',
    'policy_for',
    'remove_exception',
    'upstream_in',
    'upstream_out',
    'zone_in',
    'zone_out',
)
