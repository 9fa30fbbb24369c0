"""Reads structs field by field, so that all problems show at once."""

from typing import Any

import msgspec

from verbenadeck.config._problems import ConfigProblem

Problems = list[ConfigProblem]


def join_path(path: str, name: object) -> str:
    """Return the path of a member of what stands at a path."""
    return f'{path}.{name}' if path else str(name)


def read_mapping(raw: object, path: str, problems: Problems) -> dict[str, Any]:
    """Return a mapping with string keys, empty when it is none."""
    if not isinstance(raw, dict):
        problems.append(ConfigProblem(path or '(document)', 'is no object'))
        return {}
    return {str(name): setting for name, setting in raw.items()}


def read_fields(
    kind: type[msgspec.Struct],
    raw: object,
    path: str,
    problems: Problems,
) -> dict[str, Any]:
    """Return the well-typed fields of a struct and note all others.

    Parameters
    ----------
    kind : type of msgspec.Struct
        Struct whose fields are expected.
    raw : object
        Value as parsed.
    path : str
        Where it stands.
    problems : list of ConfigProblem
        Gets what is wrong.
    """
    found = read_mapping(raw, path, problems)
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for name in sorted(found.keys() - fields.keys()):
        problems.append(ConfigProblem(join_path(path, name), 'is unknown'))
    known: dict[str, Any] = {}
    for name, field in fields.items():
        is_there = name in found
        if is_there:
            _read_field(field, found.pop(name), path, known, problems)
        elif field.required and isinstance(raw, dict):
            problems.append(ConfigProblem(join_path(path, name), 'is missing'))
    return known


def _read_field(
    field: msgspec.structs.FieldInfo,
    raw: object,
    path: str,
    known: dict[str, Any],
    problems: Problems,
) -> None:
    try:
        known[field.name] = msgspec.convert(raw, field.type)
    except msgspec.ValidationError as error:
        where = join_path(path, field.name)
        problems.append(ConfigProblem(where, str(error)))
