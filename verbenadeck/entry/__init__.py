"""Entry of a node: HTTP server for callers."""

from verbenadeck.entry._attempt_age import AttemptAgeEstimator
from verbenadeck.entry._bounded_connection import BoundedConnection
from verbenadeck.entry._options import EntryOptions
from verbenadeck.entry._requests import make_request_reader
from verbenadeck.entry._server import EntryServer

__all__ = (
    'AttemptAgeEstimator',
    'BoundedConnection',
    'EntryServer',
    'EntryOptions',
    'make_request_reader',
)
