from types import MappingProxyType
from typing import Any

import msgspec
import pytest

from verbenadeck.config import (
    check_document,
    decode_document,
    encode_document,
    parse_document,
)
from verbenadeck.config.tests.builders import make_document, make_rule
from verbenadeck.model import OutOfService, Zone

_VALID_RULE = MappingProxyType(
    {
        'name': 'slow',
        'reason': 'line work',
        'field': 'queue_limit',
        'setting': 8,
        'zone': 'nadi',
    }
)
_JSON_WITH_COMMENTS = """
// Fleet-wide defaults.
{
  services: {
    holds: {is_keyed: true, shard_count: 8}, /* by key */
  },
  "moves_per_minute": 30,
}
"""


def _problem_paths(raw: object) -> list[str]:
    problems = check_document(raw).failure()
    return [problem.path for problem in problems]


def _document_with_exception(**changes: Any) -> dict[str, Any]:
    """Return a raw document with one exception; `...` removes a field."""
    rule = {**_VALID_RULE, **changes}
    kept = {name: rule[name] for name in rule if rule[name] is not ...}
    return {'services': {'holds': {}}, 'exceptions': [kept]}


def test_decoding_an_encoded_document_returns_an_equal_document() -> None:
    out = {Zone('suva'): OutOfService('flood', 5)}
    document = make_document(make_rule(), zones_out=out)
    assert decode_document(encode_document(document)).unwrap() == document


def test_parse_document_accepts_json_with_comments() -> None:
    document = parse_document(_JSON_WITH_COMMENTS).unwrap()
    assert document.moves_per_minute == 30
    assert document.services == make_document().services


@pytest.mark.parametrize(
    'text',
    (
        '',
        '{',
        '[]',
        'null',
        '3',
        '{moves_per_minute: 1, moves_per_minute: 2}',
        '{services: {holds: {}, holds: {}}}',
        '{services: {holds: {retry_ratio: NaN}}}',
        '{services: {holds: {request_timeout_s: Infinity}}}',
        '[' * 3000,
    ),
)
def test_parse_document_rejects_text_that_is_not_a_valid_document(
    text: str,
) -> None:
    assert parse_document(text).failure()


def test_check_document_reports_all_problems_at_once() -> None:
    raw = {
        'services': {
            'holds': {'shard_count': 12, 'queue_limit': 'long', 'colour': 1},
            'a b': {},
        },
        'exceptions': [
            {'name': 'x', 'reason': ' ', 'field': 'nope', 'setting': 1},
        ],
        'zones_out': {'suva': {}},
        'upstreams_out': [],
        'moves_per_minute': -1,
        'extra': None,
    }
    assert _problem_paths(raw) == [
        'exceptions[0]',
        'exceptions[0].field',
        'exceptions[0].reason',
        'extra',
        'moves_per_minute',
        'services.a b',
        'services.holds.colour',
        'services.holds.queue_limit',
        'services.holds.shard_count',
        'upstreams_out',
        'zones_out.suva.reason',
    ]


@pytest.mark.parametrize(
    ('field', 'invalid_value'),
    (
        ('shard_count', 0),
        ('shard_count', 3),
        ('shard_count', 131_072),
        ('shard_count', True),
        ('request_timeout_s', 0),
        ('request_timeout_s', 3601),
        ('queue_limit', -1),
        ('queue_limit', 1.5),
        ('retry_ratio', 1.1),
        ('hedge_ratio', -0.1),
        ('hedge_quantile', 1),
        ('ledger_keep_s', 0),
        ('is_keyed', 1),
        ('checks_fences', 'yes'),
        ('repeatable_methods', ['get']),
        ('repeatable_methods', 'GET'),
    ),
)
def test_check_document_reports_the_path_of_an_invalid_policy_field(
    field: str, invalid_value: object
) -> None:
    raw = {'services': {'holds': {field: invalid_value}}}
    assert _problem_paths(raw) == [f'services.holds.{field}']


@pytest.mark.parametrize(
    ('changes', 'path'),
    (
        ({'reason': ''}, 'exceptions[0].reason'),
        ({'reason': ...}, 'exceptions[0].reason'),
        ({'name': ' '}, 'exceptions[0].name'),
        ({'field': 'shard_count'}, 'exceptions[0].field'),
        ({'field': 'is_keyed', 'setting': True}, 'exceptions[0].field'),
        ({'setting': 'long'}, 'exceptions[0].setting'),
        ({'setting': -4}, 'exceptions[0].setting'),
        ({'setting': 1.5}, 'exceptions[0].setting'),
        ({'ends_at_s': -1}, 'exceptions[0].ends_at_s'),
        ({'ends_at_s': 'noon'}, 'exceptions[0].ends_at_s'),
        ({'zone': None}, 'exceptions[0]'),
        ({'service': 'booths'}, 'exceptions'),
    ),
)
def test_check_document_rejects_an_invalid_exception(
    changes: dict[str, Any], path: str
) -> None:
    assert check_document(_document_with_exception()).unwrap()
    assert path in _problem_paths(_document_with_exception(**changes))


def test_check_document_rejects_duplicate_exception_names() -> None:
    raw = msgspec.to_builtins(make_document(make_rule(), make_rule()))
    assert _problem_paths(raw) == ['exceptions']


def test_check_document_rejects_too_many_shards_in_total() -> None:
    services = {f's{index}': {'shard_count': 65_536} for index in range(9)}
    assert _problem_paths({'services': services}) == ['services']


@pytest.mark.parametrize('payload', (b'', b'{', b'\xff\xfe', b'[' * 9000))
def test_decode_document_rejects_malformed_bytes(payload: bytes) -> None:
    assert decode_document(payload).failure()
