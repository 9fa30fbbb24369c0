"""Concurrency limit of a proxy: slots, cold start and adaptation."""

import math
from collections.abc import Callable
from typing import NamedTuple

_MIN_SHORT_TERM_WEIGHT = 0.1
_MIN_LONG_TERM_WEIGHT = 0.001
_SHORT_TERM_DECAY_S = 2.0
_INITIAL_SERVICE_TIME_S = 0.05
_MIN_SERVICE_TIME_S = 1e-6
_SLOW_ANSWER_RATIO = 4.0
_MIN_SLOW_ANSWER_S = 0.02
_SLOW_STREAK_LENGTH = 5
_SLOW_STREAK_DIVISOR = 4
_SLOW_START_STEP = 0.5
_SHED_HOLD_OFF_S = 2.0
_MIN_GRADIENT = 0.5
_GRADIENT_TOLERANCE = 1.5
_GRADIENT_SMOOTHING = 0.2

LimitAlgorithm = Callable[[float, float, float], float]
"""Function of the limit and the short- and long-term mean service time, in
seconds, that returns the next limit."""


def gradient_limit(
    limit: float, short_term_s: float, long_term_s: float
) -> float:
    """Return the next limit from the ratio of the mean service times.

    Parameters
    ----------
    limit : float
        Limit in force.
    short_term_s, long_term_s : float
        Short- and long-term mean service time, in seconds.

    Examples
    --------
    >>> gradient_limit(10, 0.05, 0.05) > 10
    True
    >>> gradient_limit(10, 0.5, 0.05) < 10
    True
    """
    gradient = max(
        _MIN_GRADIENT,
        min(1.0, _GRADIENT_TOLERANCE * long_term_s / short_term_s),
    )
    target = limit * gradient + math.sqrt(limit)
    return limit + _GRADIENT_SMOOTHING * (target - limit) / limit


def fixed_limit(limit: float, short_term_s: float, long_term_s: float) -> float:
    """Return infinity, for upstreams whose announced slots are exact."""
    return math.inf


class LimitOptions(NamedTuple):
    """Options of the concurrency limit.

    Parameters
    ----------
    algorithm : LimitAlgorithm
        Computes the next value of the adaptive limit.
    min_share : float
        Share of the slots below which neither slow answers nor shed requests
        without a stated capacity reduce the limit. An upstream whose slots
        are exact sheds or slows down for other reasons than its load, so
        that fewer requests would not help it.
    """

    algorithm: LimitAlgorithm = gradient_limit
    min_share: float = 0


_DEFAULTS = LimitOptions()


class ConcurrencyLimit:
    """Limit on the requests that a proxy runs concurrently.

    The limit is the minimum of four values: the slots that the upstream
    announced, the number of requests that it reports it can bear, a slow-start
    ramp that is reduced on each sign of a cold upstream, and an adaptive limit
    that follows the service times.

    Parameters
    ----------
    options : LimitOptions
        Options of the limit.

    Attributes
    ----------
    slots : int
        Slots that the upstream announced.
    service_time_s : float
        Short-term mean service time, in seconds.
    """

    def __init__(self, *, options: LimitOptions = _DEFAULTS) -> None:
        self.slots = 0
        self.service_time_s = _INITIAL_SERVICE_TIME_S
        self._long_term_s = _INITIAL_SERVICE_TIME_S
        self._samples = 0
        self._answered_at_s = -math.inf
        self._slow_streak = 0
        self._algorithm = options.algorithm
        self._min_share = options.min_share
        self._bearable = 0
        self._ramp = 0.0
        self._slow_start_threshold = 0.0
        self._adaptive = 0.0
        self._reduced_at_s = -math.inf
        self._no_increase_until_s = -math.inf

    @property
    def limit(self) -> int:
        """Number of requests that may run concurrently."""
        if self._bearable == 0:
            return 0
        low = min(self.slots, self._bearable, self._ramp, self._adaptive)
        return max(1, int(low))

    @property
    def is_cold(self) -> bool:
        """Whether the ramp or the reported capacity is below the slots."""
        return min(self._bearable, self._ramp) < self.slots

    @property
    def is_measured(self) -> bool:
        """Whether the service time comes from answers of this instance."""
        return self._samples > 0

    def reset_for_instance(
        self, slots: int, bearable: int, *, now_s: float
    ) -> None:
        """Reset the limit for a new instance of the upstream.

        Parameters
        ----------
        slots : int
            Slots that it announced.
        bearable : int
            Requests that it reports it can bear.
        now_s : float
            Current time, in seconds.
        """
        self.slots = slots
        self._bearable = max(0, min(slots, bearable))
        self._ramp = float(max(1, self._bearable))
        self._slow_start_threshold = float(slots)
        self._adaptive = float(slots)
        self._samples = 0
        self._slow_streak = 0
        self._reduced_at_s = now_s
        self._no_increase_until_s = -math.inf

    def apply_report(
        self, bearable: int, *, is_healthy: bool, now_s: float
    ) -> None:
        """Apply a load report; a lower value counts at once.

        A higher value is ignored for `_SHED_HOLD_OFF_S` after a shed request
        that stated a capacity, since reports may lag behind.

        Parameters
        ----------
        bearable : int
            Requests that the upstream reports it can bear.
        is_healthy : bool
            Whether the upstream is healthy; if not, one request at most is
            sent to probe it.
        now_s : float
            Current time, in seconds.
        """
        stated = max(0, min(self.slots, bearable))
        if not is_healthy:
            stated = min(stated, 1)
        if stated < self._bearable:
            self._reduce_to(stated, now_s)
        elif now_s >= self._no_increase_until_s:
            self._bearable = stated

    def record_shed(
        self, bearable: int | None, *, sent_at_s: float, now_s: float
    ) -> None:
        """Reduce the limit after the upstream has shed a request.

        Parameters
        ----------
        bearable : int or None
            Requests that the upstream states it can bear. If it states none
            or no fewer than known, the ramp is halved, but only once for all
            requests sent before.
        sent_at_s, now_s : float
            Time at which the request was sent, and current time, in seconds.
        """
        if bearable is not None:
            self._no_increase_until_s = now_s + _SHED_HOLD_OFF_S
            if bearable < self._bearable:
                self._reduce_to(max(0, bearable), now_s)
                return
        if sent_at_s > self._reduced_at_s:
            self._reduce_ramp_above_min_share(
                min(self._ramp, self.limit) / 2, now_s
            )

    def record_answer(self, service_time_s: float, *, now_s: float) -> None:
        """Update the means and the limit with a complete answer.

        `_SLOW_STREAK_LENGTH` slow answers in a row reduce the ramp.

        Parameters
        ----------
        service_time_s : float
            Service time of the request, in seconds.
        now_s : float
            Current time, in seconds.
        """
        service_time_s = max(_MIN_SERVICE_TIME_S, service_time_s)
        slow_s = max(_MIN_SLOW_ANSWER_S, _SLOW_ANSWER_RATIO * self._long_term_s)
        is_slow = self._samples > 0 and service_time_s > slow_s
        self._slow_streak = self._slow_streak + 1 if is_slow else 0
        self._update_averages(service_time_s, now_s)
        if self._slow_streak >= _SLOW_STREAK_LENGTH:
            self._slow_streak = 0
            self._long_term_s = service_time_s
            self.service_time_s = service_time_s
            self._reduce_ramp_above_min_share(
                self.limit / _SLOW_STREAK_DIVISOR, now_s
            )
            return
        self._raise_ramp()
        self._adaptive = min(
            float(self.slots),
            self._algorithm(
                self._adaptive, self.service_time_s, self._long_term_s
            ),
        )

    def _update_averages(self, service_time_s: float, now_s: float) -> None:
        if self._samples == 0:
            self.service_time_s = service_time_s
            self._long_term_s = service_time_s
        self._samples += 1
        # Few answers suffice to show that an upstream which others avoided
        # has recovered.
        age_s = now_s - self._answered_at_s
        self._answered_at_s = now_s
        weight = max(
            1 / self._samples,
            _MIN_SHORT_TERM_WEIGHT,
            1 - math.exp(-age_s / _SHORT_TERM_DECAY_S),
        )
        self.service_time_s += weight * (service_time_s - self.service_time_s)
        weight = max(1 / self._samples, _MIN_LONG_TERM_WEIGHT)
        self._long_term_s += weight * (service_time_s - self._long_term_s)

    def _raise_ramp(self) -> None:
        ceiling = float(self.slots)
        if self._ramp >= ceiling:
            return
        step = _SLOW_START_STEP
        if self._ramp >= self._slow_start_threshold:
            step /= self._ramp
        self._ramp = min(ceiling, self._ramp + step, 2.0 * self._bearable)

    def _reduce_to(self, bearable: int, now_s: float) -> None:
        self._bearable = bearable
        self._reduce_ramp(float(bearable), now_s)

    def _reduce_ramp_above_min_share(self, ramp: float, now_s: float) -> None:
        """Reduce the ramp without a stated capacity, not below `min_share`."""
        least = self._min_share * min(self.slots, self._bearable)
        self._reduce_ramp(max(ramp, min(least, self._ramp)), now_s)

    def _reduce_ramp(self, ramp: float, now_s: float) -> None:
        self._ramp = max(1.0, ramp)
        self._slow_start_threshold = self._ramp
        self._reduced_at_s = now_s
