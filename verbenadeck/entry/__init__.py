"""Entry of a node: HTTP server for callers."""

from verbenadeck.entry._attempt_age import AttemptAgeEstimator
from verbenadeck.entry._bounded_connection import BoundedConnection
from verbenadeck.entry._connection_group import ConnectionGroup
from verbenadeck.entry._connection_limits import (
    ConnectionLimits,
    derive_max_connections,
)
from verbenadeck.entry._limit_reports import Count
from verbenadeck.entry._listening import start_listening
from verbenadeck.entry._options import EntryOptions
from verbenadeck.entry._requests import make_request_reader
from verbenadeck.entry._server import EntryServer

__all__ = (
    'AttemptAgeEstimator',
    'BoundedConnection',
    'ConnectionGroup',
    'ConnectionLimits',
    'Count',
    'EntryServer',
    'EntryOptions',
    'derive_max_connections',
    'make_request_reader',
    'start_listening',
)
