"""Load balancing: choice of one proxy among those that may serve a request."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from verbenadeck.router._stats import ProxyStats

_SAMPLE_SIZE = 4
_SAME_ZONE_FACTOR = 0.9


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
    """Choose the proxy with the lowest expected wait in a random sample.

    A proxy in the same zone is preferred unless another one is clearly
    faster. A proxy that got no request for its probe interval is probed with
    this one, so that its statistics stay current.

    Parameters
    ----------
    proxies : sequence of ProxyStats
        Candidates, at least one.
    now_s : float
        Time now, in seconds.
    source : random.Random
        Generator that draws the sample.

    Returns
    -------
    ProxyChoice
        Chosen proxy with the reason.
    """
    best = proxies[0]
    best_s = math.inf
    for proxy in _sample_proxies(proxies, source):
        if _needs_probe(proxy, now_s):
            return ProxyChoice(proxy, 'probe')
        wait_s = proxy.expected_wait_s(now_s)
        if proxy.is_same_zone:
            wait_s *= _SAME_ZONE_FACTOR
        if wait_s < best_s:
            best = proxy
            best_s = wait_s
    if best.is_same_zone:
        return ProxyChoice(best, 'lowest expected wait, same zone')
    return ProxyChoice(best, 'lowest expected wait')


def _sample_proxies(
    proxies: Sequence[ProxyStats], source: random.Random
) -> Sequence[ProxyStats]:
    count = len(proxies)
    if count <= _SAMPLE_SIZE:
        return proxies
    start = int(source.random() * count)
    step = 1 + int(source.random() * (count - 1) / _SAMPLE_SIZE)
    return [
        proxies[(start + number * step) % count]
        for number in range(_SAMPLE_SIZE)
    ]


def _needs_probe(proxy: ProxyStats, now_s: float) -> bool:
    if now_s - proxy.last_sent_at_s < proxy.probe_interval_s or proxy.in_flight:
        return False
    if now_s < proxy.cooldown_until_s:
        return False
    return proxy.is_admitting(now_s)
