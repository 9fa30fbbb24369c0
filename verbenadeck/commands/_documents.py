"""Configuration documents as files, checked with their lines."""

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

_STEP = re.compile(r'\[(\d+)\]|([^.\[\]]+)')
_WHOLE = '(document)'


class DocumentFile(msgspec.Struct, frozen=True):
    """A checked document and the top-level names that its file has.

    Parameters
    ----------
    document : ConfigDocument
        Document.
    named : frozenset of str
        Fields that the file names; the others stay as they are in force.
    """

    document: ConfigDocument
    named: frozenset[str]


def read_document(path: str) -> Result[DocumentFile, SettingsErrors]:
    """Read and check a document in JSON with comments."""
    text = read_file(path)
    if not isinstance(text, Success):
        return Failure(text.failure())
    return parse_document_file(text.unwrap(), source=path)


def parse_document_file(
    text: str, *, source: str
) -> Result[DocumentFile, SettingsErrors]:
    """Check a document in JSON with comments; `source` names it in errors.

    Examples
    --------
    >>> print(parse_document_file('{zones: {}}', source='a.json').failure())
    a.json:1: zones: is unknown
    """
    tree = parse_json(text, source=source)
    if not isinstance(tree, Success):
        return Failure(tree.failure())
    raw: Any = tree.unwrap()
    checked = check_document(raw)
    if not isinstance(checked, Success):
        problems = (_as_problem(one) for one in checked.failure())
        return Failure(with_line_numbers(problems, text, source=source))
    named = frozenset(str(name) for name in raw)
    return Success(DocumentFile(checked.unwrap(), named))


def invalid_file(errors: SettingsErrors) -> CommandError:
    """Return the error of a command for a wrong file."""
    return CommandError(ExitCode.INVALID, str(errors))


def _as_problem(problem: ConfigProblem) -> SettingsProblem:
    path = '' if problem.path == _WHOLE else problem.path
    return SettingsProblem(_split(path), problem.detail)


def _split(path: str) -> FieldPath:
    """Return the steps of a path.

    Examples
    --------
    >>> _split('exceptions[2].reason')
    ('exceptions', 2, 'reason')
    """
    return tuple(
        int(match.group(1)) if match.group(1) else match.group(2)
        for match in _STEP.finditer(path)
    )
