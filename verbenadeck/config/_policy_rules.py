"""Allowed values of the fields of a service policy."""

import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from verbenadeck.config._fields import Problems, join_path, parse_fields
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import ServicePolicy

MAX_SHARD_COUNT = 65_536
"""Maximum number of shards of one service."""

_MAX_REQUEST_TIMEOUT_S = 3_600.0
_MAX_QUEUE_LIMIT = 100_000
_MAX_LEDGER_KEEP_S = 604_800.0
_MAX_KEY_SPACE = 2**63
_METHOD_PATTERN = re.compile('[A-Z][A-Z0-9-]*')
_Predicate = Callable[[Any], bool]


def _is_power_of_two(count: int) -> bool:
    return 0 < count <= MAX_SHARD_COUNT and count & (count - 1) == 0


def _in_range(low: float, high: float) -> _Predicate:
    return lambda number: low <= number <= high


def _positive_up_to(high: float) -> _Predicate:
    return lambda number: 0 < number <= high


def _are_http_methods(methods: tuple[str, ...]) -> bool:
    return all(_METHOD_PATTERN.fullmatch(method) for method in methods)


_FIELD_RULES: Mapping[str, tuple[_Predicate, str]] = MappingProxyType(
    {
        'shard_count': (
            _is_power_of_two,
            f'must be a power of two up to {MAX_SHARD_COUNT}',
        ),
        'request_timeout_s': (
            _positive_up_to(_MAX_REQUEST_TIMEOUT_S),
            f'must be above 0 and at most {_MAX_REQUEST_TIMEOUT_S:g}',
        ),
        'queue_limit': (
            _in_range(0, _MAX_QUEUE_LIMIT),
            f'must be from 0 to {_MAX_QUEUE_LIMIT}',
        ),
        'retry_ratio': (_in_range(0, 1), 'must be from 0 to 1'),
        'hedge_ratio': (_in_range(0, 1), 'must be from 0 to 1'),
        'hedge_quantile': (
            lambda quantile: 0 < quantile < 1,
            'must be above 0 and below 1',
        ),
        'ledger_keep_s': (
            _positive_up_to(_MAX_LEDGER_KEEP_S),
            f'must be above 0 and at most {_MAX_LEDGER_KEEP_S:g}',
        ),
        'key_space': (
            _in_range(0, _MAX_KEY_SPACE),
            f'must be from 0 to {_MAX_KEY_SPACE}',
        ),
        'repeatable_methods': (
            _are_http_methods,
            'must be HTTP methods in upper case',
        ),
    }
)


def check_policy_field(name: str, setting: object) -> str | None:
    """Check the value of a policy field against its allowed range.

    Parameters
    ----------
    name : str
        Name of the field of `ServicePolicy`.
    setting : object
        Value, already of the type of the field.

    Returns
    -------
    str or None
        Description of the problem, None when the value is allowed.
    """
    is_allowed, detail = _FIELD_RULES.get(name, (None, ''))
    is_valid = is_allowed is None or is_allowed(setting)
    return None if is_valid else detail


def parse_policy(
    raw: object, path: str, problems: Problems
) -> ServicePolicy | None:
    """Parse and check the policy of a service.

    Parameters
    ----------
    raw : object
        Value as parsed from JSON.
    path : str
        Path of the policy in the document.
    problems : list of ConfigProblem
        List to which the problems found are appended.

    Returns
    -------
    ServicePolicy or None
        The policy, None when it has a problem.
    """
    count_before = len(problems)
    parsed = parse_fields(ServicePolicy, raw, path, problems)
    for name, setting in parsed.items():
        detail = check_policy_field(name, setting)
        if detail is not None:
            problems.append(ConfigProblem(join_path(path, name), detail))
    if len(problems) > count_before:
        return None
    return msgspec.convert(parsed, ServicePolicy)
