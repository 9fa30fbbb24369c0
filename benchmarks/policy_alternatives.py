"""Other ways to limit, choose and break, to compare with the built ones."""

import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from types import MappingProxyType

from verbenadeck.proxy import LimitAlgorithm, gradient_limit
from verbenadeck.router import (
    ChooseProxy,
    ProxyChoice,
    ProxyStats,
    choose_by_expected_wait,
)

_STEP_DOWN = 0.9
_SLOW_RATIO = 2.0


def fixed_limit(limit: float, short_s: float, long_s: float) -> float:
    """Return the same limit."""
    return limit


def aimd_limit(limit: float, short_s: float, long_s: float) -> float:
    """Return a limit that grows by one a round and shrinks by a tenth."""
    if short_s > _SLOW_RATIO * long_s:
        return max(1.0, limit * _STEP_DOWN)
    return limit + 1 / limit


def strong_gradient_limit(limit: float, short_s: float, long_s: float) -> float:
    """Return the gradient's limit with little tolerance and headroom."""
    gradient = max(0.5, min(1.0, 1.2 * long_s / short_s))
    return limit + 0.2 * (limit * gradient + 1 - limit) / limit


LIMITERS: MappingProxyType[str, LimitAlgorithm] = MappingProxyType(
    {
        'fixed': fixed_limit,
        'aimd': aimd_limit,
        'gradient': gradient_limit,
        'strong gradient': strong_gradient_limit,
    }
)


def choose_random(
    proxies: Sequence[ProxyStats], now_s: float, source: random.Random
) -> ProxyChoice:
    """Return a random door."""
    return ProxyChoice(source.choice(proxies), 'random')


def choose_least_reported(
    proxies: Sequence[ProxyStats], now_s: float, source: random.Random
) -> ProxyChoice:
    """Return the door whose last report was the least loaded."""

    def reported(proxy: ProxyStats) -> tuple[float, float]:
        load = proxy.load
        busy = 0 if load is None else load.running + load.queued
        return busy, source.random()

    return ProxyChoice(min(proxies, key=reported), 'least reported')


def choose_of_two(
    proxies: Sequence[ProxyStats], now_s: float, source: random.Random
) -> ProxyChoice:
    """Return the better of two random doors, without probes."""
    if len(proxies) == 1:
        return ProxyChoice(proxies[0], 'only one')
    pair = source.sample(list(proxies), 2)
    best = min(pair, key=lambda proxy: proxy.expected_wait_s(now_s))
    return ProxyChoice(best, 'lower wait of two')


CHOICES: MappingProxyType[str, ChooseProxy] = MappingProxyType(
    {
        'random': choose_random,
        'least reported': choose_least_reported,
        'two by wait': choose_of_two,
        'four by wait': choose_by_expected_wait,
    }
)


class Breaker:
    """Circuit breaker of one door as in the opossum paper.

    It opens when half of the calls of a rolling window failed, refuses all
    calls for a while and then lets a single one decide.
    """

    window_s = 10.0
    reset_s = 30.0
    threshold = 0.5

    def __init__(self) -> None:
        self.opened_at_s = -math.inf
        self.is_open = False
        self._calls: deque[tuple[float, bool]] = deque()

    def add(self, now_s: float, *, is_failure: bool) -> None:
        """Take the end of a call."""
        if self.is_open:
            self.is_open = is_failure
            self.opened_at_s = now_s
            self._calls.clear()
            return
        self._calls.append((now_s, is_failure))
        while self._calls[0][0] < now_s - self.window_s:
            self._calls.popleft()
        failures = sum(1 for _, failed in self._calls if failed)
        if failures > self.threshold * len(self._calls):
            self.is_open = True
            self.opened_at_s = now_s

    def may_call(self, now_s: float) -> bool:
        """Return whether a call may go out; a trial spends its turn."""
        if not self.is_open:
            return True
        if now_s < self.opened_at_s + self.reset_s:
            return False
        self.opened_at_s = now_s
        return True


def choose_with(breakers: Callable[[ProxyStats], Breaker]) -> ChooseProxy:
    """Return a choice at random among doors whose breaker lets it."""

    def choose(
        proxies: Sequence[ProxyStats], now_s: float, source: random.Random
    ) -> ProxyChoice:
        allowed = [
            proxy for proxy in proxies if breakers(proxy).may_call(now_s)
        ]
        return ProxyChoice(source.choice(allowed or list(proxies)), 'breaker')

    return choose
