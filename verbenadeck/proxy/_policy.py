"""Policy in force for one door or one router."""

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
