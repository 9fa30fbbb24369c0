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
_ONE = NodeId('holds-1')


def _queue(document: ConfigDocument, **scope: Any) -> int:
    wall_s = scope.pop('wall_s', 0)
    policy = policy_for(document, HOLDS, wall_s=wall_s, **scope)
    assert policy is not None
    return policy.queue_limit


def test_an_unknown_service_has_no_policy() -> None:
    booths = ServiceName('booths')
    assert policy_for(make_document(), booths, wall_s=0) is None


def test_an_exception_holds_in_its_scope_only() -> None:
    document = make_document(make_rule(upstream=_ONE))
    assert _queue(document, zone=_NADI, upstream=_ONE) == 8
    assert _queue(document, zone=_NADI) == 64
    assert _queue(document, zone=Zone('suva'), upstream=_ONE) == 64


def test_an_exception_ends_at_its_time() -> None:
    document = make_document(make_rule(ends_at_s=100))
    assert _queue(document, zone=_NADI, wall_s=99.9) == 8
    assert _queue(document, zone=_NADI, wall_s=100) == 64


def test_the_narrower_exception_goes_first_whatever_the_order() -> None:
    rules = [
        make_rule('upstream', zone=None, upstream=_ONE, setting=1),
        make_rule('zone', setting=2),
        make_rule('service', zone=None, service=HOLDS, setting=3),
    ]
    for ordered in permutations(rules):
        document = make_document(*ordered)
        assert _queue(document, zone=_NADI, upstream=_ONE) == 1
        assert _queue(document, zone=_NADI) == 2
        assert _queue(document) == 3


def test_of_two_alike_the_later_counts() -> None:
    document = make_document(
        make_rule('first', setting=1), make_rule('second', setting=2)
    )
    assert _queue(document, zone=_NADI) == 2


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
def test_settings_take_the_type_of_their_field(
    field: str, setting: Any, expected: object
) -> None:
    rule = make_rule(field=field, setting=setting)
    policy = policy_for(make_document(rule), HOLDS, zone=_NADI, wall_s=0)
    found = getattr(policy, field)
    assert found == expected
    assert isinstance(found, type(expected)) or field == 'hedge_ratio'


def test_the_next_end_is_known() -> None:
    document = make_document(
        make_rule('a', ends_at_s=50),
        make_rule('b', ends_at_s=90),
        make_rule('c'),
    )
    assert next_exception_end_s(document, 0) == 50
    assert next_exception_end_s(document, 50) == 90
    assert next_exception_end_s(document, 90) == math.inf
