"""Default values of optional callable parameters."""


def always_true() -> bool:
    """Return True, as the default of an optional condition.

    Returns
    -------
    bool

    Examples
    --------
    >>> always_true()
    True
    """
    return True


def ignore_name(_name: str) -> None:
    """Do nothing, as the default of an optional counter."""


def do_nothing() -> None:
    """Do nothing, as the default of an optional callback."""
