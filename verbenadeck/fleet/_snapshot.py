"""Encoding of the whole fleet state, for checkpoints."""

import sys
import zlib
from array import array
from collections.abc import Iterator

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from verbenadeck.fleet._era_claims import ClaimsSnapshot
from verbenadeck.fleet._members import EndedMember
from verbenadeck.fleet._shard_table import EarlierOwners, ShardTable
from verbenadeck.fleet._view import Member
from verbenadeck.fleet._writers import WriterWindow
from verbenadeck.model import (
    ConfigVersion,
    Incarnation,
    NodeId,
    Offset,
    ServiceName,
    WriterId,
)
from verbenadeck.records import CodecError

SNAPSHOT_VERSION = 1
"""Version of the snapshot format that this release writes and reads."""

_COMPRESSION_LEVEL = 1
_COMPRESSION_CHUNK_BYTES = 65_536
_MAX_DECOMPRESSED_BYTES = 67_108_864
_DIGEST_BYTES = 8
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class TableSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded shard table of one service.

    Parameters
    ----------
    service : ServiceName
        The service.
    owners, fences : bytes
        Owner and fence by shard, as little-endian 64-bit integers.
    earlier_owners : dict of int to tuple of EarlierOwner
        Earlier owners that have not released their shard, by shard.
    """

    service: ServiceName
    owners: bytes
    fences: bytes
    earlier_owners: dict[int, EarlierOwners]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Whole fleet state as of an offset.

    It depends on the applied records only, so all nodes that have applied
    the same records encode the same bytes.

    Parameters
    ----------
    version : int
        Version of the snapshot format.
    applied_offset : Offset
        Offset of the last applied record.
    config_version : ConfigVersion
        Version of the configuration document.
    config_author : str
        Author of the configuration document.
    document : bytes
        Encoded configuration document.
    live : tuple of Member
        Members that are joined or draining.
    ended : tuple of EndedMember
        Members that left or were evicted.
    votes : dict of Incarnation to tuple of Incarnation
        Witnesses that voted about a live member in its current epoch.
    tables : tuple of TableSnapshot
        Shard tables of all services.
    writers : tuple of (WriterId, WriterWindow)
        Sequence numbers that are already used, by writer.
    departed_upstreams : tuple of (NodeId, str)
        Upstream instance that departed last, by its node; none in snapshots
        of earlier releases.
    claims : ClaimsSnapshot
        Claims since the start of the newest era; none in snapshots of earlier
        releases.
    """

    version: int
    applied_offset: Offset
    config_version: ConfigVersion
    config_author: str
    document: bytes
    live: tuple[Member, ...]
    ended: tuple[EndedMember, ...]
    votes: dict[Incarnation, tuple[Incarnation, ...]]
    tables: tuple[TableSnapshot, ...]
    writers: tuple[tuple[WriterId, WriterWindow], ...]
    departed_upstreams: tuple[tuple[NodeId, str], ...] = ()
    claims: ClaimsSnapshot = ClaimsSnapshot()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


def compress_snapshot(raw: bytes) -> Iterator[bytes]:
    """Compress an encoded snapshot in chunks.

    The chunks are small so that the event loop can run other tasks between
    them.

    Parameters
    ----------
    raw : bytes
        Encoded snapshot.

    Yields
    ------
    bytes
        Compressed chunk; the last one is the digest of all others.
    """
    digest = xxhash.xxh3_64()
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    for start in range(0, len(raw), _COMPRESSION_CHUNK_BYTES):
        chunk = compressor.compress(
            raw[start : start + _COMPRESSION_CHUNK_BYTES]
        )
        digest.update(chunk)
        yield chunk
    chunk = compressor.flush()
    digest.update(chunk)
    yield chunk
    yield digest.digest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the uncompressed encoding of a snapshot.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot to encode.

    Returns
    -------
    bytes
    """
    return _encoder.encode(snapshot)


def decode_snapshot(compressed: bytes) -> Result[Snapshot, CodecError]:
    """Decode a compressed snapshot.

    Parameters
    ----------
    compressed : bytes
        Concatenated chunks of `compress_snapshot`.

    Returns
    -------
    Result of Snapshot
        A failure if the snapshot is damaged or has an unknown version.
    """
    body = compressed[:-_DIGEST_BYTES]
    if xxhash.xxh3_64_digest(body) != compressed[-_DIGEST_BYTES:]:
        return Failure(CodecError('snapshot digest does not match its content'))
    try:
        raw = zlib.decompressobj().decompress(body, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        return Failure(CodecError(f'snapshot cannot be decompressed: {error}'))
    return _decode_raw(raw)


def encode_table(service: ServiceName, table: ShardTable) -> TableSnapshot:
    """Return the encoded form of a shard table.

    Parameters
    ----------
    service : ServiceName
        Service of the table.
    table : ShardTable
        Table to encode.

    Returns
    -------
    TableSnapshot
    """
    return TableSnapshot(
        service=service,
        owners=_to_bytes(table.owners),
        fences=_to_bytes(table.fences),
        earlier_owners=dict(sorted(table.earlier_owners.items())),
    )


def decode_table(snapshot: TableSnapshot) -> ShardTable:
    """Return the shard table of an encoded form.

    Parameters
    ----------
    snapshot : TableSnapshot
        Encoded table.

    Returns
    -------
    ShardTable
    """
    table = ShardTable(0)
    table.owners = _from_bytes(snapshot.owners)
    table.fences = _from_bytes(snapshot.fences)
    table.earlier_owners = dict(snapshot.earlier_owners)
    return table


def _decode_raw(raw: bytes) -> Result[Snapshot, CodecError]:
    try:
        snapshot = _decoder.decode(raw)
    except _DECODE_ERRORS as error:
        return Failure(CodecError(f'snapshot cannot be decoded: {error}'))
    if snapshot.version != SNAPSHOT_VERSION:
        detail = f'snapshot version {snapshot.version} is not supported'
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
