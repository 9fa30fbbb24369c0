"""Defaults of callables that a caller may leave out."""


def always() -> bool:
    """Return true, for a condition that always holds.

    Examples
    --------
    >>> always()
    True
    """
    return True
