"""Golden files: logs of sessions in virtual time, compared whole."""

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

PARTS = frozenset(
    ('journal', 'membership', 'lease', 'placement', 'door', 'router')
)


class Script:
    """Lines of a session in the order in which they were written."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.name_process: NameProcess = str

    def note(self, text: str) -> None:
        """Add a line of the session itself."""
        self._add('session', text)

    def hear(self, message: 'Message') -> None:
        """Take a line of loguru."""
        part = message.record['extra'].get('part')
        if part in PARTS:
            self._add(part, message.record['message'])

    def text(self) -> str:
        """Return all lines."""
        return ''.join(f'{line}\n' for line in self.lines)

    def _add(self, part: str, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        source = f'{self.name_process()} {part}'.strip()
        self.lines.append(f'{now_s:.3f} {source}: {text}')


@contextmanager
def recording() -> Iterator[Script]:
    """Record the lines that the parts write."""
    script = Script()
    sink = logger.add(script.hear, level='INFO', format='{message}')
    try:
        yield script
    finally:
        logger.remove(sink)


def compare(text: str, path: Path) -> str:
    """Return a unified diff from a golden file, empty when it is equal."""
    golden = path.read_text() if path.exists() else ''
    return ''.join(
        difflib.unified_diff(
            golden.splitlines(keepends=True),
            text.splitlines(keepends=True),
            f'golden/{path.name}',
            'this run',
        )
    )
