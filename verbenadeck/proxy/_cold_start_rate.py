"""Rate limit for requests to an upstream during its cold start."""

import asyncio
from collections.abc import Callable

from loguru import logger

from verbenadeck.adapters import WARMED_UP, ColdStartState
from verbenadeck.utils import Clock

_log = logger.bind(part='door')

BURST_REQUESTS = 2.0
"""Size of the token bucket, in requests. With the stated rate, it keeps any
second below the platform's bound of 1.5 times the rate plus 5 requests."""

MIN_TOKEN_WAIT_S = 0.001
"""Minimum wait for a token, in seconds. A fraction of a token that rounding
leaves would otherwise be waited for in steps too short to advance the clock."""


class ColdStartRateLimiter:
    """Token bucket that limits requests only while the upstream is cold.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.

    Attributes
    ----------
    on_token : callable
        Called once a token is available after `try_take_token` returned
        False.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.on_token: Callable[[], None] = _do_nothing
        self._clock = clock
        self._state = WARMED_UP
        self._tokens = BURST_REQUESTS
        self._refilled_at_s = clock.now_s()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def rate_per_s(self) -> float:
        """Requests per second that may start; infinite for a warm upstream."""
        if self._clock.now_s() >= self._state.cold_until_s:
            return float('inf')
        return self._state.requests_per_s

    def set_cold_start(self, cold_start: ColdStartState) -> None:
        """Set the rate limit and its end from the state of the upstream.

        Parameters
        ----------
        cold_start : ColdStartState
            Requests per second that the upstream can bear, and until when.
        """
        is_cold = cold_start.cold_until_s > self._clock.now_s()
        if is_cold and self.rate_per_s == float('inf'):
            _log.info(
                'upstream is cold: sending at most {} requests/s',
                cold_start.requests_per_s,
            )
        self._state = cold_start

    def try_take_token(self) -> bool:
        """Take a token; return False and call `on_token` later if none is left."""
        rate_per_s = self.rate_per_s
        if rate_per_s == float('inf'):
            return True
        now_s = self._clock.now_s()
        gained = (now_s - self._refilled_at_s) * rate_per_s
        self._tokens = min(BURST_REQUESTS, self._tokens + gained)
        self._refilled_at_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return True
        self._schedule_wake(now_s, rate_per_s)
        return False

    def _schedule_wake(self, now_s: float, rate_per_s: float) -> None:
        if self._timer is not None:
            return
        cold_s = self._state.cold_until_s - now_s
        wait_s = cold_s
        if rate_per_s > 0:
            wait_s = min(cold_s, (1 - self._tokens) / rate_per_s)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(MIN_TOKEN_WAIT_S, wait_s), self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.on_token()


def _do_nothing() -> None:
    """Do nothing."""
