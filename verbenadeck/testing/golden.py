"""Golden files: complete logs of scenarios run in virtual time."""

import asyncio
import difflib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

Session = Callable[[], None]
NameProcess = Callable[[], str]

RECORDED_PARTS = frozenset(
    ('journal', 'membership', 'lease', 'placement', 'door', 'router')
)


class Transcript:
    """Log lines of a scenario in the order in which they were written.

    Attributes
    ----------
    lines : list of str
        Lines with virtual time in seconds, process and part.
    name_process : callable
        Returns the name of the running process, empty outside any process.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.name_process: NameProcess = str

    def add_line(self, text: str) -> None:
        """Add a line written by the scenario itself."""
        self._add('session', text)

    def add_log_message(self, message: 'Message') -> None:
        """Add a loguru message if its part is in `RECORDED_PARTS`."""
        part = message.record['extra'].get('part')
        if part in RECORDED_PARTS:
            self._add(part, message.record['message'])

    def join_lines(self) -> str:
        """Return all lines as one text."""
        return ''.join(f'{line}\n' for line in self.lines)

    def _add(self, part: str, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        source = f'{self.name_process()} {part}'.strip()
        self.lines.append(f'{now_s:.3f} {source}: {text}')


@contextmanager
def record_transcript() -> Iterator[Transcript]:
    """Record the log lines of `RECORDED_PARTS` in a transcript."""
    transcript = Transcript()
    sink = logger.add(
        transcript.add_log_message, level='INFO', format='{message}'
    )
    try:
        yield transcript
    finally:
        logger.remove(sink)


def diff_with_golden(text: str, path: Path) -> str:
    """Return the unified diff from a golden file to a text, empty if equal."""
    golden = path.read_text() if path.exists() else ''
    return ''.join(
        difflib.unified_diff(
            golden.splitlines(keepends=True),
            text.splitlines(keepends=True),
            f'golden/{path.name}',
            'this run',
        )
    )
