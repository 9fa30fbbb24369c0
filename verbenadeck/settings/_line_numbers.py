"""Line numbers of the values in a JSON document with comments."""

import re
from collections.abc import Iterator

from verbenadeck.settings._errors import FieldPath

_TOKEN_PATTERN = re.compile(
    r"""
    (?P<skip> //[^\n]* | /\*.*?\*/ | [\s:]+ )
    | (?P<quoted> "(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*' )
    | (?P<punctuation> [{}\[\],] )
    | (?P<word> [^\s{}\[\],:"'/]+ | . )
    """,
    re.VERBOSE | re.DOTALL,
)


def line_numbers(text: str) -> dict[FieldPath, int]:
    r"""Return the line number of each member and element.

    Any text is accepted; in text that is not JSON the paths are unspecified.

    Parameters
    ----------
    text : str
        JSON with comments.

    Returns
    -------
    dict of FieldPath to int
        Line number, from 1, by path; the empty path has line 1.

    Examples
    --------
    >>> line_numbers('{ // comment: 1\n log: {url: 1}}')[('log', 'url')]
    2
    >>> line_numbers('{ a: [2,\n 3]}')[('a', 1)]
    2
    """
    lines: dict[FieldPath, int] = {(): 1}
    tracker = _PathTracker(lines)
    for token_type, token, line in _tokenize(text):
        tracker.process_token(token_type, token, line)
    return lines


def line_of(path: FieldPath, lines: dict[FieldPath, int]) -> int:
    """Return the line number of a path or of its nearest known parent.

    Parameters
    ----------
    path : FieldPath
        Path of a value, which may be missing from the text.
    lines : dict of FieldPath to int
        Result of `line_numbers`.
    """
    while path not in lines:
        path = path[:-1]
    return lines[path]


def _tokenize(text: str) -> Iterator[tuple[str, str, int]]:
    line = 1
    for match in _TOKEN_PATTERN.finditer(text):
        token_type = match.lastgroup or 'skip'
        if token_type != 'skip':
            yield token_type, match.group(), line
        line += match.group().count('\n')


class _PathTracker:
    """Tracker of the path of the current token.

    Each open object or list adds one part to the path: the name of its current
    member, None before that name is read, or the index of its current element.

    Parameters
    ----------
    lines : dict of FieldPath to int
        Mapping to which the line of each new path is added.
    """

    def __init__(self, lines: dict[FieldPath, int]) -> None:
        self._lines = lines
        self._path_parts: list[str | int | None] = []
        self._is_object: list[bool] = []

    def process_token(self, token_type: str, token: str, line: int) -> None:
        """Update the path by one token and record the line of a new path.

        Parameters
        ----------
        token_type : {'quoted', 'punctuation', 'word'}
            Group of the token pattern that matched.
        token : str
            Text of the token.
        line : int
            Line number of the token, from 1.
        """
        if token_type != 'punctuation':
            self._add_value(token.strip('"\''), line)
        elif token in '{[':
            self._enter(token, line)
        elif token == ',':
            self._advance()
        elif self._path_parts:
            self._path_parts.pop()
            self._is_object.pop()

    def _add_value(self, token: str, line: int) -> None:
        if not self._path_parts:
            return
        if self._is_object[-1] and self._path_parts[-1] is None:
            self._path_parts[-1] = token
        self._record_line(line)

    def _enter(self, token: str, line: int) -> None:
        if self._path_parts:
            self._record_line(line)
        self._is_object.append(token == '{')
        self._path_parts.append(None if token == '{' else 0)

    def _advance(self) -> None:
        if not self._path_parts:
            return
        position = self._path_parts[-1]
        self._path_parts[-1] = (
            position + 1 if isinstance(position, int) else None
        )

    def _record_line(self, line: int) -> None:
        path = tuple(part for part in self._path_parts if part is not None)
        self._lines.setdefault(path, line)
