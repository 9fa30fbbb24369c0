"""Validation of the configuration document and lookup of policies.

The operations that publish a document to the log are in
`verbenadeck.config.operations`. They are not exported here because the fleet
state imports this package and the operations import the log client, which
imports the fleet state.
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
from verbenadeck.config._document_parser import parse_document
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
