"""Lines on which the members of a JSON document with comments stand."""

import re
from collections.abc import Iterator

from verbenadeck.settings._errors import FieldPath

_TOKEN = re.compile(
    r"""
    (?P<skip> //[^\n]* | /\*.*?\*/ | [\s:]+ )
    | (?P<quoted> "(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*' )
    | (?P<mark> [{}\[\],] )
    | (?P<word> [^\s{}\[\],:"'/]+ | . )
    """,
    re.VERBOSE | re.DOTALL,
)


def line_numbers(text: str) -> dict[FieldPath, int]:
    r"""Return the line of each member and element, by its path.

    Examples
    --------
    >>> line_numbers('{ // comment: 1\n log: {url: 1}}')[('log', 'url')]
    2
    >>> line_numbers('{ a: [2,\n 3]}')[('a', 1)]
    2
    """
    lines: dict[FieldPath, int] = {(): 1}
    walker = _Walker(lines)
    for kind, token, line in _tokens(text):
        walker.step(kind, token, line)
    return lines


def line_of(path: FieldPath, lines: dict[FieldPath, int]) -> int:
    """Return the line of a path or of the nearest place around it."""
    while path not in lines:
        path = path[:-1]
    return lines[path]


def _tokens(text: str) -> Iterator[tuple[str, str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        kind = match.lastgroup or 'skip'
        if kind != 'skip':
            yield kind, match.group(), line
        line += match.group().count('\n')


class _Walker:
    """Follows the nesting; each level keeps its place in the parent."""

    def __init__(self, lines: dict[FieldPath, int]) -> None:
        self._lines = lines
        self._levels: list[str | int | None] = []
        self._is_keyed: list[bool] = []

    def step(self, kind: str, token: str, line: int) -> None:
        """Take one token."""
        if kind != 'mark':
            self._name(token.strip('"\''), line)
        elif token in '{[':
            self._open(token, line)
        elif token == ',':
            self._next()
        elif self._levels:
            self._levels.pop()
            self._is_keyed.pop()

    def _name(self, token: str, line: int) -> None:
        if not self._levels:
            return
        if self._is_keyed[-1] and self._levels[-1] is None:
            self._levels[-1] = token
        self._note(line)

    def _open(self, token: str, line: int) -> None:
        if self._levels:
            self._note(line)
        self._is_keyed.append(token == '{')
        self._levels.append(None if token == '{' else 0)

    def _next(self) -> None:
        if not self._levels:
            return
        place = self._levels[-1]
        self._levels[-1] = place + 1 if isinstance(place, int) else None

    def _note(self, line: int) -> None:
        path = tuple(level for level in self._levels if level is not None)
        self._lines.setdefault(path, line)
