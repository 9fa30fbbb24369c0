"""Budgets for work beyond first attempts."""


class TokenBudget:
    """Allows a share of extra work, with a small reserve.

    Parameters
    ----------
    reserve : float
        Most tokens; as many extra requests may come at once.
    """

    __slots__ = ('_reserve', '_tokens')

    def __init__(self, *, reserve: float = 10) -> None:
        self._reserve = reserve
        self._tokens = reserve

    def earn(self, ratio: float) -> None:
        """Take the share that one first attempt earns.

        Examples
        --------
        >>> budget = TokenBudget(reserve=1)
        >>> budget.spend(), budget.spend()
        (True, False)
        >>> budget.earn(0.5); budget.earn(0.5)
        >>> budget.spend()
        True
        """
        self._tokens = min(self._reserve, self._tokens + ratio)

    def spend(self) -> bool:
        """Take a token; false when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
