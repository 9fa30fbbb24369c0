"""Share of the recent sends to an upstream that succeeded."""

import math

_DECAY_S = 1.0
"""Time constant of the decay: a few service times, so that a fault of some
seconds shows soon and is forgotten soon."""

_PRIOR_SUCCESSES = 0.5
"""Assumed successes, so that a single failure does not give a share of 0 and
an upstream without recent sends gets back to a share of 1. With more of them,
an upstream that is avoided is trusted again while it still fails."""


class SuccessShare:
    """Share of the sends that succeeded, with exponential decay.

    Examples
    --------
    >>> share = SuccessShare()
    >>> share.record(is_success=False, sent_at_s=0, now_s=1)
    >>> round(share.share(1), 2), share.share(60) > 0.99
    (0.33, True)
    """

    def __init__(self) -> None:
        self._successes = 0.0
        self._sends = 0.0
        self._at_s = -math.inf
        self._reset_at_s = -math.inf

    def record(
        self, *, is_success: bool, sent_at_s: float, now_s: float
    ) -> None:
        """Record the end of a send.

        Parameters
        ----------
        is_success : bool
            Whether it ended with an answer of a status below 500.
        sent_at_s : float
            Time of the send in seconds; one before the last reset went to an
            earlier instance and does not count.
        now_s : float
            Time now, in seconds.
        """
        if sent_at_s < self._reset_at_s:
            return
        decay = self._decay(now_s)
        self._successes = self._successes * decay + is_success
        self._sends = self._sends * decay + 1
        self._at_s = now_s

    def share(self, now_s: float) -> float:
        """Return the share of recent sends that succeeded, 1 without any.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.
        """
        decay = self._decay(now_s)
        successes = self._successes * decay + _PRIOR_SUCCESSES
        return successes / (self._sends * decay + _PRIOR_SUCCESSES)

    def reset(self, now_s: float) -> None:
        """Forget all sends, since the upstream has restarted.

        Parameters
        ----------
        now_s : float
            Time now, in seconds.
        """
        self._successes = 0.0
        self._sends = 0.0
        self._reset_at_s = now_s

    def _decay(self, now_s: float) -> float:
        return math.exp(min(0.0, self._at_s - now_s) / _DECAY_S)
