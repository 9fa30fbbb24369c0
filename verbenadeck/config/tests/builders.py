"""Configuration documents for tests."""

from typing import Any

from verbenadeck.model import (
    ConfigDocument,
    ExceptionRule,
    ServiceName,
    ServicePolicy,
)

HOLDS = ServiceName('holds')


def make_rule(name: str = 'slow-nadi', **fields: Any) -> ExceptionRule:
    """Return a valid exception for one zone, with changed fields."""
    defaults: dict[str, Any] = {
        'reason': 'line work until noon',
        'field': 'queue_limit',
        'setting': 8,
        'zone': 'nadi',
    }
    return ExceptionRule(name=name, **{**defaults, **fields})


def make_document(*rules: ExceptionRule, **fields: Any) -> ConfigDocument:
    """Return a valid document with one keyed service of 8 shards."""
    policy = ServicePolicy(is_keyed=True, shard_count=8, queue_limit=64)
    return ConfigDocument(services={HOLDS: policy}, exceptions=rules, **fields)
