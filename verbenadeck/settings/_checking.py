"""Checks of whole documents against their types and constraints."""

import enum
import inspect
import types
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Literal, TypeVar, get_args, get_origin

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.settings._constraints import Constraints, broken_constraints
from verbenadeck.settings._errors import SettingsProblem

_Checked = TypeVar('_Checked', bound=msgspec.Struct)
_KINDS = types.MappingProxyType(
    {
        str: 'text',
        bool: 'true or false',
        int: 'a whole number',
        float: 'a number',
    }
)

ConstraintTable = Mapping[type[msgspec.Struct], Constraints]
"""Constraints of each type, by field."""


def check_raw(
    tree: object,
    kind: type[_Checked],
    constraints: ConstraintTable,
) -> Result[_Checked, tuple[SettingsProblem, ...]]:
    """Build a document from parsed JSON, or return all its problems.

    Parameters
    ----------
    tree : object
        Parsed JSON.
    kind : type
        Type of the whole document, a frozen struct.
    constraints : mapping
        Constraints of each type within it.

    Returns
    -------
    Result
        The document, or its problems, never an empty tuple.
    """
    problems = tuple(_check_struct(tree, kind, constraints))
    if problems:
        return Failure(problems)
    return Success(msgspec.convert(tree, kind))


def _check(
    tree: object, wanted: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    checker = _checker_of(wanted)
    return checker(tree, wanted, table)


def _check_struct(
    tree: object, wanted: type[msgspec.Struct], table: ConstraintTable
) -> Iterator[SettingsProblem]:
    if not isinstance(tree, dict):
        yield SettingsProblem(
            (), f'must be an object {{...}}, not {_shown(tree)}'
        )
        return
    fields = {field.name: field for field in msgspec.structs.fields(wanted)}
    yield from _names(tree, fields)
    rules = table.get(wanted, {})
    for name in tree.keys() & fields.keys():
        wrong = tuple(_check(tree[name], fields[name].type, table))
        yield from (problem.under(name) for problem in wrong)
        if not wrong and name in rules:
            yield from _constrained(name, tree[name], rules)


def _constrained(
    name: str, checked: object, rules: Constraints
) -> Iterator[SettingsProblem]:
    holder = msgspec.defstruct('Holder', [(name, object)])
    yield from broken_constraints(holder(checked), {name: rules[name]})


def _names(
    tree: dict[str, object], fields: Mapping[str, msgspec.structs.FieldInfo]
) -> Iterator[SettingsProblem]:
    for unknown in tree.keys() - fields.keys():
        known = ', '.join(fields)
        yield SettingsProblem((unknown,), f'is unknown; known are: {known}')
    for name, field in fields.items():
        if field.required and name not in tree:
            yield SettingsProblem((name,), 'is missing')


def _check_mapping(
    tree: object, wanted: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    if not isinstance(tree, dict):
        yield SettingsProblem(
            (), f'must be an object {{...}}, not {_shown(tree)}'
        )
        return
    element = get_args(wanted)[1]
    for name, inner in tree.items():
        for problem in _check(inner, element, table):
            yield problem.under(name)


def _check_list(
    tree: object, wanted: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    if not isinstance(tree, list):
        yield SettingsProblem((), f'must be a list [...], not {_shown(tree)}')
        return
    element = get_args(wanted)[0]
    for index, inner in enumerate(tree):
        for problem in _check(inner, element, table):
            yield problem.under(index)


def _check_scalar(
    tree: object, wanted: Any, table: ConstraintTable
) -> Iterator[SettingsProblem]:
    try:
        msgspec.convert(tree, wanted)
    except msgspec.ValidationError:
        yield SettingsProblem(
            (), f'must be {_wanted(wanted)}, not {_shown(tree)}'
        )


_Checker = Callable[[object, Any, ConstraintTable], Iterator[SettingsProblem]]


def _checker_of(wanted: Any) -> _Checker:
    if inspect.isclass(wanted) and issubclass(wanted, msgspec.Struct):
        return _check_struct
    containers: dict[Any, _Checker] = {
        dict: _check_mapping,
        tuple: _check_list,
    }
    return containers.get(get_origin(wanted), _check_scalar)


def _wanted(wanted: Any) -> str:
    if inspect.isclass(wanted) and issubclass(wanted, enum.Enum):
        return _one_of(member.value for member in wanted)
    if get_origin(wanted) is Literal:
        return _one_of(get_args(wanted))
    parts = get_args(wanted) or (wanted,)
    names = (_KINDS.get(_plain(part)) for part in parts)
    return ' or '.join(dict.fromkeys(name for name in names if name))


def _plain(part: Any) -> Any:
    return getattr(part, '__supertype__', part)


def _one_of(allowed: Iterable[object]) -> str:
    return 'one of: {}'.format(', '.join(str(option) for option in allowed))


def _shown(tree: object) -> str:
    if isinstance(tree, dict):
        return 'an object'
    if isinstance(tree, list):
        return 'a list'
    return msgspec.json.encode(tree).decode()
