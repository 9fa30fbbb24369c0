import math
from itertools import permutations
from typing import Any

import pytest

from verbenadeck.config import next_exception_end_s, policy_for
from verbenadeck.config.tests.builders import (
    HOLDS,
    make_document,
    make_rule,
)
from verbenadeck.model import (
    ConfigDocument,
    NodeId,
    ServiceName,
    Zone,
)

_NADI = Zone('nadi')
_UPSTREAM = NodeId('holds-1')


def _queue_limit(document: ConfigDocument, **scope: Any) -> int:
    wall_s = scope.pop('wall_s', 0)
    policy = policy_for(document, HOLDS, wall_s=wall_s, **scope)
    assert policy is not None
    return policy.queue_limit


def test_policy_for_unknown_service_is_none() -> None:
    booths = ServiceName('booths')
    assert policy_for(make_document(), booths, wall_s=0) is None


def test_exception_applies_only_within_its_scope() -> None:
    document = make_document(make_rule(upstream=_UPSTREAM))
    assert _queue_limit(document, zone=_NADI, upstream=_UPSTREAM) == 8
    assert _queue_limit(document, zone=_NADI) == 64
    assert _queue_limit(document, zone=Zone('suva'), upstream=_UPSTREAM) == 64


def test_exception_no_longer_applies_at_its_end_time() -> None:
    document = make_document(make_rule(ends_at_s=100))
    assert _queue_limit(document, zone=_NADI, wall_s=99.9) == 8
    assert _queue_limit(document, zone=_NADI, wall_s=100) == 64


def test_narrower_exception_takes_precedence_in_any_order() -> None:
    rules = [
        make_rule('upstream', zone=None, upstream=_UPSTREAM, setting=1),
        make_rule('zone', setting=2),
        make_rule('service', zone=None, service=HOLDS, setting=3),
    ]
    for ordered in permutations(rules):
        document = make_document(*ordered)
        assert _queue_limit(document, zone=_NADI, upstream=_UPSTREAM) == 1
        assert _queue_limit(document, zone=_NADI) == 2
        assert _queue_limit(document) == 3


def test_later_exception_wins_at_equal_precedence() -> None:
    document = make_document(
        make_rule('first', setting=1), make_rule('second', setting=2)
    )
    assert _queue_limit(document, zone=_NADI) == 2


@pytest.mark.parametrize(
    ('field', 'setting', 'expected'),
    (
        ('queue_limit', 16.0, 16),
        ('checks_fences', False, False),
        ('hedge_ratio', 0, 0),
        ('request_timeout_s', 2.5, 2.5),
        ('repeatable_methods', 'GET, HEAD', ('GET', 'HEAD')),
    ),
)
def test_exception_setting_is_converted_to_the_type_of_its_field(
    field: str, setting: Any, expected: object
) -> None:
    rule = make_rule(field=field, setting=setting)
    policy = policy_for(make_document(rule), HOLDS, zone=_NADI, wall_s=0)
    found = getattr(policy, field)
    assert found == expected
    assert isinstance(found, type(expected)) or field == 'hedge_ratio'


def test_next_exception_end_is_the_earliest_end_still_to_come() -> None:
    document = make_document(
        make_rule('a', ends_at_s=50),
        make_rule('b', ends_at_s=90),
        make_rule('c'),
    )
    assert next_exception_end_s(document, 0) == 50
    assert next_exception_end_s(document, 50) == 90
    assert next_exception_end_s(document, 90) == math.inf
