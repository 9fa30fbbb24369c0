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

_RULE = MappingProxyType(
    {
        'name': 'slow',
        'reason': 'line work',
        'field': 'queue_limit',
        'setting': 8,
        'zone': 'nadi',
    }
)
_COMMENTED = """
// Fleet-wide defaults.
{
  services: {
    holds: {is_keyed: true, shard_count: 8}, /* by key */
  },
  "moves_per_minute": 30,
}
"""


def _paths(raw: object) -> list[str]:
    problems = check_document(raw).failure()
    return [problem.path for problem in problems]


def _rule(**changes: Any) -> dict[str, Any]:
    rule = {**_RULE, **changes}
    kept = {name: rule[name] for name in rule if rule[name] is not ...}
    return {'services': {'holds': {}}, 'exceptions': [kept]}


def test_a_document_survives_the_log() -> None:
    out = {Zone('suva'): OutOfService('flood', 5)}
    document = make_document(make_rule(), zones_out=out)
    assert decode_document(encode_document(document)).unwrap() == document


def test_json_with_comments_is_read() -> None:
    document = parse_document(_COMMENTED).unwrap()
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
def test_text_that_is_no_document_is_refused(text: str) -> None:
    assert parse_document(text).failure()


def test_all_problems_come_at_once() -> None:
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
    assert _paths(raw) == [
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
    ('field', 'bad'),
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
def test_settings_out_of_range_are_named(field: str, bad: object) -> None:
    raw = {'services': {'holds': {field: bad}}}
    assert _paths(raw) == [f'services.holds.{field}']


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
def test_unsound_exceptions_are_refused(
    changes: dict[str, Any], path: str
) -> None:
    assert check_document(_rule()).unwrap()
    assert path in _paths(_rule(**changes))


def test_names_of_exceptions_are_unique() -> None:
    raw = msgspec.to_builtins(make_document(make_rule(), make_rule()))
    assert _paths(raw) == ['exceptions']


def test_the_shards_of_all_services_are_bounded() -> None:
    services = {f's{index}': {'shard_count': 65_536} for index in range(9)}
    assert _paths({'services': services}) == ['services']


@pytest.mark.parametrize('payload', (b'', b'{', b'\xff\xfe', b'[' * 9000))
def test_noise_is_no_document(payload: bytes) -> None:
    assert decode_document(payload).failure()
