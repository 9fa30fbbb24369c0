"""Defaults of callables that a caller may leave out."""


def always_true() -> bool:
    """Return true, for a condition that always holds.

    Examples
    --------
    >>> always_true()
    True
    """
    return True
