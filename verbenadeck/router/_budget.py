"""Token budgets that bound retries and hedges."""

MIN_BURST = 2.0
"""Least burst of a member: one retry of any request, and one that is reserved
for the most urgent ones."""


class TokenBudget:
    """Token bucket that limits extra attempts to a ratio of first attempts.

    Parameters
    ----------
    max_tokens : float
        Capacity of the bucket: number of extra attempts that may be made in
        one burst.
    reserved_share : float
        Share of the capacity that only requests of priority 0 may use.
    """

    __slots__ = ('_max_tokens', '_reserved_share', '_tokens')

    def __init__(
        self, *, max_tokens: float = 10, reserved_share: float = 0
    ) -> None:
        self._max_tokens = max_tokens
        self._reserved_share = reserved_share
        self._tokens = max_tokens

    def refill(self, ratio: float, *, max_tokens: float | None = None) -> None:
        """Add the tokens for one first attempt.

        Parameters
        ----------
        ratio : float
            Extra attempts that are allowed per first attempt.
        max_tokens : float or None
            New capacity of the bucket; None keeps it. A larger capacity adds
            no tokens by itself, so that members which leave and come back
            do not add to the burst of the fleet.

        Examples
        --------
        >>> budget = TokenBudget(max_tokens=1)
        >>> budget.try_spend(), budget.try_spend()
        (True, False)
        >>> budget.refill(0.5); budget.refill(0.5)
        >>> budget.try_spend()
        True
        """
        if max_tokens is not None:
            self._max_tokens = max_tokens
        self._tokens = min(self._max_tokens, self._tokens + ratio)

    def try_spend(self, priority: int = 0) -> bool:
        """Remove one token and return whether there was one.

        Parameters
        ----------
        priority : int
            Priority of the request; above 0, it leaves the reserved share.

        Examples
        --------
        >>> budget = TokenBudget(max_tokens=2, reserved_share=0.5)
        >>> budget.try_spend(1), budget.try_spend(1), budget.try_spend(0)
        (True, False, True)
        """
        least = 1.0
        if priority > 0:
            least += self._reserved_share * self._max_tokens
        if self._tokens < least:
            return False
        self._tokens -= 1
        return True


def burst_per_member(burst: float, member_count: int) -> float:
    """Return the share of one member in the burst of its fleet.

    Parameters
    ----------
    burst : float
        Burst of all members together.
    member_count : int
        Number of members.

    Examples
    --------
    >>> burst_per_member(168, 10), burst_per_member(168, 86)
    (16.8, 2.0)
    """
    return max(MIN_BURST, burst / max(1, member_count))
