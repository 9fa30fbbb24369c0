"""Rules for the replacement of a witness set."""

from verbenadeck.model import Incarnation

WitnessSet = tuple[Incarnation, ...]

_PAIR_SIZE = 2


def is_change_allowed(
    current: WitnessSet,
    target: WitnessSet,
    *,
    live_count: int,
    is_long_without_lease: bool,
) -> bool:
    """Return whether a member may propose another witness set.

    Silence alone must not shrink a set: a side that a partition cuts off
    would then grant itself a lease and evict the others. A set of two is the
    exception. It may drop a silent witness while the other answers, since
    otherwise neither renewals nor votes are possible.

    Parameters
    ----------
    current, target : tuple of Incarnation
        Set in force and proposed set, whose members all answer.
    live_count : int
        Number of members that may be witnesses according to the log.
    is_long_without_lease : bool
        Whether this node of a small fleet has long had no lease.

    Examples
    --------
    >>> is_change_allowed(
    ...     (1, 2, 3), (1,), live_count=5, is_long_without_lease=False
    ... )
    False
    >>> is_change_allowed(
    ...     (1, 2), (1,), live_count=2, is_long_without_lease=False
    ... )
    True
    >>> is_change_allowed(
    ...     (1,), (), live_count=1, is_long_without_lease=True
    ... )
    False
    """
    if set(target) == set(current):
        return False
    if len(target) >= min(len(current), live_count):
        return True
    return bool(target) and (
        len(current) == _PAIR_SIZE or is_long_without_lease
    )
