"""Admission checks on new requests, before they are queued."""

import math

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
"""Time for which a proxy out of service still admits requests for its shards.

In seconds. The shards can move meanwhile, before their requests are refused.
"""

_RETRY_AFTER_S = 0.5


def leaving_refusal() -> Refusal:
    """Return the refusal of a request whose upstream is about to leave."""
    return not_run(
        RefusalReason.DRAINING,
        'the upstream is leaving',
        retry_after_s=_RETRY_AFTER_S,
    )


def zone_out_refusal() -> Refusal:
    """Return the refusal of a request to a zone that is out of service."""
    return not_run(
        RefusalReason.ZONE_OUT,
        'the zone or the upstream is out of service',
        retry_after_s=_RETRY_AFTER_S,
    )


class Gate:
    """Check that refuses requests this proxy must not run.

    What can change while a request waits is checked when it arrives and again
    right before it is sent.

    Parameters
    ----------
    node_id, zone : str
        Node and availability zone of the proxy.
    fleet : FleetView
        Configuration in force.
    clock : Clock
        Clock of this VM.
    quarantine : Quarantine
        Requests that crash upstreams.

    Attributes
    ----------
    service : ServiceName or None
        Service that the upstream announced.
    is_draining : bool
        Whether new requests are refused since the upstream is leaving.
    closes_at_s : float
        Time from which nothing is sent, in seconds; finite for an upstream
        that is leaving.
    closed_shards : set of int
        Shards that are being handed over.
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
        self.closes_at_s = math.inf
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
        """Policy of the proxy's service, None while it has none."""
        if self.service is None:
            return None
        return self._policies.policy(self.service)

    @property
    def is_admitting(self) -> bool:
        """Whether the proxy admits new requests at all."""
        is_ready = self.service is not None and not self.is_draining
        return is_ready and self.out_since_s() is None

    def set_zone_out(self, *, is_out: bool) -> None:
        """Apply an operator's change to this zone before it is in the log."""
        self._is_zone_out_by_operator = is_out
        self._version = None

    def out_since_s(self) -> float | None:
        """Return when the zone or upstream was taken out of service, or None."""
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
        """Return why a new request is refused, or None if it is not.

        Parameters
        ----------
        request : Request
            Request that arrived.
        shard : int
            Its shard, or `NO_SHARD`.
        """
        if request.service != self.service:
            return self._service_refusal(request)
        if self.is_draining:
            return not_run(
                RefusalReason.DRAINING,
                'the node is leaving',
                retry_after_s=_RETRY_AFTER_S,
            )
        return self.send_refusal(request, shard)

    def send_refusal(self, request: Request, shard: int) -> Refusal | None:
        """Return why a request must not be sent now, or None if it may be.

        Parameters
        ----------
        request : Request
            Request that was admitted.
        shard : int
            Its shard, or `NO_SHARD`.
        """
        now_s = self._clock.now_s()
        if now_s >= request.deadline_s:
            return not_run(RefusalReason.DEADLINE, 'the deadline has passed')
        if now_s >= self.closes_at_s:
            return leaving_refusal()
        return (
            self._out_refusal(shard, now_s)
            or self._shard_refusal(shard)
            or self._poison_refusal(request, now_s)
        )

    def _shard_refusal(self, shard: int) -> Refusal | None:
        if shard in self.closed_shards:
            return not_run(
                RefusalReason.MOVING, 'the shard is moving to another node'
            )
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
            f'this proxy serves {self.service}, not {request.service}',
        )

    def _out_refusal(self, shard: int, now_s: float) -> Refusal | None:
        since_s = self.out_since_s()
        if since_s is None:
            return None
        if shard != NO_SHARD and now_s < since_s + OUT_GRACE_S:
            return None
        return zone_out_refusal()

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
            'upstreams crashed while running this request',
            retry_after_s=left_s,
        )
