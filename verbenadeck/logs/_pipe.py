"""Non-blocking text stream over a file descriptor."""

import os
from collections.abc import Callable

MAX_PENDING_BYTES = 1_048_576
"""Maximum number of bytes kept for a slow reader: some seconds of lines under
load."""

_MAX_WRITE_BYTES = 65_536


class PipeStream:
    """Text stream that writes without blocking and has a bounded buffer.

    Lines that exceed the bound are dropped and counted; one line states their
    number once the reader has caught up.

    Parameters
    ----------
    descriptor : int
        File descriptor of a pipe or a file; it is set to non-blocking mode.
    format_dropped_notice : callable
        Returns the line that states a number of dropped lines.
    max_pending_bytes : int
        Maximum number of bytes in the buffer.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        format_dropped_notice: Callable[[int], str],
        max_pending_bytes: int = MAX_PENDING_BYTES,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._format_dropped_notice = format_dropped_notice
        self._max_pending_bytes = max_pending_bytes
        self._pending = bytearray()
        self._dropped_lines = 0

    def write(self, text: str, /) -> None:
        """Buffer complete lines; drop those that exceed the bound.

        Parameters
        ----------
        text : str
            Complete lines.
        """
        for line in text.splitlines(keepends=True):
            raw = line.encode()
            if len(self._pending) + len(raw) > self._max_pending_bytes:
                self._dropped_lines += 1
            else:
                self._pending += raw

    def flush(self) -> None:
        """Write as many buffered bytes as possible without blocking."""
        while self._pending and self._write_chunk():
            continue
        if self._dropped_lines and not self._pending:
            self._pending += self._format_dropped_notice(
                self._dropped_lines
            ).encode()
            self._dropped_lines = 0
            self._write_chunk()

    def _write_chunk(self) -> bool:
        """Write some bytes; return whether the descriptor accepted any."""
        try:
            written = os.write(
                self._descriptor, bytes(self._pending[:_MAX_WRITE_BYTES])
            )
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe: no line can be written, not even
            # one about this error.
            self._pending.clear()
            return False
        self._pending = self._pending[written:]
        return written > 0
