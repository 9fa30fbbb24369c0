"""Validation of parsed JSON against struct types and constraints."""

import enum
import inspect
import types
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Literal, TypeVar, get_args, get_origin

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.settings._constraints import (
    Constraints,
    find_broken_constraints,
)
from verbenadeck.settings._errors import SettingsProblem

_Document = TypeVar('_Document', bound=msgspec.Struct)
_TYPE_DESCRIPTIONS = types.MappingProxyType(
    {
        str: 'text',
        bool: 'true or false',
        int: 'a whole number',
        float: 'a number',
    }
)

ConstraintTable = Mapping[type[msgspec.Struct], Constraints]
"""Constraints of the fields of each struct type, by type."""


def check_raw(
    raw: object,
    struct_type: type[_Document],
    constraints: ConstraintTable,
) -> Result[_Document, tuple[SettingsProblem, ...]]:
    """Convert parsed JSON to a struct, or return all its problems.

    Parameters
    ----------
    raw : object
        Parsed JSON.
    struct_type : type
        Frozen struct type of the whole document.
    constraints : mapping
        Constraints of each struct type within the document.

    Returns
    -------
    Result
        The document, or its problems in a tuple that is never empty.
    """
    problems = tuple(_check_struct(raw, struct_type, constraints))
    if problems:
        return Failure(problems)
    return Success(msgspec.convert(raw, struct_type))


def _check_value(
    raw: object, expected_type: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    checker = _select_checker(expected_type)
    return checker(raw, expected_type, table)


def _check_struct(
    raw: object, expected_type: type[msgspec.Struct], table: ConstraintTable
) -> Iterator[SettingsProblem]:
    if not isinstance(raw, dict):
        yield SettingsProblem(
            (), f'must be an object {{...}}, not {_describe_value(raw)}'
        )
        return
    fields = {
        field.name: field for field in msgspec.structs.fields(expected_type)
    }
    yield from _check_names(raw, fields)
    rules = table.get(expected_type, {})
    for name in raw.keys() & fields.keys():
        type_problems = tuple(_check_value(raw[name], fields[name].type, table))
        yield from (problem.under(name) for problem in type_problems)
        if not type_problems and name in rules:
            yield from _check_constraint(name, raw[name], rules)


def _check_constraint(
    name: str, value: object, rules: Constraints
) -> Iterator[SettingsProblem]:
    holder = msgspec.defstruct('Holder', [(name, object)])
    yield from find_broken_constraints(holder(value), {name: rules[name]})


def _check_names(
    raw: dict[str, object], fields: Mapping[str, msgspec.structs.FieldInfo]
) -> Iterator[SettingsProblem]:
    for unknown in raw.keys() - fields.keys():
        known = ', '.join(fields)
        yield SettingsProblem((unknown,), f'is unknown; known are: {known}')
    for name, field in fields.items():
        if field.required and name not in raw:
            yield SettingsProblem((name,), 'is missing')


def _check_mapping(
    raw: object, expected_type: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    if not isinstance(raw, dict):
        yield SettingsProblem(
            (), f'must be an object {{...}}, not {_describe_value(raw)}'
        )
        return
    element_type = get_args(expected_type)[1]
    for name, element in raw.items():
        for problem in _check_value(element, element_type, table):
            yield problem.under(name)


def _check_list(
    raw: object, expected_type: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    if not isinstance(raw, list):
        yield SettingsProblem(
            (), f'must be a list [...], not {_describe_value(raw)}'
        )
        return
    element_type = get_args(expected_type)[0]
    for index, element in enumerate(raw):
        for problem in _check_value(element, element_type, table):
            yield problem.under(index)


def _check_scalar(
    raw: object, expected_type: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    try:
        msgspec.convert(raw, expected_type)
    except msgspec.ValidationError:
        yield SettingsProblem(
            (),
            f'must be {_describe_type(expected_type)}, not {_describe_value(raw)}',
        )


_Checker = Callable[[object, Any, ConstraintTable], Iterator[SettingsProblem]]


def _select_checker(expected_type: Any) -> _Checker:
    if inspect.isclass(expected_type) and issubclass(
        expected_type, msgspec.Struct
    ):
        return _check_struct
    containers: dict[Any, _Checker] = {
        dict: _check_mapping,
        tuple: _check_list,
    }
    return containers.get(get_origin(expected_type), _check_scalar)


def _describe_type(expected_type: Any) -> str:
    if inspect.isclass(expected_type) and issubclass(expected_type, enum.Enum):
        return _describe_choices(member.value for member in expected_type)
    if get_origin(expected_type) is Literal:
        return _describe_choices(get_args(expected_type))
    part_types = get_args(expected_type) or (expected_type,)
    descriptions = (
        _TYPE_DESCRIPTIONS.get(_unwrap_new_type(part_type))
        for part_type in part_types
    )
    return ' or '.join(dict.fromkeys(name for name in descriptions if name))


def _unwrap_new_type(part_type: Any) -> Any:
    return getattr(part_type, '__supertype__', part_type)


def _describe_choices(allowed: Iterable[object]) -> str:
    return 'one of: {}'.format(', '.join(str(option) for option in allowed))


def _describe_value(raw: object) -> str:
    if isinstance(raw, dict):
        return 'an object'
    if isinstance(raw, list):
        return 'a list'
    return msgspec.json.encode(raw).decode()
