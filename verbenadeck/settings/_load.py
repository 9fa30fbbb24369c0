"""Reading and parsing of JSON files with comments into structs."""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TypeVar

import json5
import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.settings._checking import ConstraintTable, check_raw
from verbenadeck.settings._errors import SettingsErrors, SettingsProblem
from verbenadeck.settings._line_numbers import line_numbers, line_of
from verbenadeck.settings._node import (
    SETTINGS_CONSTRAINTS,
    NodeSettings,
    check_relations,
)

_Document = TypeVar('_Document', bound=msgspec.Struct)
_MAX_FILE_BYTES = 4 * 1024 * 1024


def load_settings(path: str | Path) -> Result[NodeSettings, SettingsErrors]:
    """Read, parse and check the settings file of a node.

    Parameters
    ----------
    path : str or Path
        Path of a file in JSON with comments.

    Returns
    -------
    Result
        The settings, or all problems of the file with their lines.
    """
    return read_file(path).bind(
        lambda text: parse_settings(text, source=str(path))
    )


def parse_settings(
    text: str, *, source: str = 'settings'
) -> Result[NodeSettings, SettingsErrors]:
    """Parse and check the settings of a node.

    Parameters
    ----------
    text : str
        JSON with comments.
    source : str
        Name of the text in errors.

    Returns
    -------
    Result
        The settings, or all problems of the text with their lines.

    Examples
    --------
    >>> print(parse_settings('{').failure().problems[0].text[:25])
    is not JSON with comments
    """
    return parse_struct(
        text,
        NodeSettings,
        constraints=SETTINGS_CONSTRAINTS,
        relations=check_relations,
        source=source,
    )


def parse_struct(
    text: str,
    struct_type: type[_Document],
    *,
    constraints: ConstraintTable,
    relations: Callable[[_Document], Iterable[SettingsProblem]],
    source: str,
) -> Result[_Document, SettingsErrors]:
    """Parse JSON with comments into a struct and check it.

    Parameters
    ----------
    text : str
        JSON with comments.
    struct_type : type
        Struct type of the whole document.
    constraints : mapping
        Constraints of each struct type within the document.
    relations : callable
        Function that yields the problems between fields; called only when
        each field is valid on its own.
    source : str
        Name of the text in errors.

    Returns
    -------
    Result
        The document, or all problems with their lines.
    """
    parsed = parse_json(text, source=source)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    checked = check_raw(parsed.unwrap(), struct_type, constraints)
    if not isinstance(checked, Success):
        return Failure(
            with_line_numbers(checked.failure(), text, source=source)
        )
    document = checked.unwrap()
    relation_problems = tuple(relations(document))
    if relation_problems:
        return Failure(
            with_line_numbers(relation_problems, text, source=source)
        )
    return Success(document)


def parse_json(text: str, *, source: str) -> Result[object, SettingsErrors]:
    """Parse JSON with comments.

    A duplicate name in an object is an error.

    Parameters
    ----------
    text : str
        JSON with comments.
    source : str
        Name of the text in errors.
    """
    try:
        raw: object = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Failure(
            _file_error(source, f'is not JSON with comments: {error}')
        )
    return Success(raw)


def read_file(path: str | Path) -> Result[str, SettingsErrors]:
    """Read a UTF-8 text file of at most 4 MiB.

    Parameters
    ----------
    path : str or Path
        Path of the file.
    """
    try:
        raw = _read_bounded(Path(path))
    except OSError as error:
        return Failure(
            _file_error(str(path), f'is unreadable: {error.strerror}')
        )
    if len(raw) > _MAX_FILE_BYTES:
        limit = f'is larger than {_MAX_FILE_BYTES} bytes'
        return Failure(_file_error(str(path), limit))
    try:
        return Success(raw.decode())
    except UnicodeDecodeError as error:
        return Failure(_file_error(str(path), f'is not UTF-8: {error.reason}'))


def with_line_numbers(
    problems: Iterable[SettingsProblem], text: str, *, source: str
) -> SettingsErrors:
    """Add line numbers to problems and sort them by line.

    Parameters
    ----------
    problems : iterable of SettingsProblem
        Problems found in the text.
    text : str
        JSON with comments.
    source : str
        Name of the text in errors.
    """
    lines = line_numbers(text)
    located = sorted(
        (line_of(problem.path, lines), problem) for problem in problems
    )
    return SettingsErrors(
        source,
        tuple(problem for _line, problem in located),
        tuple(line for line, _problem in located),
    )


def _read_bounded(path: Path) -> bytes:
    with path.open('rb') as stream:
        return stream.read(_MAX_FILE_BYTES + 1)


def _file_error(source: str, text: str) -> SettingsErrors:
    return SettingsErrors(source, (SettingsProblem((), text),), (0,))
