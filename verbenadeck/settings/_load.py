"""Reading of JSON files with comments into typed documents."""

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

_Checked = TypeVar('_Checked', bound=msgspec.Struct)
_FILE_LIMIT_BYTES = 4 * 1024 * 1024


def load_settings(path: str | Path) -> Result[NodeSettings, SettingsErrors]:
    """Read the settings of a node.

    Parameters
    ----------
    path : str or Path
        File in JSON with comments.

    Returns
    -------
    Result
        The settings, or every problem of the file with its line.
    """
    return read_file(path).bind(
        lambda text: parse_settings(text, source=str(path))
    )


def parse_settings(
    text: str, *, source: str = 'settings'
) -> Result[NodeSettings, SettingsErrors]:
    """Return the settings in a text; `source` names it in errors.

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
    kind: type[_Checked],
    *,
    constraints: ConstraintTable,
    relations: Callable[[_Checked], Iterable[SettingsProblem]],
    source: str,
) -> Result[_Checked, SettingsErrors]:
    """Parse JSON with comments into a struct and check all of it.

    Parameters
    ----------
    text : str
        JSON with comments.
    kind : type
        Type of the whole document.
    constraints : mapping
        Constraints of each type within it.
    relations : callable
        Yields problems between fields; called when the rest is right.
    source : str
        Name of the text in errors.

    Returns
    -------
    Result
        The document, or every problem with its line.
    """
    tree = parse_json(text, source=source)
    if not isinstance(tree, Success):
        return Failure(tree.failure())
    checked = check_raw(tree.unwrap(), kind, constraints)
    if not isinstance(checked, Success):
        return Failure(
            with_line_numbers(checked.failure(), text, source=source)
        )
    document = checked.unwrap()
    related = tuple(relations(document))
    if related:
        return Failure(with_line_numbers(related, text, source=source))
    return Success(document)


def parse_json(text: str, *, source: str) -> Result[object, SettingsErrors]:
    """Parse JSON with comments; a name that stands twice is an error."""
    try:
        tree: object = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Failure(_whole(source, f'is not JSON with comments: {error}'))
    return Success(tree)


def read_file(path: str | Path) -> Result[str, SettingsErrors]:
    """Return the text of a file of bounded size."""
    try:
        raw = _read_bounded(Path(path))
    except OSError as error:
        return Failure(_whole(str(path), f'is unreadable: {error.strerror}'))
    if len(raw) > _FILE_LIMIT_BYTES:
        limit = f'is larger than {_FILE_LIMIT_BYTES} bytes'
        return Failure(_whole(str(path), limit))
    try:
        return Success(raw.decode())
    except UnicodeDecodeError as error:
        return Failure(_whole(str(path), f'is not UTF-8: {error.reason}'))


def with_line_numbers(
    problems: Iterable[SettingsProblem], text: str, *, source: str
) -> SettingsErrors:
    """Return problems with the lines on which they stand, in order."""
    lines = line_numbers(text)
    placed = sorted((line_of(one.path, lines), one) for one in problems)
    return SettingsErrors(
        source,
        tuple(problem for _line, problem in placed),
        tuple(line for line, _problem in placed),
    )


def _read_bounded(path: Path) -> bytes:
    with path.open('rb') as stream:
        return stream.read(_FILE_LIMIT_BYTES + 1)


def _whole(source: str, text: str) -> SettingsErrors:
    return SettingsErrors(source, (SettingsProblem((), text),), (0,))
