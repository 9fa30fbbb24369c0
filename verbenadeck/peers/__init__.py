"""Streams and datagrams between nodes."""

from verbenadeck.peers._codec import MessageCodec
from verbenadeck.peers._options import PeerOptions
from verbenadeck.peers._port import (
    Handler,
    Message,
    PeerAddress,
    PeerError,
    PeerFailure,
    PeerPort,
)
from verbenadeck.peers._streams import StreamPort

__all__ = (
    'Handler',
    'Message',
    'MessageCodec',
    'PeerAddress',
    'PeerError',
    'PeerFailure',
    'PeerOptions',
    'PeerPort',
    'StreamPort',
)
