"""Load balancing: choice of one proxy among those that may serve a request."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from verbenadeck.router._stats import ProxyStats

SAMPLE_SIZE = 4
"""Maximum number of proxies whose load is compared at a time."""

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
    proxies: Sequence[ProxyStats], now_s: float, source: random.Random
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
    if source.random() < _PROBE_SHARE:
        for proxy in proxies:
            if _needs_probe(proxy, now_s):
                return ProxyChoice(proxy, 'probe')
    typical_s = _typical_service_time_s(proxies, now_s)
    best = proxies[0]
    best_s = math.inf
    for proxy in proxies:
        wait_s = proxy.expected_wait_s(now_s, typical_s=typical_s)
        if proxy.is_same_zone:
            wait_s *= _SAME_ZONE_FACTOR
        if wait_s < best_s:
            best = proxy
            best_s = wait_s
    if best.is_same_zone:
        return ProxyChoice(best, 'lowest expected wait, same zone')
    return ProxyChoice(best, 'lowest expected wait')


def sample_proxies(
    proxies: Sequence[ProxyStats], source: random.Random
) -> list[ProxyStats]:
    """Return a few random proxies, most of them in the same zone.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Proxies that may serve a request.
    source : random.Random
        Generator that draws the sample.

    Returns
    -------
    list of ProxyStats
        At most `SAMPLE_SIZE` proxies in random order.
    """
    if len(proxies) <= SAMPLE_SIZE:
        return list(proxies)
    near = [proxy for proxy in proxies if proxy.is_same_zone]
    far = [proxy for proxy in proxies if not proxy.is_same_zone]
    far_count = max(_REMOTE_SAMPLE_SIZE, SAMPLE_SIZE - len(near))
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
