"""Entry of a node: HTTP towards callers."""

from verbenadeck.entry._options import EntryOptions
from verbenadeck.entry._requests import make_request_reader
from verbenadeck.entry._server import Entry

__all__ = ('Entry', 'EntryOptions', 'make_request_reader')
