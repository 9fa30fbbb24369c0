"""Transport between nodes over TCP streams and UDP datagrams."""

from verbenadeck.peers._codec import MessageCodec
from verbenadeck.peers._interface import (
    Handler,
    Message,
    PeerAddress,
    PeerError,
    PeerFailure,
    PeerTransport,
)
from verbenadeck.peers._options import PeerOptions
from verbenadeck.peers._streams import StreamTransport

__all__ = (
    'Handler',
    'Message',
    'MessageCodec',
    'PeerAddress',
    'PeerError',
    'PeerFailure',
    'PeerOptions',
    'PeerTransport',
    'StreamTransport',
)
