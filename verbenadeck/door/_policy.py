"""Policy in force for one door or one router."""

from typing import Any

import msgspec

from verbenadeck.config import policy_setting
from verbenadeck.fleet import FleetView
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    ExceptionRule,
    NodeId,
    ServiceName,
    ServicePolicy,
    Zone,
)
from verbenadeck.utils import Clock

_EXPIRY_CHECK_S = 1.0


def effective_policy(
    document: ConfigDocument,
    service: ServiceName,
    *,
    zone: Zone,
    upstream: NodeId,
    wall_s: float,
) -> ServicePolicy | None:
    """Return the defaults of a service with the exceptions that apply.

    Later exceptions of the document win. None stands for a service that
    the document does not name.
    """
    policy = document.services.get(service)
    if policy is None:
        return None
    changes: dict[str, Any] = {
        rule.field: policy_setting(rule.field, rule.setting)
        for rule in document.exceptions
        if _applies(rule, service, zone, upstream, wall_s)
    }
    if not changes:
        return policy
    return msgspec.structs.replace(policy, **changes)


def _applies(
    rule: ExceptionRule,
    service: ServiceName,
    zone: Zone,
    upstream: NodeId,
    wall_s: float,
) -> bool:
    return (
        rule.service in {None, service}
        and rule.zone in {None, zone}
        and rule.upstream in {None, upstream}
        and (rule.ends_at_s is None or wall_s < rule.ends_at_s)
    )


class PolicyReader:
    """Keeps the effective policies until the document or time changes them.

    Parameters
    ----------
    fleet : FleetView
        Source of the document.
    clock : Clock
        Clock for ends of exceptions.
    zone, upstream : str
        Place for which exceptions are judged.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        clock: Clock,
        zone: Zone,
        upstream: NodeId,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._zone = zone
        self._upstream = upstream
        self._version: ConfigVersion | None = None
        self._stale_at_s = 0.0
        self._policies: dict[ServiceName, ServicePolicy | None] = {}

    def policy(self, service: ServiceName) -> ServicePolicy | None:
        """Return the policy of a service, None when it is unknown."""
        version = self._fleet.config_version
        now_s = self._clock.now_s()
        if version != self._version or now_s >= self._stale_at_s:
            self._policies.clear()
            self._version = version
            self._stale_at_s = now_s + _EXPIRY_CHECK_S
        if service not in self._policies:
            self._policies[service] = effective_policy(
                self._fleet.config,
                service,
                zone=self._zone,
                upstream=self._upstream,
                wall_s=self._clock.wall_s(),
            )
        return self._policies[service]
