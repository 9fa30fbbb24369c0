"""Policy that holds for one service at one upstream."""

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
    """Return the policy of a service with its exceptions.

    Where exceptions set the same field, the one for an upstream goes before
    one for a zone and that before one for a service; among equals the later
    in the document counts.

    Parameters
    ----------
    document : ConfigDocument
        Checked document.
    service : ServiceName
        Service.
    zone : Zone or None
        Availability zone that is asked for; None leaves out exceptions for
        zones.
    upstream : NodeId or None
        Upstream, by the name of its node; None leaves out exceptions for
        upstreams.
    wall_s : float
        Unix time in seconds.

    Returns
    -------
    ServicePolicy or None
        None for a service that the document does not name.
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
    """Return when the next exception ends, infinity when none does.

    Until then and under the same document, `policy_for` answers the same.
    """
    return min(_ends(document, wall_s), default=math.inf)


def _ends(document: ConfigDocument, wall_s: float) -> Iterator[float]:
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
