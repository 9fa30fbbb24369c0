"""What this entry has measured of one door."""

import math

from verbenadeck.fleet import Member
from verbenadeck.proxy import ProxyLoad

_LEAST_WEIGHT = 0.1
_DECAY_S = 0.5
_LEAST_PROBE_PAUSE_S = 1.0
_MOST_PROBE_PAUSE_S = 8.0
_LOAD_KEEP_S = 1.0
_RECOVERED_RATIO = 0.5
_FIRST_LATENCY_S = 0.02
_LEAST_AVOID_S = 0.05
_MOST_AVOID_S = 1.0


class ProxyStats:
    """Latency, requests in flight and last load of one door.

    Parameters
    ----------
    member : Member
        Node of the door.
    is_local : bool
        Whether the door is in this process.
    is_near : bool
        Whether it is in this node's zone.
    """

    __slots__ = (
        'avoid_s',
        'avoid_until_s',
        'in_flight',
        'is_local',
        'is_near',
        'latency_s',
        'load',
        'load_at_s',
        'measured_at_s',
        'member',
        'probe_pause_s',
        'sent_at_s',
        'sequence',
    )

    def __init__(
        self, member: Member, *, is_local: bool, is_near: bool
    ) -> None:
        self.member = member
        self.is_local = is_local
        self.is_near = is_near
        self.latency_s = _FIRST_LATENCY_S
        self.measured_at_s = -math.inf
        self.probe_pause_s = _LEAST_PROBE_PAUSE_S
        self.in_flight: dict[int, float] = {}
        self.load: ProxyLoad | None = None
        self.load_at_s = -math.inf
        self.sent_at_s = -math.inf
        self.sequence = 0
        self.avoid_s = 0.0
        self.avoid_until_s = -math.inf

    def begin(self, now_s: float) -> int:
        """Note a request that is sent now and return its ticket."""
        self.sequence += 1
        self.in_flight[self.sequence] = now_s
        self.sent_at_s = now_s
        return self.sequence

    def end(self, ticket: int) -> None:
        """Note that a request has ended in whatever way."""
        self.in_flight.pop(ticket, None)

    def measure(self, latency_s: float, now_s: float) -> None:
        """Take the latency of an answered request.

        The longer the last one is ago, the more the new one counts, so that
        a few probes are enough to see that a straggler has recovered.
        """
        age_s = now_s - self.measured_at_s
        self._pace_probes(age_s, latency_s)
        weight = max(_LEAST_WEIGHT, 1 - math.exp(-age_s / _DECAY_S))
        self.latency_s += weight * (latency_s - self.latency_s)
        self.measured_at_s = now_s
        self.avoid_s = 0

    def _pace_probes(self, age_s: float, latency_s: float) -> None:
        if latency_s < _RECOVERED_RATIO * self.latency_s:
            self.probe_pause_s = _LEAST_PROBE_PAUSE_S
        elif age_s > _LEAST_PROBE_PAUSE_S:
            self.probe_pause_s = min(
                _MOST_PROBE_PAUSE_S, 2 * self.probe_pause_s
            )

    def overrun(self, waited_s: float, now_s: float) -> None:
        """Note a request that was given up after a time without answer."""
        if waited_s > self.latency_s:
            self.measure(waited_s, now_s)

    def take_load(self, load: ProxyLoad, now_s: float) -> None:
        """Take the load that came with an answer."""
        self.load = load
        self.load_at_s = now_s

    def is_admitting(self, now_s: float) -> bool:
        """Return whether the door took new work when last heard of late."""
        if self.load is None or now_s > self.load_at_s + _LOAD_KEEP_S:
            return True
        return self.load.is_admitting

    def avoid(self, now_s: float) -> None:
        """Leave the door alone for a while, longer each time."""
        self.avoid_s = min(_MOST_AVOID_S, max(_LEAST_AVOID_S, self.avoid_s * 2))
        self.avoid_until_s = now_s + self.avoid_s

    def expected_wait_s(self, now_s: float) -> float:
        """Return how long a request sent now is expected to take.

        A request that has been out for longer than the usual latency says
        more than the answers of earlier ones.
        """
        wait_s = self.latency_s
        if self.in_flight:
            oldest_s = next(iter(self.in_flight.values()))
            wait_s = max(wait_s, now_s - oldest_s)
        if now_s < self.avoid_until_s:
            wait_s += _MOST_AVOID_S
        load = self.load
        if load is None or now_s > self.load_at_s + _LOAD_KEEP_S:
            return wait_s * (1 + len(self.in_flight))
        if not load.is_admitting:
            wait_s += _MOST_AVOID_S
        busy = max(len(self.in_flight), load.running + load.queued) + 1
        return wait_s * max(1, busy / max(1, load.limit))
