"""Planned stop of the process as the services see it."""

from collections.abc import Callable
from typing import NamedTuple


class PlannedStop(NamedTuple):
    """Begins a planned stop and tells whether it has begun.

    Parameters
    ----------
    begin : callable
        Begins the stop; a second call changes nothing.
    is_begun : callable
        Whether it has begun.
    """

    begin: Callable[[], None]
    is_begun: Callable[[], bool]
