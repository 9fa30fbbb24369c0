"""Parsing and validation of a whole configuration document."""

import re
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.config._exception_rules import parse_exception
from verbenadeck.config._fields import (
    Problems,
    join_path,
    parse_fields,
    parse_mapping,
)
from verbenadeck.config._policy_rules import parse_policy
from verbenadeck.config._problems import ConfigProblem
from verbenadeck.model import ConfigDocument, ExceptionRule, OutOfService

MAX_TOTAL_SHARDS = 524_288
"""Maximum number of shards of all services; bounds the memory of a node."""

MAX_EXCEPTIONS = 1_000
"""Maximum number of exceptions in one document."""

_MAX_MOVES_PER_MINUTE = 1_000_000
_NAME_PATTERN = re.compile(r'[\w.:-]{1,100}')
_Parsed = TypeVar('_Parsed')
_Parser = Callable[[object, str, Problems], _Parsed | None]
CheckResult = Result[ConfigDocument, tuple[ConfigProblem, ...]]
"""Valid document, or all its problems."""


def check_document(raw: object) -> CheckResult:
    """Check a parsed document and build its typed form.

    Parameters
    ----------
    raw : object
        Document as parsed from JSON.

    Returns
    -------
    Result
        The document, or all its problems ordered by path.

    Examples
    --------
    >>> check_document({'zones_out': {'Suva': {'reason': ' '}}}).failure()
    (ConfigProblem(path='zones_out.Suva.reason', detail='must not be empty'),)
    """
    problems: Problems = []
    members = parse_mapping(raw, '', problems)
    parts: dict[str, Any] = {
        'services': _parse_named(members, 'services', parse_policy, problems),
        'exceptions': _parse_exceptions(members, problems),
        'zones_out': _parse_named(
            members, 'zones_out', _parse_out_of_service, problems
        ),
        'upstreams_out': _parse_named(
            members, 'upstreams_out', _parse_out_of_service, problems
        ),
    }
    scalars = {name: members[name] for name in members.keys() - parts.keys()}
    fields = parse_fields(ConfigDocument, scalars, '', problems)
    document = ConfigDocument(**parts, **fields)
    services = members.get('services', {})
    service_names = services if isinstance(services, dict) else {}
    problems.extend(_check_consistency(document, frozenset(service_names)))
    return Failure(tuple(sorted(problems))) if problems else Success(document)


def decode_document(payload: bytes) -> CheckResult:
    """Decode and check a document in the encoding of the log.

    Parameters
    ----------
    payload : bytes
        Document as JSON in UTF-8.

    Returns
    -------
    Result
        The document, or all its problems.
    """
    try:
        raw = msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure((ConfigProblem('(document)', str(error)),))
    return check_document(raw)


def encode_document(document: ConfigDocument) -> bytes:
    """Encode a document for the log.

    Parameters
    ----------
    document : ConfigDocument
        Document to encode.
    """
    return msgspec.json.encode(document)


def _parse_named(
    members: dict[str, Any],
    name: str,
    parser: _Parser[_Parsed],
    problems: Problems,
) -> dict[str, _Parsed]:
    """Parse an object whose members are parts of the same type, by name."""
    parsed: dict[str, _Parsed] = {}
    for key, raw in parse_mapping(
        members.get(name, {}), name, problems
    ).items():
        path = join_path(name, key)
        if not _NAME_PATTERN.fullmatch(key):
            problems.append(
                ConfigProblem(
                    path, 'must be 1 to 100 letters, digits or any of _ . : -'
                )
            )
        part = parser(raw, path, problems)
        if part is not None:
            parsed[key] = part
    return parsed


def _parse_out_of_service(
    raw: object, path: str, problems: Problems
) -> OutOfService | None:
    count_before = len(problems)
    fields = parse_fields(OutOfService, raw, path, problems)
    if 'reason' in fields and not fields['reason'].strip():
        reason_path = join_path(path, 'reason')
        problems.append(ConfigProblem(reason_path, 'must not be empty'))
    if len(problems) > count_before:
        return None
    return OutOfService(**fields)


def _parse_exceptions(
    members: dict[str, Any], problems: Problems
) -> tuple[ExceptionRule, ...]:
    raw = members.get('exceptions', ())
    if not isinstance(raw, list | tuple):
        problems.append(ConfigProblem('exceptions', 'must be a list'))
        return ()
    rules = [
        parse_exception(rule, f'exceptions[{index}]', problems)
        for index, rule in enumerate(raw)
    ]
    return tuple(rule for rule in rules if rule is not None)


def _check_consistency(
    document: ConfigDocument, services: frozenset[str]
) -> Iterable[ConfigProblem]:
    """Yield problems with unique names, references and document-wide limits."""
    names = Counter(rule.name for rule in document.exceptions)
    for name, count in sorted(names.items()):
        if count > 1:
            yield ConfigProblem(
                'exceptions', f'{name} is defined {count} times'
            )
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
