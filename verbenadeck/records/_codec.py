"""Codec of log records: msgpack with a format version."""

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.model import MAX_ERA
from verbenadeck.records._records import Envelope

FORMAT_VERSION = 1
"""Version of the record format that this release writes and reads."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class CodecError(msgspec.Struct, frozen=True):
    """Failure to decode a payload.

    Parameters
    ----------
    detail : str
        Cause of the failure.
    """

    detail: str


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as the payload of a log record.

    Parameters
    ----------
    envelope : Envelope
        Envelope to encode.

    Returns
    -------
    bytes
    """
    return _encoder.encode(envelope)


def decode_envelope(payload: bytes) -> Result[Envelope, CodecError]:
    """Decode the payload of a log record.

    The log may contain arbitrary bytes, so a payload that cannot be decoded
    is a failure, the same one on every node, and never raises an exception.

    Parameters
    ----------
    payload : bytes
        Payload of a log record.

    Returns
    -------
    Result of Envelope
        A failure if the payload is not a record or has another format
        version.

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
        return Failure(CodecError(f'format version {version} is not supported'))
    if not 0 <= envelope.era <= MAX_ERA:
        return Failure(CodecError(f'era {envelope.era} is out of range'))
    return Success(envelope)
