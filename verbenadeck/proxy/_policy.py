"""Policy in force for one proxy or one router."""

from verbenadeck.config import policy_for
from verbenadeck.fleet import FleetView
from verbenadeck.model import (
    ConfigVersion,
    NodeId,
    ServiceName,
    ServicePolicy,
    Zone,
)
from verbenadeck.utils import Clock

_EXPIRY_CHECK_INTERVAL_S = 1.0


class PolicyCache:
    """Cache of effective policies by service.

    It is cleared when the configuration changes, and every
    `_EXPIRY_CHECK_INTERVAL_S` seconds, since exceptions to it may expire.

    Parameters
    ----------
    fleet : FleetView
        Source of the configuration.
    clock : Clock
        Clock that decides whether exceptions have expired.
    zone, upstream : str
        Availability zone and upstream whose exceptions apply.
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
        """Return the policy of a service, or None if the service is unknown."""
        version = self._fleet.config_version
        now_s = self._clock.now_s()
        if version != self._version or now_s >= self._stale_at_s:
            self._policies.clear()
            self._version = version
            self._stale_at_s = now_s + _EXPIRY_CHECK_INTERVAL_S
        if service not in self._policies:
            self._policies[service] = policy_for(
                self._fleet.config,
                service,
                zone=self._zone,
                upstream=self._upstream,
                wall_s=self._clock.wall_s(),
            )
        return self._policies[service]
