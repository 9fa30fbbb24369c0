"""Finds complete checkpoints among the records of the log."""

import msgspec

from verbenadeck.model import Offset, WriterId
from verbenadeck.records import CheckpointChunk, Envelope

MAX_CHUNKS = 512
"""Most chunks of one checkpoint."""

_MAX_OPEN = 8


class Checkpoint(msgspec.Struct, frozen=True):
    """A complete checkpoint.

    Parameters
    ----------
    as_of_offset : Offset
        Last position that it covers.
    packed : bytes
        Packed snapshot; empty when parts are not kept.
    """

    as_of_offset: Offset
    packed: bytes

    def is_usable(self, first_offset: Offset) -> bool:
        """Return whether all records that follow it can still be read."""
        return self.as_of_offset + 1 >= first_offset


class _Partial(msgspec.Struct):
    count: int
    parts: dict[int, bytes]


class CheckpointTracker:
    """Collects chunks; those of several writers may be interleaved.

    Parameters
    ----------
    keeps_parts : bool
        Whether the content is wanted or only the position.
    """

    def __init__(self, *, keeps_parts: bool) -> None:
        self._keeps_parts = keeps_parts
        self._open: dict[tuple[WriterId, Offset], _Partial] = {}
        self.newest: Checkpoint | None = None

    def add(self, offset: Offset, envelope: Envelope) -> bool:
        """Take a record in; return whether it completes the newest one."""
        chunk = envelope.record
        if not isinstance(chunk, CheckpointChunk) or not _is_sound(
            offset, chunk
        ):
            return False
        key = (envelope.writer, chunk.as_of_offset)
        partial = self._open.setdefault(key, _Partial(chunk.count, {}))
        if partial.count != chunk.count:
            return False
        partial.parts[chunk.index] = chunk.part if self._keeps_parts else b''
        self._forget_oldest()
        return len(partial.parts) == chunk.count and self._complete(key)

    def _complete(self, key: tuple[WriterId, Offset]) -> bool:
        partial = self._open.pop(key)
        as_of_offset = key[1]
        if self.newest and self.newest.as_of_offset >= as_of_offset:
            return False
        parts = (partial.parts[index] for index in range(partial.count))
        self.newest = Checkpoint(as_of_offset, b''.join(parts))
        return True

    def _forget_oldest(self) -> None:
        """Drop what a writer that stopped halfway has left."""
        while len(self._open) > _MAX_OPEN:
            self._open.pop(next(iter(self._open)))


def _is_sound(offset: Offset, chunk: CheckpointChunk) -> bool:
    is_past = -1 <= chunk.as_of_offset and chunk.as_of_offset < offset
    is_counted = 0 <= chunk.index and chunk.index < chunk.count
    return is_past and is_counted and chunk.count <= MAX_CHUNKS
