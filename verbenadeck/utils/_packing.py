"""Shared msgpack encoder."""

import msgspec

_encoder = msgspec.msgpack.Encoder()

encode_msgpack = _encoder.encode
"""Return the msgpack bytes of a struct."""
