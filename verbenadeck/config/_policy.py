"""Lookup of the policy of a service, with the exceptions in force."""

import math
from collections.abc import Iterator

import msgspec

from verbenadeck.config._exception_rules import parse_policy_value
from verbenadeck.model import (
    ConfigDocument,
    ExceptionRule,
    NodeId,
    ServiceName,
    ServicePolicy,
    Zone,
)


def policy_for(
    document: ConfigDocument,
    service: ServiceName,
    *,
    zone: Zone | None = None,
    upstream: NodeId | None = None,
    wall_s: float,
) -> ServicePolicy | None:
    """Return the policy of a service with the exceptions in force applied.

    When several exceptions set the same field, one for an upstream takes
    precedence over one for a zone, and one for a zone over one for a service.
    Among exceptions of equal precedence the last in the document wins.

    Parameters
    ----------
    document : ConfigDocument
        Valid document.
    service : ServiceName
        Service whose policy is returned.
    zone : Zone or None
        Availability zone of the upstream; None ignores exceptions for zones.
    upstream : NodeId or None
        Node ID of the upstream; None ignores exceptions for upstreams.
    wall_s : float
        Current Unix time in seconds; decides which exceptions have ended.

    Returns
    -------
    ServicePolicy or None
        The policy, None for a service that is not in the document.
    """
    policy = document.services.get(service)
    if policy is None:
        return None
    rules = [
        rule
        for rule in document.exceptions
        if _is_in_force(rule, wall_s)
        and rule.service in {None, service}
        and rule.zone in {None, zone}
        and rule.upstream in {None, upstream}
    ]
    settings = {
        rule.field: parse_policy_value(rule.field, rule.setting)
        for rule in sorted(rules, key=_precedence)
    }
    return msgspec.structs.replace(policy, **settings)


def next_exception_end_s(document: ConfigDocument, wall_s: float) -> float:
    """Return the time at which the next exception ends.

    Until then `policy_for` returns the same policies for the same document.

    Parameters
    ----------
    document : ConfigDocument
        Valid document.
    wall_s : float
        Current Unix time in seconds.

    Returns
    -------
    float
        Unix time in seconds, infinity when no exception ends later.
    """
    return min(_later_end_times(document, wall_s), default=math.inf)


def _later_end_times(
    document: ConfigDocument, wall_s: float
) -> Iterator[float]:
    for rule in document.exceptions:
        if rule.ends_at_s is not None and rule.ends_at_s > wall_s:
            yield rule.ends_at_s


def _is_in_force(rule: ExceptionRule, wall_s: float) -> bool:
    return rule.ends_at_s is None or wall_s < rule.ends_at_s


def _precedence(rule: ExceptionRule) -> tuple[bool, bool, bool]:
    return (
        rule.upstream is not None,
        rule.zone is not None,
        rule.service is not None,
    )
