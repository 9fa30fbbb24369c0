"""Conversion of structs field by field, to report all problems at once."""

from typing import Any

import msgspec

from verbenadeck.config._problems import ConfigProblem

Problems = list[ConfigProblem]
"""List to which the parsing functions append the problems that they find."""


def join_path(path: str, name: object) -> str:
    """Return the path of a member of the object at a path.

    Parameters
    ----------
    path : str
        Path of the object; empty for the whole document.
    name : object
        Name of the member.
    """
    return f'{path}.{name}' if path else str(name)


def parse_mapping(raw: object, path: str, problems: Problems) -> dict[str, Any]:
    """Return the members of an object, empty when the value is no object.

    Parameters
    ----------
    raw : object
        Value as parsed from JSON.
    path : str
        Path of the value; empty for the whole document.
    problems : list of ConfigProblem
        List to which a problem is appended when the value is no object.
    """
    if not isinstance(raw, dict):
        problems.append(
            ConfigProblem(path or '(document)', 'must be an object')
        )
        return {}
    return {str(name): setting for name, setting in raw.items()}


def parse_fields(
    struct_type: type[msgspec.Struct],
    raw: object,
    path: str,
    problems: Problems,
) -> dict[str, Any]:
    """Return the valid fields of a struct and report all other members.

    Parameters
    ----------
    struct_type : type of msgspec.Struct
        Struct type that declares the fields.
    raw : object
        Value as parsed from JSON.
    path : str
        Path of the value in the document.
    problems : list of ConfigProblem
        List to which unknown, missing and wrongly typed fields are appended.

    Returns
    -------
    dict of str to Any
        Fields of the right type, by name.
    """
    members = parse_mapping(raw, path, problems)
    fields = {
        field.name: field for field in msgspec.structs.fields(struct_type)
    }
    for name in sorted(members.keys() - fields.keys()):
        problems.append(ConfigProblem(join_path(path, name), 'is unknown'))
    parsed: dict[str, Any] = {}
    for name, field in fields.items():
        is_present = name in members
        if is_present:
            _parse_field(field, members.pop(name), path, parsed, problems)
        elif field.required and isinstance(raw, dict):
            problems.append(ConfigProblem(join_path(path, name), 'is missing'))
    return parsed


def _parse_field(
    field: msgspec.structs.FieldInfo,
    raw: object,
    path: str,
    parsed: dict[str, Any],
    problems: Problems,
) -> None:
    try:
        parsed[field.name] = msgspec.convert(raw, field.type)
    except msgspec.ValidationError as error:
        field_path = join_path(path, field.name)
        problems.append(ConfigProblem(field_path, str(error)))
