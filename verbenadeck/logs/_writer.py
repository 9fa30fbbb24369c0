"""Buffered writer that formats and writes log lines in batches."""

import asyncio
from typing import Protocol

from verbenadeck.logs._lines import Line, Render

_FLUSH_INTERVAL_S = 0.1
_BATCH_LINES = 512
_URGENT_LEVELS = frozenset(('WARNING', 'ERROR', 'CRITICAL'))


class Stream(Protocol):
    """Text stream that log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write text to the stream."""
        ...

    def flush(self) -> object:
        """Pass buffered text to the operating system."""
        ...


class LineWriter:
    """Buffered writer of log lines that keeps their order.

    A batch is written when it is full, when its oldest line has waited for
    the flush interval, and at once after a warning or an error. No line is
    dropped: a full batch is written before `add` returns. A process that is
    killed loses at most the lines of one flush interval.

    Parameters
    ----------
    stream : Stream
        Stream to write to.
    render : callable
        Returns a line as text.
    batch_lines : int
        Number of lines in a full batch.
    flush_interval_s : float
        Maximum time in seconds that a line waits while the event loop runs.
    """

    def __init__(
        self,
        stream: Stream,
        render: Render,
        *,
        batch_lines: int = _BATCH_LINES,
        flush_interval_s: float = _FLUSH_INTERVAL_S,
    ) -> None:
        self._stream = stream
        self._render = render
        self._batch_lines = batch_lines
        self._flush_interval_s = flush_interval_s
        self._pending: list[Line] = []
        self._timer: asyncio.TimerHandle | None = None

    def add(self, line: Line) -> None:
        """Add a line after all earlier ones.

        Parameters
        ----------
        line : Line
            Line to write.
        """
        pending = self._pending
        pending.append(line)
        if len(pending) >= self._batch_lines or line.level in _URGENT_LEVELS:
            self.flush()
        elif self._timer is None:
            self._schedule_flush()

    def flush(self) -> None:
        """Write all pending lines to the stream."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        lines = self._pending
        self._pending = []
        if lines:
            self._stream.write(''.join(map(self._render_safely, lines)))
            self._stream.flush()

    def _render_safely(self, line: Line) -> str:
        try:
            return self._render(line)
        except Exception as error:
            text = f'{line.template} {line.arguments!r} ({error!r})'
            return self._render(line._replace(template=text, arguments=()))

    def _schedule_flush(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(self._flush_interval_s, self.flush)
