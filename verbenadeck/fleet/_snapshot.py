"""Encoded form of the whole fleet state, for checkpoints."""

import sys
import zlib
from array import array
from collections.abc import Iterator

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from verbenadeck.fleet._members import Ended
from verbenadeck.fleet._shard_table import ShardTable, Tenancies
from verbenadeck.fleet._view import Member
from verbenadeck.fleet._writers import WriterWindow
from verbenadeck.model import (
    ConfigVersion,
    Incarnation,
    Offset,
    ServiceName,
    WriterId,
)
from verbenadeck.records import CodecError

SNAPSHOT_VERSION = 1
"""Version of the snapshot format that this release writes and reads."""

_COMPRESSION_LEVEL = 1
_PIECE_BYTES = 65_536
_MAX_RAW_BYTES = 67_108_864
_DIGEST_BYTES = 8
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class TableSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Shards of one service, little-endian 64-bit numbers."""

    service: ServiceName
    owners: bytes
    fences: bytes
    earlier_owners: dict[int, Tenancies]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Whole fleet state as of an offset.

    It depends on the records alone, so nodes that applied the same ones
    encode the same bytes.
    """

    version: int
    applied_offset: Offset
    config_version: ConfigVersion
    config_author: str
    document: bytes
    live: tuple[Member, ...]
    ended: tuple[Ended, ...]
    votes: dict[Incarnation, tuple[Incarnation, ...]]
    tables: tuple[TableSnapshot, ...]
    writers: tuple[tuple[WriterId, WriterWindow], ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


def compress_snapshot(raw: bytes) -> Iterator[bytes]:
    """Yield the compressed form of an encoded snapshot piece by piece.

    The pieces are small so that an event loop can run in between; the last
    one is the digest of all before.
    """
    digest = xxhash.xxh3_64()
    packer = zlib.compressobj(_COMPRESSION_LEVEL)
    for start in range(0, len(raw), _PIECE_BYTES):
        piece = packer.compress(raw[start : start + _PIECE_BYTES])
        digest.update(piece)
        yield piece
    piece = packer.flush()
    digest.update(piece)
    yield piece
    yield digest.digest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the plain encoded form."""
    return _encoder.encode(snapshot)


def decode_snapshot(packed: bytes) -> Result[Snapshot, CodecError]:
    """Return the snapshot of a packed form, a failure when it is damaged."""
    body = packed[:-_DIGEST_BYTES]
    if xxhash.xxh3_64_digest(body) != packed[-_DIGEST_BYTES:]:
        return Failure(CodecError('snapshot digest differs'))
    try:
        raw = zlib.decompressobj().decompress(body, _MAX_RAW_BYTES)
    except zlib.error as error:
        return Failure(CodecError(f'snapshot is damaged: {error}'))
    return _decode_raw(raw)


def table_snapshot(service: ServiceName, table: ShardTable) -> TableSnapshot:
    """Return the encoded form of a shard table."""
    return TableSnapshot(
        service=service,
        owners=_to_bytes(table.owners),
        fences=_to_bytes(table.fences),
        earlier_owners=dict(sorted(table.earlier_owners.items())),
    )


def table_of(snapshot: TableSnapshot) -> ShardTable:
    """Return the shard table of its encoded form."""
    table = ShardTable(0)
    table.owners = _from_bytes(snapshot.owners)
    table.fences = _from_bytes(snapshot.fences)
    table.earlier_owners = dict(snapshot.earlier_owners)
    return table


def _decode_raw(raw: bytes) -> Result[Snapshot, CodecError]:
    try:
        snapshot = _decoder.decode(raw)
    except _DECODE_ERRORS as error:
        return Failure(CodecError(f'not a snapshot: {error}'))
    if snapshot.version != SNAPSHOT_VERSION:
        detail = f'snapshot version {snapshot.version} is unknown'
        return Failure(CodecError(detail))
    return Success(snapshot)


def _to_bytes(numbers: 'array[int]') -> bytes:
    return _little_endian(array('q', numbers)).tobytes()


def _from_bytes(payload: bytes) -> 'array[int]':
    numbers = array('q')
    numbers.frombytes(payload)
    return _little_endian(numbers)


def _little_endian(numbers: 'array[int]') -> 'array[int]':
    if sys.byteorder == 'big':
        numbers.byteswap()
    return numbers
