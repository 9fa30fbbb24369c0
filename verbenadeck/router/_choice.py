"""Choice of one door among those that may serve a request."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from verbenadeck.router._stats import ProxyStats

_CHOICES = 4
_NEAR_BONUS = 0.9


class ProxyChoice(NamedTuple):
    """A chosen door and why."""

    proxy: ProxyStats
    why: str


ChooseProxy = Callable[
    [Sequence[ProxyStats], float, random.Random], ProxyChoice
]
"""From at least one door, the time now and a random source to a choice."""


def choose_by_expected_wait(
    proxies: Sequence[ProxyStats], now_s: float, source: random.Random
) -> ProxyChoice:
    """Return the best of a few random doors by expected wait.

    A door in the same zone wins against one that is hardly better. A door
    that was left alone for long gets one request as a probe.
    """
    best = proxies[0]
    best_s = math.inf
    for proxy in _some(proxies, source):
        if _needs_probe(proxy, now_s):
            return ProxyChoice(proxy, 'probe')
        wait_s = proxy.expected_wait_s(now_s)
        if proxy.is_near:
            wait_s *= _NEAR_BONUS
        if wait_s < best_s:
            best = proxy
            best_s = wait_s
    if best.is_near:
        return ProxyChoice(best, 'near and not slower')
    return ProxyChoice(best, 'least expected wait')


def _some(
    proxies: Sequence[ProxyStats], source: random.Random
) -> Sequence[ProxyStats]:
    count = len(proxies)
    if count <= _CHOICES:
        return proxies
    start = int(source.random() * count)
    step = 1 + int(source.random() * (count - 1) / _CHOICES)
    return [
        proxies[(start + number * step) % count] for number in range(_CHOICES)
    ]


def _needs_probe(proxy: ProxyStats, now_s: float) -> bool:
    if now_s - proxy.sent_at_s < proxy.probe_pause_s or proxy.in_flight:
        return False
    if now_s < proxy.avoid_until_s:
        return False
    return proxy.is_admitting(now_s)
