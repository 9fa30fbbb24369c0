"""Asynchronous client library for callers."""

from verbenadeck.client._client import Call, Client
from verbenadeck.client._entries import EntryAddress
from verbenadeck.client._errors import CallError
from verbenadeck.client._options import ClientOptions

__all__ = ('Call', 'CallError', 'Client', 'ClientOptions', 'EntryAddress')
