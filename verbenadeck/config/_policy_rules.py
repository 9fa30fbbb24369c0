"""Ranges of the policy of one service."""

import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from verbenadeck.config._fields import Problems, join_path, read_fields
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import ServicePolicy

MAX_SHARD_COUNT = 65_536
"""Most shards of one service."""

_MAX_TIMEOUT_S = 3_600.0
_MAX_QUEUE = 100_000
_MAX_KEEP_S = 604_800.0
_MAX_KEY_SPACE = 2**63
_METHOD = re.compile('[A-Z][A-Z0-9-]*')
_Check = Callable[[Any], bool]


def _is_power_of_two(count: int) -> bool:
    return 0 < count <= MAX_SHARD_COUNT and count & (count - 1) == 0


def _between(low: float, high: float) -> _Check:
    return lambda number: low <= number <= high


def _above_zero(high: float) -> _Check:
    return lambda number: 0 < number <= high


def _are_methods(methods: tuple[str, ...]) -> bool:
    return all(_METHOD.fullmatch(method) for method in methods)


_RULES: Mapping[str, tuple[_Check, str]] = MappingProxyType(
    {
        'shard_count': (
            _is_power_of_two,
            f'must be a power of two up to {MAX_SHARD_COUNT}',
        ),
        'request_timeout_s': (
            _above_zero(_MAX_TIMEOUT_S),
            f'must be above 0 and at most {_MAX_TIMEOUT_S:g}',
        ),
        'queue_limit': (
            _between(0, _MAX_QUEUE),
            f'must be from 0 to {_MAX_QUEUE}',
        ),
        'retry_ratio': (_between(0, 1), 'must be from 0 to 1'),
        'hedge_ratio': (_between(0, 1), 'must be from 0 to 1'),
        'hedge_quantile': (
            lambda quantile: 0 < quantile < 1,
            'must be above 0 and below 1',
        ),
        'ledger_keep_s': (
            _above_zero(_MAX_KEEP_S),
            f'must be above 0 and at most {_MAX_KEEP_S:g}',
        ),
        'key_space': (
            _between(0, _MAX_KEY_SPACE),
            f'must be from 0 to {_MAX_KEY_SPACE}',
        ),
        'repeatable_methods': (_are_methods, 'must be methods in upper case'),
    }
)


def check_policy_field(name: str, setting: object) -> str | None:
    """Return what is wrong with a well-typed setting, None when nothing."""
    check, detail = _RULES.get(name, (None, ''))
    is_fine = check is None or check(setting)
    return None if is_fine else detail


def read_policy(
    raw: object, path: str, problems: Problems
) -> ServicePolicy | None:
    """Return the policy of a service, None when something is wrong."""
    count_before = len(problems)
    known = read_fields(ServicePolicy, raw, path, problems)
    for name, setting in known.items():
        detail = check_policy_field(name, setting)
        if detail is not None:
            problems.append(ConfigProblem(join_path(path, name), detail))
    if len(problems) > count_before:
        return None
    return msgspec.convert(known, ServicePolicy)
