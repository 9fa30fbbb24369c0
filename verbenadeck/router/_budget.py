"""Token budgets that bound retries and hedges."""


class TokenBudget:
    """Token bucket that limits extra attempts to a ratio of first attempts.

    Parameters
    ----------
    max_tokens : float
        Capacity of the bucket: number of extra attempts that may be made in
        one burst.
    """

    __slots__ = ('_max_tokens', '_tokens')

    def __init__(self, *, max_tokens: float = 10) -> None:
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def refill(self, ratio: float) -> None:
        """Add the tokens for one first attempt.

        Parameters
        ----------
        ratio : float
            Extra attempts that are allowed per first attempt.

        Examples
        --------
        >>> budget = TokenBudget(max_tokens=1)
        >>> budget.try_spend(), budget.try_spend()
        (True, False)
        >>> budget.refill(0.5); budget.refill(0.5)
        >>> budget.try_spend()
        True
        """
        self._tokens = min(self._max_tokens, self._tokens + ratio)

    def try_spend(self) -> bool:
        """Remove one token and return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
