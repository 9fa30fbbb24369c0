"""Proxies that refused a request for lack of capacity."""

import math

import msgspec

from verbenadeck.model import Incarnation, Outcome, Refusal, RefusalReason

_CAPACITY_REASONS = frozenset(
    (RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE)
)
_MIN_RETRY_AFTER_S = 0.005


class RefusedTries:
    """Refusals of one request by proxies without capacity.

    Parameters
    ----------
    max_tries : int
        Number of such proxies after which the request is refused; 0 sets no
        limit and records nothing.
    """

    __slots__ = ('_max_tries', '_refusals')

    def __init__(self, max_tries: int) -> None:
        self._max_tries = max_tries
        self._refusals: dict[Incarnation, tuple[float, Refusal]] = {}

    @property
    def is_used_up(self) -> bool:
        """Whether as many proxies as allowed had no capacity."""
        return 0 < self._max_tries <= len(self._refusals)

    def record(
        self, proxy: Incarnation, refusal: Refusal, now_s: float
    ) -> Refusal:
        """Record a refusal and return the one to give the caller.

        Parameters
        ----------
        proxy : Incarnation
            Member whose proxy refused the request.
        refusal : Refusal
            Its refusal; one for another reason than capacity is returned.
        now_s : float
            Time now, in seconds.

        Returns
        -------
        Refusal
            Refusal with the earliest retry time so far, counted from now.
        """
        is_counted = (
            refusal.outcome is Outcome.NOT_RUN
            and refusal.reason in _CAPACITY_REASONS
        )
        if not self._max_tries or not is_counted:
            return refusal
        # A retry time of 0 states none, so that any other is preferred.
        retry_at_s = now_s + (refusal.retry_after_s or math.inf)
        self._refusals[proxy] = retry_at_s, refusal
        at_s, earliest = min(self._refusals.values(), key=_retry_time_s)
        if math.isinf(at_s):
            return refusal
        return msgspec.structs.replace(
            earliest, retry_after_s=max(_MIN_RETRY_AFTER_S, at_s - now_s)
        )


def _retry_time_s(entry: tuple[float, Refusal]) -> float:
    return entry[0]
