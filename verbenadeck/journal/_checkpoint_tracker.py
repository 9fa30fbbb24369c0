"""Assembly of checkpoints from their chunks in the log."""

import msgspec

from verbenadeck.model import Offset, WriterId, era_of, index_of
from verbenadeck.records import CheckpointChunk, Envelope

MAX_CHUNKS = 512
"""Maximum number of chunks of one checkpoint."""

_MAX_PARTIAL_CHECKPOINTS = 8


class Checkpoint(msgspec.Struct, frozen=True):
    """A complete checkpoint.

    Parameters
    ----------
    as_of_offset : Offset
        Offset of the last record that the snapshot includes.
    packed : bytes
        Compressed snapshot; empty if the tracker discards the content.
    """

    as_of_offset: Offset
    packed: bytes

    def is_usable(self, first_offset: Offset) -> bool:
        """Return whether the log still has every record after the snapshot."""
        return index_of(self.as_of_offset) + 1 >= first_offset


class _PartialCheckpoint(msgspec.Struct):
    count: int
    parts: dict[int, bytes]


class CheckpointTracker:
    """Collector of checkpoint chunks, which writers may interleave.

    Parameters
    ----------
    keeps_parts : bool
        Whether to keep the content of chunks; otherwise only the offsets
        of checkpoints are tracked.

    Attributes
    ----------
    newest : Checkpoint or None
        Newest complete checkpoint so far.
    """

    def __init__(self, *, keeps_parts: bool) -> None:
        self._keeps_parts = keeps_parts
        self._partial_checkpoints: dict[
            tuple[WriterId, Offset], _PartialCheckpoint
        ] = {}
        self.newest: Checkpoint | None = None

    def add(self, offset: Offset, envelope: Envelope) -> bool:
        """Add a record; return whether it completes a newer checkpoint."""
        chunk = envelope.record
        if not isinstance(chunk, CheckpointChunk) or not _is_valid_chunk(
            offset, chunk
        ):
            return False
        if envelope.era < era_of(offset):
            # Written before the log lost records that the snapshot includes.
            return False
        key = (envelope.writer, chunk.as_of_offset)
        partial = self._partial_checkpoints.setdefault(
            key, _PartialCheckpoint(chunk.count, {})
        )
        if partial.count != chunk.count:
            return False
        partial.parts[chunk.index] = chunk.part if self._keeps_parts else b''
        self._evict_oldest()
        return len(partial.parts) == chunk.count and self._complete(key)

    def _complete(self, key: tuple[WriterId, Offset]) -> bool:
        partial = self._partial_checkpoints.pop(key)
        as_of_offset = key[1]
        if self.newest and self.newest.as_of_offset >= as_of_offset:
            return False
        parts = (partial.parts[index] for index in range(partial.count))
        self.newest = Checkpoint(as_of_offset, b''.join(parts))
        return True

    def _evict_oldest(self) -> None:
        """Drop the oldest partial checkpoints, whose writers stopped midway."""
        while len(self._partial_checkpoints) > _MAX_PARTIAL_CHECKPOINTS:
            self._partial_checkpoints.pop(next(iter(self._partial_checkpoints)))


def _is_valid_chunk(offset: Offset, chunk: CheckpointChunk) -> bool:
    is_before_offset = -1 <= chunk.as_of_offset < offset and index_of(
        chunk.as_of_offset
    ) < index_of(offset)
    is_index_valid = 0 <= chunk.index and chunk.index < chunk.count
    return is_before_offset and is_index_valid and chunk.count <= MAX_CHUNKS
