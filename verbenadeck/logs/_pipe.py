"""Text stream over a file descriptor that never blocks its writer."""

import os
from collections.abc import Callable

KEPT_BYTES = 1_048_576
"""Bytes kept for a reader that is slow: some seconds of lines under load."""

_CHUNK_BYTES = 65_536


class PipeStream:
    """Writes what its reader takes at once and keeps a bounded rest.

    Lines beyond the bound are dropped and counted; one line tells how many
    once the reader has caught up.

    Parameters
    ----------
    descriptor : int
        Descriptor of a pipe or a file; it is made non-blocking.
    tell_dropped : callable
        Returns the line that tells of a number of dropped lines.
    limit_bytes : int
        Most bytes that are kept.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        tell_dropped: Callable[[int], str],
        limit_bytes: int = KEPT_BYTES,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._tell_dropped = tell_dropped
        self._limit_bytes = limit_bytes
        self._kept = bytearray()
        self._dropped_lines = 0

    def write(self, text: str, /) -> None:
        """Take whole lines; drop those that no longer fit."""
        for line in text.splitlines(keepends=True):
            raw = line.encode()
            if len(self._kept) + len(raw) > self._limit_bytes:
                self._dropped_lines += 1
            else:
                self._kept += raw

    def flush(self) -> None:
        """Write as much as the reader takes at once."""
        while self._kept and self._write_chunk():
            continue
        if self._dropped_lines and not self._kept:
            self._kept += self._tell_dropped(self._dropped_lines).encode()
            self._dropped_lines = 0
            self._write_chunk()

    def _write_chunk(self) -> bool:
        """Write some bytes; return whether the reader took any."""
        try:
            written = os.write(
                self._descriptor, bytes(self._kept[:_CHUNK_BYTES])
            )
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more, and nobody can be told.
            self._kept.clear()
            return False
        self._kept = self._kept[written:]
        return written > 0
