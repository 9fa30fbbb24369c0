"""Msgpack encoding with one shared encoder."""

import msgspec

_encoder = msgspec.msgpack.Encoder()

encode_msgpack = _encoder.encode
"""Encode a struct as msgpack and return the bytes."""
