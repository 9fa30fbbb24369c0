"""Whether a door takes new work, before any of it is queued."""

from verbenadeck.fleet import FleetView
from verbenadeck.model import (
    ConfigVersion,
    NodeId,
    Refusal,
    RefusalReason,
    Request,
    ServiceName,
    ServicePolicy,
    Zone,
)
from verbenadeck.proxy._poison import Quarantine, fingerprint_of
from verbenadeck.proxy._policy import PolicyCache
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._runs import NO_SHARD
from verbenadeck.utils import Clock

OUT_GRACE_S = 1.2
"""Time in seconds for which a door that is out still serves its own shards,

so that they can move before it refuses their requests.
"""

_RETRY_AFTER_S = 0.5


class Gate:
    """Refuses new work that this door must not take.

    Parameters
    ----------
    node_id, zone : str
        Place of the door.
    fleet : FleetView
        Configuration in force.
    clock : Clock
        Clock of this VM.
    quarantine : Quarantine
        Requests that crash upstreams.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        zone: Zone,
        fleet: FleetView,
        clock: Clock,
        quarantine: Quarantine,
    ) -> None:
        self.service: ServiceName | None = None
        self.is_draining = False
        self.closed_shards: set[int] = set()
        self._node_id = node_id
        self._zone = zone
        self._fleet = fleet
        self._clock = clock
        self._quarantine = quarantine
        self._policies = PolicyCache(
            fleet=fleet, clock=clock, zone=zone, upstream=node_id
        )
        self._version: ConfigVersion | None = None
        self._out_since_s: float | None = None
        self._is_zone_out_by_operator = False

    @property
    def policy(self) -> ServicePolicy | None:
        """Policy of the door's service, None while there is none."""
        if self.service is None:
            return None
        return self._policies.policy(self.service)

    @property
    def is_admitting(self) -> bool:
        """Whether the door takes new work at all."""
        is_ready = self.service is not None and not self.is_draining
        return is_ready and self.out_since_s() is None

    def set_zone_out(self, *, is_out: bool) -> None:
        """Take the operators' word on this zone before the log has it."""
        self._is_zone_out_by_operator = is_out
        self._version = None

    def out_since_s(self) -> float | None:
        """Return since when the zone or the upstream is out, if it is."""
        if self._fleet.config_version != self._version:
            self._version = self._fleet.config_version
            config = self._fleet.config
            is_out = (
                self._is_zone_out_by_operator
                or self._zone in config.zones_out
                or self._node_id in config.upstreams_out
            )
            if not is_out:
                self._out_since_s = None
            elif self._out_since_s is None:
                self._out_since_s = self._clock.now_s()
        return self._out_since_s

    def refusal(self, request: Request, shard: int) -> Refusal | None:
        """Return why a new request is refused, None when it is not."""
        if request.service != self.service:
            return self._service_refusal(request)
        if self.is_draining:
            return not_run(
                RefusalReason.DRAINING,
                'the node is leaving',
                retry_after_s=_RETRY_AFTER_S,
            )
        now_s = self._clock.now_s()
        if now_s >= request.deadline_s:
            return not_run(RefusalReason.DEADLINE, 'the deadline has passed')
        return (
            self._out_refusal(shard, now_s)
            or self.shard_refusal(shard)
            or self._poison_refusal(request, now_s)
        )

    def shard_refusal(self, shard: int) -> Refusal | None:
        """Return a refusal when a shard is being given away."""
        if shard in self.closed_shards:
            return not_run(RefusalReason.MOVING, 'the shard moves away')
        return None

    def _service_refusal(self, request: Request) -> Refusal:
        if self.service is None:
            return not_run(
                RefusalReason.NO_UPSTREAM,
                'no upstream has announced itself',
                retry_after_s=_RETRY_AFTER_S,
            )
        return not_run(
            RefusalReason.UNKNOWN_SERVICE,
            f'this door serves {self.service}, not {request.service}',
        )

    def _out_refusal(self, shard: int, now_s: float) -> Refusal | None:
        since_s = self.out_since_s()
        if since_s is None:
            return None
        if shard != NO_SHARD and now_s < since_s + OUT_GRACE_S:
            return None
        return not_run(
            RefusalReason.ZONE_OUT,
            'the zone or the upstream is out',
            retry_after_s=_RETRY_AFTER_S,
        )

    def _poison_refusal(self, request: Request, now_s: float) -> Refusal | None:
        if self._quarantine.is_empty:
            return None
        left_s = self._quarantine.retry_after_s(
            fingerprint_of(request), now_s=now_s
        )
        if left_s == 0:
            return None
        return not_run(
            RefusalReason.POISON,
            'upstreams crashed while they ran it',
            retry_after_s=left_s,
        )
