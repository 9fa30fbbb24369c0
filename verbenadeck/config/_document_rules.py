"""Rules for a whole configuration document."""

import re
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.config._exception_rules import read_exception
from verbenadeck.config._fields import (
    Problems,
    join_path,
    read_fields,
    read_mapping,
)
from verbenadeck.config._policy_rules import read_policy
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import ConfigDocument, ExceptionRule, OutOfService

MAX_TOTAL_SHARDS = 524_288
"""Most shards of all services together; bounds memory of every node."""

MAX_EXCEPTIONS = 1_000
"""Most exceptions in one document."""

_MAX_MOVES_PER_MINUTE = 1_000_000
_NAME = re.compile(r'[\w.:-]{1,100}')
_Read = TypeVar('_Read')
_Reader = Callable[[object, str, Problems], _Read | None]
CheckResult = Result[ConfigDocument, tuple[ConfigProblem, ...]]
"""A checked document, or all that is wrong with it."""


def check_document(raw: object) -> CheckResult:
    """Check a parsed document in full.

    Parameters
    ----------
    raw : object
        Document as parsed from JSON.

    Examples
    --------
    >>> check_document({'zones_out': {'Suva': {'reason': ' '}}}).failure()
    (ConfigProblem(path='zones_out.Suva.reason', detail='must not be empty'),)
    """
    problems: Problems = []
    found = read_mapping(raw, '', problems)
    parts: dict[str, Any] = {
        'services': _read_named(found, 'services', read_policy, problems),
        'exceptions': _read_exceptions(found, problems),
        'zones_out': _read_named(found, 'zones_out', _read_out, problems),
        'upstreams_out': _read_named(
            found, 'upstreams_out', _read_out, problems
        ),
    }
    plain = {name: found[name] for name in found.keys() - parts.keys()}
    known = read_fields(ConfigDocument, plain, '', problems)
    document = ConfigDocument(**parts, **known)
    services = found.get('services', {})
    named = services if isinstance(services, dict) else {}
    problems.extend(_check_whole(document, frozenset(named)))
    return Failure(tuple(sorted(problems))) if problems else Success(document)


def decode_document(payload: bytes) -> CheckResult:
    """Read and check a document as it stands in the log."""
    try:
        raw = msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure((ConfigProblem('(document)', str(error)),))
    return check_document(raw)


def encode_document(document: ConfigDocument) -> bytes:
    """Return a document as it goes into the log."""
    return msgspec.json.encode(document)


def _read_named(
    found: dict[str, Any],
    name: str,
    reader: _Reader[_Read],
    problems: Problems,
) -> dict[str, _Read]:
    """Read a mapping from names to parts."""
    read: dict[str, _Read] = {}
    for key, raw in read_mapping(found.get(name, {}), name, problems).items():
        path = join_path(name, key)
        if not _NAME.fullmatch(key):
            problems.append(ConfigProblem(path, 'is no name'))
        part = reader(raw, path, problems)
        if part is not None:
            read[key] = part
    return read


def _read_out(
    raw: object, path: str, problems: Problems
) -> OutOfService | None:
    count_before = len(problems)
    known = read_fields(OutOfService, raw, path, problems)
    if 'reason' in known and not known['reason'].strip():
        where = join_path(path, 'reason')
        problems.append(ConfigProblem(where, 'must not be empty'))
    if len(problems) > count_before:
        return None
    return OutOfService(**known)


def _read_exceptions(
    found: dict[str, Any], problems: Problems
) -> tuple[ExceptionRule, ...]:
    raw = found.get('exceptions', ())
    if not isinstance(raw, list | tuple):
        problems.append(ConfigProblem('exceptions', 'is no list'))
        return ()
    rules = [
        read_exception(rule, f'exceptions[{index}]', problems)
        for index, rule in enumerate(raw)
    ]
    return tuple(rule for rule in rules if rule is not None)


def _check_whole(
    document: ConfigDocument, services: frozenset[str]
) -> Iterable[ConfigProblem]:
    """Yield problems that show only in the document as a whole."""
    names = Counter(rule.name for rule in document.exceptions)
    for name, count in sorted(names.items()):
        if count > 1:
            yield ConfigProblem('exceptions', f'{name} is there {count} times')
    for rule in document.exceptions:
        if rule.service and rule.service not in services:
            detail = f'{rule.name} names unknown service {rule.service}'
            yield ConfigProblem('exceptions', detail)
    if len(document.exceptions) > MAX_EXCEPTIONS:
        detail = f'has more than {MAX_EXCEPTIONS} rules'
        yield ConfigProblem('exceptions', detail)
    policies = document.services.values()
    if sum(policy.shard_count for policy in policies) > MAX_TOTAL_SHARDS:
        detail = f'have more than {MAX_TOTAL_SHARDS} shards together'
        yield ConfigProblem('services', detail)
    if not 0 <= document.moves_per_minute <= _MAX_MOVES_PER_MINUTE:
        detail = f'must be from 0 to {_MAX_MOVES_PER_MINUTE}'
        yield ConfigProblem('moves_per_minute', detail)
