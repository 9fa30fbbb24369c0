"""Validation of exceptions to the fleet-wide defaults."""

import math
from types import MappingProxyType
from typing import Any

import msgspec

from verbenadeck.config._fields import Problems, join_path, parse_fields
from verbenadeck.config._policy_rules import check_policy_field
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import ExceptionRule, ServicePolicy

FLEET_WIDE_FIELDS = frozenset(('is_keyed', 'shard_count'))
"""Fields that must be equal on all nodes, so no exception may set them."""

_POLICY_FIELD_TYPES = MappingProxyType(
    {field.name: field.type for field in msgspec.structs.fields(ServicePolicy)}
)
_SCOPE_FIELDS = ('service', 'zone', 'upstream')


def parse_policy_value(field: str, setting: float | bool | str) -> Any:
    """Convert a setting to the type of its field of `ServicePolicy`.

    Parameters
    ----------
    field : str
        Name of the field.
    setting : float, bool or str
        Value as written in an exception; HTTP methods are separated by
        commas.

    Returns
    -------
    Any
        Value of the type of the field.

    Raises
    ------
    msgspec.ValidationError
        When the setting cannot be converted to the type of the field.

    Examples
    --------
    >>> parse_policy_value('queue_limit', 8.0)
    8
    >>> parse_policy_value('repeatable_methods', 'GET, HEAD')
    ('GET', 'HEAD')
    """
    raw: object = setting
    if field == 'repeatable_methods' and isinstance(setting, str):
        raw = [method.strip() for method in setting.split(',')]
    elif isinstance(setting, float) and setting.is_integer():
        raw = int(setting)
    return msgspec.convert(raw, _POLICY_FIELD_TYPES[field])


def parse_exception(
    raw: object, path: str, problems: Problems
) -> ExceptionRule | None:
    """Parse and check an exception.

    Parameters
    ----------
    raw : object
        Value as parsed from JSON.
    path : str
        Path of the exception in the document.
    problems : list of ConfigProblem
        List to which the problems found are appended.

    Returns
    -------
    ExceptionRule or None
        The exception, None when it has a problem.
    """
    count_before = len(problems)
    parsed = parse_fields(ExceptionRule, raw, path, problems)
    details = {
        'name': _check_text(parsed.get('name')),
        'reason': _check_text(parsed.get('reason')),
        'field': _check_field(parsed.get('field')),
        'setting': _check_setting(parsed),
        'ends_at_s': _check_end_time(parsed.get('ends_at_s')),
    }
    for name, detail in details.items():
        if detail:
            problems.append(ConfigProblem(join_path(path, name), detail))
    if not any(parsed.get(scope) for scope in _SCOPE_FIELDS):
        detail = 'needs a service, a zone or an upstream'
        problems.append(ConfigProblem(path, detail))
    if len(problems) > count_before:
        return None
    return msgspec.convert(parsed, ExceptionRule)


def _check_text(text: str | None) -> str:
    is_blank = text is not None and not text.strip()
    return 'must not be empty' if is_blank else ''


def _check_field(field: str | None) -> str:
    if field is None:
        return ''
    if field in FLEET_WIDE_FIELDS:
        return f'{field} must be the same in the whole fleet'
    return '' if field in _POLICY_FIELD_TYPES else f'{field} is no policy field'


def _check_setting(parsed: dict[str, Any]) -> str:
    field = str(parsed.get('field'))
    if field not in _POLICY_FIELD_TYPES or 'setting' not in parsed:
        return ''
    try:
        setting = parse_policy_value(field, parsed['setting'])
    except msgspec.ValidationError as error:
        return str(error)
    return check_policy_field(field, setting) or ''


def _check_end_time(ends_at_s: float | None) -> str:
    is_valid = ends_at_s is None or (math.isfinite(ends_at_s) and ends_at_s > 0)
    return '' if is_valid else 'must be a Unix time in seconds'
