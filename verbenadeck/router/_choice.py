"""Load balancing: choice of one proxy among those that may serve a request."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from verbenadeck.router._stats import ProxyStats

SAMPLE_SIZE = 4
"""Maximum number of proxies whose load is compared at a time."""

_SIMILAR_SHARE_GAP = 0.25
"""Difference to the best share of successful sends up to which a share counts
as equal. At 20 sends a second that fail half of the time, a share deviates by
0.08, so that the best and the worst of a sample differ by 0.2 by chance."""

_MIN_SUCCESS_SHARE = 0.1
_REMOTE_SAMPLE_SIZE = 1
_SAME_ZONE_FACTOR = 0.8
_PROBE_SHARE = 1 / 32
"""Share of the requests that may probe a proxy which others would not choose."""


class ProxyChoice(NamedTuple):
    """Chosen proxy with the reason for the log.

    Attributes
    ----------
    proxy : ProxyStats
        Chosen proxy.
    reason : str
        Reason of the choice.
    """

    proxy: ProxyStats
    reason: str


ChooseProxy = Callable[
    [Sequence[ProxyStats], float, random.Random], ProxyChoice
]
"""Load-balancing policy: chooses among at least one proxy, given the time now
and a random source."""


def choose_by_expected_wait(
    proxies: Sequence[ProxyStats],
    now_s: float,
    source: random.Random,
) -> ProxyChoice:
    """Choose the proxy with the lowest expected wait.

    A proxy in the same zone is preferred unless another one is clearly
    faster. A small share of the requests probes a proxy that got no request
    for its probe interval, so that its statistics stay current.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Candidates, at least one.
    now_s : float
        Time now, in seconds.
    source : random.Random
        Decides which requests probe.

    Returns
    -------
    ProxyChoice
        Chosen proxy with the reason.
    """
    probe = choose_probe(proxies, now_s, source)
    if probe is not None:
        return probe
    best = proxies[0]
    best_s = math.inf
    waits_s = expected_waits_s(proxies, now_s, compares_success=False)
    for proxy, wait_s in zip(proxies, waits_s, strict=True):
        if proxy.is_same_zone:
            wait_s *= _SAME_ZONE_FACTOR
        if wait_s < best_s:
            best = proxy
            best_s = wait_s
    if best.is_same_zone:
        return ProxyChoice(best, 'lowest expected wait, same zone')
    return ProxyChoice(best, 'lowest expected wait')


def choose_probe(
    proxies: Sequence[ProxyStats], now_s: float, source: random.Random
) -> ProxyChoice | None:
    """Choose a proxy that needs a probe, for a small share of the requests.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Candidates.
    now_s : float
        Time now, in seconds.
    source : random.Random
        Decides which requests probe.
    """
    if source.random() < _PROBE_SHARE:
        for proxy in proxies:
            if _needs_probe(proxy, now_s):
                return ProxyChoice(proxy, 'probe')
    return None


def expected_waits_s(
    proxies: Sequence[ProxyStats], now_s: float, *, compares_success: bool
) -> list[float]:
    """Return the expected wait at each of some proxies, in seconds.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Proxies to compare.
    now_s : float
        Time now, in seconds.
    compares_success : bool
        Whether a proxy counts as slower the fewer of its sends succeed,
        compared with the best one.
    """
    typical_s = _typical_service_time_s(proxies, now_s)
    waits_s = [
        proxy.expected_wait_s(now_s, typical_s=typical_s) for proxy in proxies
    ]
    if not compares_success:
        return waits_s
    shares = [proxy.success_share(now_s) for proxy in proxies]
    best = max((share for share in shares if share is not None), default=1.0)
    return [
        wait_s / relative_success(share, best)
        for wait_s, share in zip(waits_s, shares, strict=True)
    ]


def relative_success(share: float | None, best: float) -> float:
    """Return a share of successful sends in relation to the best one.

    Failures of a service that all upstreams call lower the shares of all of
    them, which is no reason to prefer one.

    Parameters
    ----------
    share : float or None
        Share of successful sends; None when it is not known.
    best : float
        Best share among the candidates.

    Returns
    -------
    float
        1 for a share that is not known or similar to the best one.

    Examples
    --------
    >>> relative_success(0.45, 1.0), relative_success(0.45, 0.5)
    (0.45, 1.0)
    >>> relative_success(0.01, 1.0), relative_success(None, 1.0)
    (0.1, 1.0)
    """
    if share is None or share >= best - _SIMILAR_SHARE_GAP:
        return 1.0
    return max(_MIN_SUCCESS_SHARE, share / best)


def sample_proxies(
    proxies: Sequence[ProxyStats],
    source: random.Random,
    *,
    remote_count: int = _REMOTE_SAMPLE_SIZE,
) -> list[ProxyStats]:
    """Return a few random proxies, most of them in the same zone.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Proxies that may serve a request.
    source : random.Random
        Generator that draws the sample.
    remote_count : int
        Number of proxies of other zones in the sample, if there are enough
        in this zone for the rest.

    Returns
    -------
    list of ProxyStats
        At most `SAMPLE_SIZE` proxies in random order.
    """
    if len(proxies) <= SAMPLE_SIZE:
        return list(proxies)
    near = [proxy for proxy in proxies if proxy.is_same_zone]
    far = [proxy for proxy in proxies if not proxy.is_same_zone]
    far_count = max(remote_count, SAMPLE_SIZE - len(near))
    chosen = source.sample(far, min(len(far), far_count))
    left_count = SAMPLE_SIZE - len(chosen)
    chosen += source.sample(near, min(len(near), left_count))
    source.shuffle(chosen)
    return chosen


def _typical_service_time_s(
    proxies: Sequence[ProxyStats], now_s: float
) -> float | None:
    """Return the mean of the service times that proxies report as measured."""
    measured = [
        proxy.load.service_time_s
        for proxy in proxies
        if proxy.load is not None
        and proxy.has_recent_load(now_s)
        and proxy.load.is_measured
    ]
    return sum(measured) / len(measured) if measured else None


def _needs_probe(proxy: ProxyStats, now_s: float) -> bool:
    if now_s - proxy.last_sent_at_s < proxy.probe_interval_s or proxy.in_flight:
        return False
    if now_s < proxy.cooldown_until_s:
        return False
    return proxy.is_admitting(now_s)
