"""Streams and datagrams between nodes."""

from verbenadeck.peers._port import (
    Handler,
    Message,
    PeerAddress,
    PeerError,
    PeerFailure,
    PeerPort,
)

__all__ = (
    'Handler',
    'Message',
    'PeerAddress',
    'PeerError',
    'PeerFailure',
    'PeerPort',
)
