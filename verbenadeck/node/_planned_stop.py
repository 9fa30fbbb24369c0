"""Handle with which services begin and observe a planned stop."""

from collections.abc import Callable
from typing import NamedTuple


class PlannedStop(NamedTuple):
    """Pair of functions that begin a planned stop and return its state.

    Parameters
    ----------
    begin : callable
        Begins the planned stop; further calls have no effect.
    is_begun : callable
        Returns whether the planned stop has begun.
    """

    begin: Callable[[], None]
    is_begun: Callable[[], bool]
