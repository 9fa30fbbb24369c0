"""Codec of log records: msgpack with a format version."""

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.records._records import Envelope

FORMAT_VERSION = 1
"""Version of the record format that this release writes and reads."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class CodecError(msgspec.Struct, frozen=True):
    """A payload is no record of this format."""

    detail: str


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the payload of an envelope for the log."""
    return _encoder.encode(envelope)


def decode_envelope(payload: bytes) -> Result[Envelope, CodecError]:
    """Return the envelope of a payload.

    Any bytes may stand in the log, so whatever can't be read is a failure
    that is the same on every node, never an exception.

    Examples
    --------
    >>> decode_envelope(b'noise').failure().detail.startswith('not a record')
    True
    """
    try:
        envelope = _decoder.decode(payload)
    except _DECODE_ERRORS as error:
        return Failure(CodecError(f'not a record: {error}'))
    if envelope.format_version != FORMAT_VERSION:
        version = envelope.format_version
        return Failure(CodecError(f'format version {version} is unknown'))
    return Success(envelope)
