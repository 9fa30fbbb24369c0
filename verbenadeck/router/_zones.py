"""Decision when a request without a key is sent to another zone."""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from verbenadeck.logs import make_decision_logger
from verbenadeck.model import Request, ServiceName, Zone
from verbenadeck.router._budget import TokenBudget
from verbenadeck.router._choice import (
    ProxyChoice,
    choose_probe,
    expected_waits_s,
    relative_success,
)
from verbenadeck.router._stats import ProxyStats

_log_decision = make_decision_logger('router')

_BYTES_PER_MB = 1e6
_MAX_STAY_RATIO = 0.8
"""Ratio of the cheapest cost in another zone to that in the own zone up to
which a request leaves: expected waits are that uncertain."""

_MIN_LEAVE_SHARE = 0.05
"""Share of the requests that may leave a zone without a shortage, whose
upstreams may all be busy for a moment by chance."""

_LEAVE_STEP = 0.1
_LEAVE_STEP_INTERVAL_S = 0.25
"""Least time between two steps of the share that may leave. Loads are up to a
second old: half of the requests can leave after about that time, and zones
that are short for a moment do not exchange their load."""

_MAX_LEAVING = 10.0
"""Requests that may leave in a row after none did. With 5, peaks at one entry
made requests wait in a short zone that could have left: its mean latency was
2% to 3% higher."""

_BEARABLE_USE = 0.8
"""Share of the slots of a zone that can be in use before requests wait: with
few slots for each upstream, some are full long before all are."""

_LEFT_WEIGHT = 0.1
_MIN_STAYED_SHARE = 0.1
_SHORT_LEAVE_SHARE = 0.1
_SHORT_SAMPLE_SIZE = 2
_SAMPLE_SIZE = 1
_LOG_STEP = 0.1
_OWN_ROUND_TRIP_S = 0.001
_OTHER_ROUND_TRIP_S = 0.005
"""Round trips within and between zones of one region while none is measured."""

_ROUND_TRIP_WEIGHT = 0.1
_MIN_SIZE_WEIGHT = 0.1
_MAX_KINDS = 256


class _Candidate(NamedTuple):
    cost_s: float
    proxy: ProxyStats


class RoundTrips:
    """Mean round-trip times to proxies, by their zone.

    Parameters
    ----------
    own : Zone
        Zone of this node.
    """

    def __init__(self, own: Zone) -> None:
        self._own = own
        self._mean_s: dict[Zone, float] = {}

    def record(self, zone: Zone, round_trip_s: float) -> None:
        """Record the time until the reply of a proxy.

        Parameters
        ----------
        zone : Zone
            Zone of the proxy.
        round_trip_s : float
            Time from the query to its reply, in seconds.
        """
        mean_s = self._mean_s.get(zone, round_trip_s)
        mean_s += _ROUND_TRIP_WEIGHT * (round_trip_s - mean_s)
        self._mean_s[zone] = mean_s

    def extra_s(self, zone: Zone) -> float:
        """Return how much longer a round trip to a zone takes, in seconds.

        Parameters
        ----------
        zone : Zone
            Zone to compare with the own one.
        """
        own_s = self._mean_s.get(self._own, _OWN_ROUND_TRIP_S)
        return max(0.0, self._mean_s.get(zone, _OTHER_ROUND_TRIP_S) - own_s)


class ZoneBalance:
    """Share of the requests of one service that may leave the own zone.

    Parameters
    ----------
    service : ServiceName
        Service, for the log.

    Attributes
    ----------
    leave_share : float
        Share of the requests that may leave.
    """

    __slots__ = (
        '_budget',
        '_left_share',
        '_logged_share',
        '_service',
        '_size_by_kind',
        '_stepped_at_s',
        'leave_share',
    )

    def __init__(self, service: ServiceName) -> None:
        self.leave_share = _MIN_LEAVE_SHARE
        self._service = service
        self._budget = TokenBudget(max_tokens=_MAX_LEAVING)
        self._size_by_kind: dict[str, tuple[float, int]] = {}
        self._stepped_at_s = -math.inf
        self._left_share = 0.0
        self._logged_share = self.leave_share

    @property
    def remote_sample_size(self) -> int:
        """Number of proxies of other zones among the candidates."""
        is_short = self.leave_share > _SHORT_LEAVE_SHARE
        return _SHORT_SAMPLE_SIZE if is_short else _SAMPLE_SIZE

    def add_request(self, proxies: Sequence[ProxyStats], now_s: float) -> None:
        """Count a request and update the share that may leave.

        Parameters
        ----------
        proxies : sequence of ProxyStats
            Available proxies of the service in all zones.
        now_s : float
            Time now, in seconds.
        """
        if now_s >= self._stepped_at_s + _LEAVE_STEP_INTERVAL_S:
            self._stepped_at_s = now_s
            self.leave_share = step_towards(
                self.leave_share,
                leave_target(proxies, now_s, left_share=self._left_share),
            )
            self._log_share()
        self._left_share *= 1 - _LEFT_WEIGHT
        self._budget.refill(self.leave_share)

    def try_leave(self) -> bool:
        """Return whether one more request may leave, and count it."""
        if not self._budget.try_spend():
            return False
        self._left_share += _LEFT_WEIGHT
        return True

    def record_answer(self, kind: str, size_bytes: int) -> None:
        """Record the size of an answer.

        Parameters
        ----------
        kind : str
            Kind of the request.
        size_bytes : int
            Size of the body of its answer.
        """
        mean_bytes, count = self._size_by_kind.pop(kind, (0.0, 0))
        weight = max(1 / (count + 1), _MIN_SIZE_WEIGHT)
        mean_bytes += weight * (size_bytes - mean_bytes)
        # The kind that was recorded least lately is dropped first.
        self._size_by_kind[kind] = mean_bytes, count + 1
        if len(self._size_by_kind) > _MAX_KINDS:
            self._size_by_kind.pop(next(iter(self._size_by_kind)))

    def transfer_bytes(self, request: Request) -> float:
        """Return the expected size of a request and its answer."""
        answer_bytes, _ = self._size_by_kind.get(request.kind, (0.0, 0))
        return len(request.body) + answer_bytes

    def _log_share(self) -> None:
        if abs(self.leave_share - self._logged_share) < _LOG_STEP:
            return
        self._logged_share = self.leave_share
        _log_decision(
            '{} may send {:.2f} of its requests to other zones',
            self._service,
            self.leave_share,
        )


def step_towards(share: float, target: float) -> float:
    """Return a share that is at most one step nearer to its target.

    Parameters
    ----------
    share, target : float
        Present and wanted share of the requests that may leave.

    Examples
    --------
    >>> round(step_towards(0.2, 0.9), 2), round(step_towards(0.2, 0), 2)
    (0.3, 0.1)
    >>> step_towards(0.05, 0.0)
    0.05
    """
    target = max(_MIN_LEAVE_SHARE, target)
    return share + max(-_LEAVE_STEP, min(_LEAVE_STEP, target - share))


def leave_target(
    proxies: Sequence[ProxyStats], now_s: float, *, left_share: float
) -> float:
    """Return the share of the requests that should leave the own zone.

    It is the shortage of the own zone less that of the others, since zones
    that are equally short gain nothing from an exchange.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Available proxies of a service in all zones.
    now_s : float
        Time now, in seconds.
    left_share : float
        Share of the recent requests that left the own zone, without which
        its upstreams would be busier.

    Returns
    -------
    float
        0 when no load in the own zone or in the other ones is known.
    """
    known = [proxy for proxy in proxies if proxy.has_recent_load(now_s)]
    best = max((_success_share(proxy) for proxy in known), default=1.0)
    near = [proxy for proxy in known if proxy.is_same_zone]
    far = [proxy for proxy in known if not proxy.is_same_zone]
    if not near or not far:
        return 0
    own = _shortage(near, best, stayed_share=1 - left_share)
    return max(0.0, own - _shortage(far, best))


def _success_share(proxy: ProxyStats) -> float:
    return proxy.load.success_share if proxy.load is not None else 1.0


def _shortage(
    proxies: Iterable[ProxyStats], best: float, *, stayed_share: float = 1
) -> float:
    """Return the share of the requests for which slots are missing."""
    demand = 0.0
    capacity = 0.0
    for proxy in proxies:
        load = proxy.load
        if load is None:
            continue
        demand += load.running + load.queued
        if load.is_admitting:
            capacity += load.limit * relative_success(load.success_share, best)
    demand /= max(_MIN_STAYED_SHARE, stayed_share)
    return max(0.0, 1 - _BEARABLE_USE * capacity / max(1.0, demand))


def transfer_cost_s(
    size_bytes: float, *, extra_s: float, cost_s_per_mb: float
) -> float:
    """Return the cost of a request to another zone, in seconds of waiting.

    Parameters
    ----------
    size_bytes : float
        Expected size of the request and its answer.
    extra_s : float
        Extra time of a round trip, in seconds.
    cost_s_per_mb : float
        Waiting time in seconds that a megabyte is worth.

    Examples
    --------
    >>> round(transfer_cost_s(2_000, extra_s=0.01, cost_s_per_mb=1), 3)
    0.012
    """
    return extra_s + cost_s_per_mb * size_bytes / _BYTES_PER_MB


def choose_by_cost(
    proxies: Sequence[ProxyStats],
    now_s: float,
    source: random.Random,
    *,
    remote_cost_s: Callable[[Zone], float],
    try_leave: Callable[[], bool],
) -> ProxyChoice:
    """Choose the proxy with the lowest cost, in the own zone if possible.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Candidates, at least one.
    now_s : float
        Time now, in seconds.
    source : random.Random
        Decides which requests probe.
    remote_cost_s : callable
        Returns the cost in seconds of a request to another zone.
    try_leave : callable
        Returns whether one more request may leave the own zone; called only
        when another zone is cheaper.

    Returns
    -------
    ProxyChoice
        Chosen proxy with the reason.
    """
    probe = choose_probe(proxies, now_s, source)
    if probe is not None:
        return probe
    near, far = _costs_by_zone(proxies, now_s, remote_cost_s)
    known = [each for each in far if each.proxy.has_recent_load(now_s)]
    if not any(each.proxy.may_admit(now_s) for each in near):
        best = min(known or far or near, key=_cost_s)
        return ProxyChoice(best.proxy, 'no proxy admits in the own zone')
    own = min(near, key=_cost_s)
    other = min(known, key=_cost_s, default=own)
    if other.cost_s < _MAX_STAY_RATIO * own.cost_s and try_leave():
        return ProxyChoice(other.proxy, 'lowest cost, another zone')
    return ProxyChoice(own.proxy, 'lowest expected wait, same zone')


def _costs_by_zone(
    proxies: Sequence[ProxyStats],
    now_s: float,
    remote_cost_s: Callable[[Zone], float],
) -> tuple[list[_Candidate], list[_Candidate]]:
    """Return the candidates in the own zone and those in other zones."""
    near: list[_Candidate] = []
    far: list[_Candidate] = []
    waits_s = expected_waits_s(proxies, now_s, compares_success=True)
    for wait_s, proxy in zip(waits_s, proxies, strict=True):
        if proxy.is_same_zone:
            near.append(_Candidate(wait_s, proxy))
        else:
            cost_s = wait_s + remote_cost_s(proxy.member.zone)
            far.append(_Candidate(cost_s, proxy))
    return near, far


def _cost_s(candidate: _Candidate) -> float:
    return candidate.cost_s
