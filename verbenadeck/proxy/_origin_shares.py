"""Shares of the waiting places of a queue between origins of requests."""

from collections import Counter
from collections.abc import Collection, Hashable
from typing import TypeVar

_MIN_SHARE = 2
"""Least share of an origin, in waiting places. With fewer, two requests that
arrive together from one entry would displace each other's."""

_OriginT = TypeVar('_OriginT', bound=Hashable)


def origin_to_displace(
    waiting: Collection[_OriginT], joining: _OriginT
) -> _OriginT | None:
    """Return the origin whose request is displaced by one that joins, or None.

    Parameters
    ----------
    waiting : collection
        Origins of the waiting requests of one priority, one for each.
    joining : hashable
        Origin of the request that joins.

    Returns
    -------
    hashable or None
        Origin that is furthest above its equal share; None if there is none,
        or if the joining one would exceed its share too.

    Examples
    --------
    >>> origin_to_displace('aaaab', 'b')
    'a'
    >>> origin_to_displace('aabb', 'c') is None
    True
    """
    held = Counter(waiting)
    share = max(_MIN_SHARE, len(waiting) / len({*held, joining}))
    if not held or held[joining] + 1 > share:
        return None
    furthest, count = held.most_common(1)[0]
    return furthest if count > share else None
