"""Encoding of the bodies of calls to the store and of their answers."""

import struct
from collections.abc import Iterator
from typing import Annotated

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure
from verbenadeck.model import Era, Offset

_log = logger.bind(part='store')
_RECORD_LENGTH = struct.Struct('>I')
_PAGE_BOUNDS = struct.Struct('>QQ')
_OK = 200
_GONE = 410
_CLIENT_ERRORS = range(400, 500)
_SERVICE_UNAVAILABLE = 503


class StorePage(msgspec.Struct, frozen=True):
    """Consecutive records of one partition.

    Parameters
    ----------
    first_offset, end_offset : Offset
        Offset of the oldest kept record, and of the next one appended.
    start_offset : Offset
        Offset of the first record of the page.
    records : tuple of bytes
        Records in order.
    era : Era
        Era of the store in the answer with the page.
    """

    first_offset: Offset
    end_offset: Offset
    start_offset: Offset
    records: tuple[bytes, ...]
    era: Era


_Offset = Annotated[int, msgspec.Meta(ge=0)]


class _AppendedBody(msgspec.Struct):
    offset: _Offset


class _GoneBody(msgspec.Struct):
    # Offset of the oldest kept record.
    first: _Offset = 0


def split_record(record: bytes) -> tuple[str, bytes]:
    """Return the key and the content in a record of a keyed topic.

    Parameters
    ----------
    record : bytes
        Length of the key in one byte, the key and the content.

    Examples
    --------
    >>> split_record(bytes([1]) + b'kv')
    ('k', b'v')
    """
    stop = 1 + int.from_bytes(record[:1])
    return record[1:stop].decode('utf-8', 'replace'), record[stop:]


def make_failure(
    failure: LogFailure, detail: str, first_offset: int = 0
) -> Failure[LogError]:
    """Return the result of a failed call to the store.

    Parameters
    ----------
    failure : LogFailure
        What is known about the call.
    detail : str
        Cause, for logs.
    first_offset : int
        Offset of the oldest kept record, when older ones were asked for.
    """
    return Failure(LogError(failure, detail, Offset(first_offset)))


def read_appended(status: int, body: bytes) -> Result[Offset, LogError]:
    """Return the offset in the answer to an append.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    body : bytes
        Body of the answer.
    """
    if status != _OK:
        is_refused = status in _CLIENT_ERRORS or status == _SERVICE_UNAVAILABLE
        failure = LogFailure.NOT_APPENDED if is_refused else LogFailure.UNKNOWN
        return make_failure(failure, f'the store answered with status {status}')
    try:
        return Success(
            Offset(msgspec.json.decode(body, type=_AppendedBody).offset)
        )
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return make_failure(
            LogFailure.UNKNOWN, f'malformed answer of the store: {error}'
        )


def read_page(
    status: int, body: bytes, start_offset: Offset, era: Era
) -> Result[StorePage, LogError]:
    """Return the records in the answer to a read.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    body : bytes
        Body of the answer.
    start_offset : Offset
        Offset that was asked for.
    era : Era
        Era of the store in the answer.
    """
    if status == _GONE:
        return make_failure(
            LogFailure.EXPIRED,
            'the store has deleted these records',
            _read_first_offset(body),
        )
    if status != _OK or len(body) < _PAGE_BOUNDS.size:
        return make_failure(
            LogFailure.UNAVAILABLE, f'the store answered with status {status}'
        )
    end, first = _PAGE_BOUNDS.unpack_from(body)
    return Success(
        StorePage(
            Offset(first),
            Offset(end),
            start_offset,
            tuple(_iter_records(body)),
            era,
        )
    )


def _read_first_offset(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_GoneBody).first
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return 0


def _iter_records(body: bytes) -> Iterator[bytes]:
    position = _PAGE_BOUNDS.size
    while position + _RECORD_LENGTH.size <= len(body):
        length = _RECORD_LENGTH.unpack_from(body, position)[0]
        position += _RECORD_LENGTH.size
        if position + length > len(body):
            _log.warning('the answer of the store ends within a record')
            return
        yield body[position : position + length]
        position += length


def make_record(key: str, content: bytes) -> bytes:
    """Return a record of a keyed topic.

    Parameters
    ----------
    key : str
        Key, at most 255 bytes in UTF-8.
    content : bytes
        Content.

    Examples
    --------
    >>> split_record(make_record('k', b'v'))
    ('k', b'v')
    """
    encoded_key = key.encode()
    return bytes((len(encoded_key),)) + encoded_key + content


def make_append_body(key: str, content: bytes) -> bytes:
    """Return a record of a keyed topic as the body of an append.

    Parameters
    ----------
    key : str
        Key, at most 255 bytes in UTF-8.
    content : bytes
        Content.
    """
    record = make_record(key, content)
    return _RECORD_LENGTH.pack(len(record)) + record
