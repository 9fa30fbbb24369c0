"""Options of the queue of a proxy."""

from typing import NamedTuple


class QueueOptions(NamedTuple):
    """Options of the queue of a proxy.

    Parameters
    ----------
    few_slots : int
        Number of announced slots up to which the queue forecasts waits from
        the kinds of requests, spreads retry times and shares its places
        between origins. With more slots the errors of counts and means
        average out. 0 turns it off.
    """

    few_slots: int = 0
