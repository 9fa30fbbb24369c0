"""Statistics of one proxy as measured by this node."""

import math

from verbenadeck.fleet import Member
from verbenadeck.proxy import ProxyLoad

_MIN_SAMPLE_WEIGHT = 0.1
_LATENCY_DECAY_S = 0.5
_MIN_PROBE_INTERVAL_S = 1.0
_MAX_PROBE_INTERVAL_S = 8.0
_MAX_LOAD_AGE_S = 1.0
_FRESH_LOAD_AGE_S = 0.1
_MAX_SPARE_AGE_S = 0.3

_USE_COST_RATIO = 0.25
"""Cost of the last free slot in units of the service time: others may take it
meanwhile, and some upstreams slow down when they are nearly full."""

_QUEUE_COST_RATIO = 2.0
"""Cost of a wait in a queue in units of its time: a request that waits also
delays those behind it."""
_RECOVERED_LATENCY_RATIO = 0.5
_INITIAL_LATENCY_S = 0.02
_MIN_COOLDOWN_S = 0.05
_MAX_COOLDOWN_S = 1.0


class ProxyStats:
    """Latency, attempts in flight and last reported load of one proxy.

    Parameters
    ----------
    member : Member
        Member that runs the proxy.
    is_local : bool
        Whether the proxy is in this process.
    is_same_zone : bool
        Whether the proxy is in the zone of this node.

    Attributes
    ----------
    latency_s : float
        Exponentially weighted mean latency, in seconds.
    latency_at_s : float
        Time of the last latency sample, in seconds.
    probe_interval_s : float
        Time without requests after which the proxy is probed, in seconds.
    in_flight : dict of int to float
        Start times of the attempts without a result, by attempt number.
    load : ProxyLoad or None
        Load that came with the last answer.
    load_at_s : float
        Time of that answer, in seconds.
    last_sent_at_s : float
        Time of the last attempt, in seconds.
    last_attempt_number : int
        Number of the last attempt.
    cooldown_s : float
        Length of the last cool-down, in seconds; 0 after an answer.
    cooldown_until_s : float
        End of the cool-down, in seconds.
    """

    __slots__ = (
        'cooldown_s',
        'cooldown_until_s',
        'in_flight',
        'is_local',
        'is_same_zone',
        'latency_s',
        'load',
        'load_at_s',
        'latency_at_s',
        'member',
        'probe_interval_s',
        'last_sent_at_s',
        'last_attempt_number',
    )

    def __init__(
        self, member: Member, *, is_local: bool, is_same_zone: bool
    ) -> None:
        self.member = member
        self.is_local = is_local
        self.is_same_zone = is_same_zone
        self.latency_s = _INITIAL_LATENCY_S
        self.latency_at_s = -math.inf
        self.probe_interval_s = _MIN_PROBE_INTERVAL_S
        self.in_flight: dict[int, float] = {}
        self.load: ProxyLoad | None = None
        self.load_at_s = -math.inf
        self.last_sent_at_s = -math.inf
        self.last_attempt_number = 0
        self.cooldown_s = 0.0
        self.cooldown_until_s = -math.inf

    def add_attempt(self, now_s: float) -> int:
        """Record an attempt that starts now.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.

        Returns
        -------
        int
            Number of the attempt, for `remove_attempt`.
        """
        self.last_attempt_number += 1
        self.in_flight[self.last_attempt_number] = now_s
        self.last_sent_at_s = now_s
        return self.last_attempt_number

    def remove_attempt(self, attempt_number: int) -> None:
        """Remove an attempt that has ended, whatever its result."""
        self.in_flight.pop(attempt_number, None)

    def record_latency(self, latency_s: float, now_s: float) -> None:
        """Record the latency of an answered attempt.

        The weight of a sample grows with the time since the last one, so
        that a few probes suffice to detect that a straggler has recovered.

        Parameters
        ----------
        latency_s : float
            Time from the start of the attempt to its answer, in seconds.
        now_s : float
            Time now, in seconds.
        """
        age_s = now_s - self.latency_at_s
        self._update_probe_interval(age_s, latency_s)
        weight = max(
            _MIN_SAMPLE_WEIGHT, 1 - math.exp(-age_s / _LATENCY_DECAY_S)
        )
        self.latency_s += weight * (latency_s - self.latency_s)
        self.latency_at_s = now_s
        self.cooldown_s = 0

    def _update_probe_interval(self, age_s: float, latency_s: float) -> None:
        if latency_s < _RECOVERED_LATENCY_RATIO * self.latency_s:
            self.probe_interval_s = _MIN_PROBE_INTERVAL_S
        elif age_s > _MIN_PROBE_INTERVAL_S:
            self.probe_interval_s = min(
                _MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s
            )

    def record_abandoned(self, waited_s: float, now_s: float) -> None:
        """Record an attempt that was cancelled without an answer.

        Parameters
        ----------
        waited_s : float
            Time since the start of the attempt, in seconds. It counts as a
            latency sample when it is above the mean latency.
        now_s : float
            Time now, in seconds.
        """
        if waited_s > self.latency_s:
            self.record_latency(waited_s, now_s)

    def record_load(self, load: ProxyLoad, now_s: float) -> None:
        """Record the load that came with an answer."""
        self.load = load
        self.load_at_s = now_s

    def is_admitting(self, now_s: float) -> bool:
        """Return whether the proxy admits requests, as far as known.

        A load report that is too old counts as none, and without a report
        the proxy is assumed to admit.
        """
        if self.load is None or now_s > self.load_at_s + _MAX_LOAD_AGE_S:
            return True
        return self.load.is_admitting

    def may_admit(self, now_s: float) -> bool:
        """Return whether the proxy admits requests and is likely to reply.

        A proxy that cools down without a recent load did not reply to the
        last query or attempt. One that refused for lack of capacity did.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.
        """
        is_silent = now_s < self.cooldown_until_s and not self.has_recent_load(
            now_s
        )
        return self.is_admitting(now_s) and not is_silent

    @property
    def has_free_slot(self) -> bool:
        """Whether the last load that was reported leaves a slot free."""
        load = self.load
        if load is None or not load.is_admitting:
            return False
        return load.queued == 0 and load.running < load.limit

    def has_spare_slots(self, now_s: float) -> bool:
        """Return whether half of the slots were free a moment ago.

        A request can then go without a query for the load: some requests of
        other entries may have come since.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.
        """
        load = self.load
        if load is None or now_s > self.load_at_s + _MAX_SPARE_AGE_S:
            return False
        busy = max(load.running + load.queued, len(self.in_flight))
        is_open = load.is_admitting and now_s >= self.cooldown_until_s
        return is_open and 2 * busy <= load.limit

    def start_cooldown(self, now_s: float) -> None:
        """Start a cool-down; its length doubles until an attempt succeeds."""
        self.cooldown_s = min(
            _MAX_COOLDOWN_S, max(_MIN_COOLDOWN_S, self.cooldown_s * 2)
        )
        self.cooldown_until_s = now_s + self.cooldown_s

    def has_recent_load(self, now_s: float) -> bool:
        """Return whether the last reported load is recent enough to count."""
        return self.load is not None and now_s <= (
            self.load_at_s + _MAX_LOAD_AGE_S
        )

    def success_share(self, now_s: float) -> float | None:
        """Return the share of successful sends, None when it is not known.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.
        """
        if self.load is None or not self.has_recent_load(now_s):
            return None
        return self.load.success_share

    def expected_wait_s(
        self, now_s: float, *, typical_s: float | None = None
    ) -> float:
        """Return the expected latency of a request sent now, in seconds.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.
        typical_s : float or None
            Service time in seconds that counts for a proxy whose own one is
            a guess; None to take the guess.
        """
        penalty_s = 0.0
        if now_s < self.cooldown_until_s:
            penalty_s += _MAX_COOLDOWN_S
        load = self.load
        if load is None or not self.has_recent_load(now_s):
            return self._observed_wait_s(now_s) * (1 + len(self.in_flight)) + (
                penalty_s
            )
        if not load.is_admitting:
            penalty_s += _MAX_COOLDOWN_S
        busy = load.running + load.queued
        if now_s > self.load_at_s + _FRESH_LOAD_AGE_S:
            busy = max(busy, len(self.in_flight))
        service_s = load.service_time_s
        if not load.is_measured and typical_s is not None:
            service_s = typical_s
        limit = max(1, load.limit)
        use = min(1, busy / limit)
        waiting = max(0, busy + 1 - limit)
        extra = _USE_COST_RATIO * use + _QUEUE_COST_RATIO * waiting / limit
        return service_s * (1 + extra) + penalty_s

    def _observed_wait_s(self, now_s: float) -> float:
        """Return the latency as measured here.

        The oldest attempt in flight counts when it is already slower than
        the mean latency, so that a proxy that hangs is noticed at once.
        """
        if not self.in_flight:
            return self.latency_s
        oldest_s = next(iter(self.in_flight.values()))
        return max(self.latency_s, now_s - oldest_s)
