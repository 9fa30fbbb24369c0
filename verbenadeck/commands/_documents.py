"""Configuration document files, with line numbers in error messages."""

import re
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.config import ConfigProblem, check_document
from verbenadeck.model import ConfigDocument
from verbenadeck.settings import (
    FieldPath,
    SettingsErrors,
    SettingsProblem,
    parse_json,
    read_file,
    with_line_numbers,
)

_PATH_STEP_PATTERN = re.compile(r'\[(\d+)\]|([^.\[\]]+)')
_WHOLE_DOCUMENT_PATH = '(document)'


class DocumentFile(msgspec.Struct, frozen=True):
    """Valid document with the top-level fields that its file sets.

    Parameters
    ----------
    document : ConfigDocument
        Document, with defaults for the fields that the file does not set.
    named_fields : frozenset of str
        Fields that the file sets; publishing leaves the others unchanged.
    """

    document: ConfigDocument
    named_fields: frozenset[str]


def read_document_file(path: str) -> Result[DocumentFile, SettingsErrors]:
    """Read and validate a document file in JSON with comments.

    Parameters
    ----------
    path : str
        Path of the file.
    """
    text = read_file(path)
    if not isinstance(text, Success):
        return Failure(text.failure())
    return parse_document_file(text.unwrap(), source=path)


def parse_document_file(
    text: str, *, source: str
) -> Result[DocumentFile, SettingsErrors]:
    """Parse and validate a document in JSON with comments.

    Parameters
    ----------
    text : str
        Text of the document.
    source : str
        Name of the file, for error messages.

    Examples
    --------
    >>> print(parse_document_file('{zones: {}}', source='a.json').failure())
    a.json:1: zones: is unknown
    """
    tree = parse_json(text, source=source)
    if not isinstance(tree, Success):
        return Failure(tree.failure())
    json_tree: Any = tree.unwrap()
    checked = check_document(json_tree)
    if not isinstance(checked, Success):
        problems = (
            _make_settings_problem(config_problem)
            for config_problem in checked.failure()
        )
        return Failure(with_line_numbers(problems, text, source=source))
    named_fields = frozenset(str(name) for name in json_tree)
    return Success(DocumentFile(checked.unwrap(), named_fields))


def make_invalid_file_error(errors: SettingsErrors) -> CommandError:
    """Return the command error for an invalid file.

    Parameters
    ----------
    errors : SettingsErrors
        Problems of the file with their line numbers.
    """
    return CommandError(ExitCode.INVALID, str(errors))


def _make_settings_problem(problem: ConfigProblem) -> SettingsProblem:
    path = '' if problem.path == _WHOLE_DOCUMENT_PATH else problem.path
    return SettingsProblem(_split_path(path), problem.detail)


def _split_path(path: str) -> FieldPath:
    """Split a path into field names and list indexes.

    Examples
    --------
    >>> _split_path('exceptions[2].reason')
    ('exceptions', 2, 'reason')
    """
    return tuple(
        int(match.group(1)) if match.group(1) else match.group(2)
        for match in _PATH_STEP_PATTERN.finditer(path)
    )
