"""When a witness set may be replaced by another."""

from verbenadeck.model import Incarnation

WitnessSet = tuple[Incarnation, ...]

_PAIR = 2


def is_change_allowed(
    current: WitnessSet,
    target: WitnessSet,
    *,
    live_count: int,
    is_long_without_lease: bool,
) -> bool:
    """Return whether a member may ask for another witness set.

    A set never shrinks because its witnesses are merely silent: a side that
    is cut off would then grant itself a lease and evict the others. A set
    of two is the exception. It may give up one silent witness while the
    other answers, since neither renewals nor votes survive otherwise.

    Parameters
    ----------
    current, target : tuple of Incarnation
        Set in force and wanted set; all of the wanted set answer.
    live_count : int
        Members that could be witnesses as the log has it.
    is_long_without_lease : bool
        Whether a small fleet has been without a lease for long.

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
    return bool(target) and (len(current) == _PAIR or is_long_without_lease)
