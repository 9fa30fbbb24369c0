"""Shared msgpack encoder."""

import msgspec

_encoder = msgspec.msgpack.Encoder()

pack = _encoder.encode
"""Return the msgpack bytes of a struct."""
