"""Rules for exceptions to the fleet-wide defaults."""

import math
from types import MappingProxyType
from typing import Any

import msgspec

from verbenadeck.config._fields import Problems, join_path, read_fields
from verbenadeck.config._policy_rules import check_policy_field
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import ExceptionRule, ServicePolicy

FLEET_WIDE_FIELDS = frozenset(('is_keyed', 'shard_count'))
"""Fields that every node must read alike, so no exception may set them."""

_POLICY_TYPES = MappingProxyType(
    {field.name: field.type for field in msgspec.structs.fields(ServicePolicy)}
)
_SCOPES = ('service', 'zone', 'upstream')


def parse_policy_value(field: str, setting: float | bool | str) -> Any:
    """Return a setting in the type of its field of `ServicePolicy`.

    Methods are written with commas between them.

    Raises
    ------
    msgspec.ValidationError
        When the setting has the wrong type.

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
    return msgspec.convert(raw, _POLICY_TYPES[field])


def read_exception(
    raw: object, path: str, problems: Problems
) -> ExceptionRule | None:
    """Return an exception, None when something is wrong with it."""
    count_before = len(problems)
    known = read_fields(ExceptionRule, raw, path, problems)
    details = {
        'name': _check_text(known.get('name')),
        'reason': _check_text(known.get('reason')),
        'field': _check_field(known.get('field')),
        'setting': _check_setting(known),
        'ends_at_s': _check_end(known.get('ends_at_s')),
    }
    for name, detail in details.items():
        if detail:
            problems.append(ConfigProblem(join_path(path, name), detail))
    if not any(known.get(scope) for scope in _SCOPES):
        detail = 'needs a service, a zone or an upstream'
        problems.append(ConfigProblem(path, detail))
    if len(problems) > count_before:
        return None
    return msgspec.convert(known, ExceptionRule)


def _check_text(text: str | None) -> str:
    is_blank = text is not None and not text.strip()
    return 'must not be empty' if is_blank else ''


def _check_field(field: str | None) -> str:
    if field is None:
        return ''
    if field in FLEET_WIDE_FIELDS:
        return f'{field} is the same in the whole fleet'
    return '' if field in _POLICY_TYPES else f'{field} is no policy field'


def _check_setting(known: dict[str, Any]) -> str:
    field = str(known.get('field'))
    if field not in _POLICY_TYPES or 'setting' not in known:
        return ''
    try:
        setting = parse_policy_value(field, known['setting'])
    except msgspec.ValidationError as error:
        return str(error)
    return check_policy_field(field, setting) or ''


def _check_end(ends_at_s: float | None) -> str:
    is_fine = ends_at_s is None or (math.isfinite(ends_at_s) and ends_at_s > 0)
    return '' if is_fine else 'must be a Unix time in seconds'
