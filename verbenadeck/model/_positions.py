"""Positions in a log whose history may end and continue from an earlier record.

A log that comes back from a backup gives the indices of lost records out
again. So a record is named by the era in which it was decided and its index:
the era is in the upper bits of an `Offset`, the index below. Positions rise
along the log, and a position is never given to two records of different eras.
"""

from verbenadeck.model._ids import Era, Offset

_INDEX_BITS = 40
_INDEX_MASK = (1 << _INDEX_BITS) - 1

MAX_ERA = Era((1 << 13) - 1)
"""Highest era; all positions up to it are exact as JSON numbers."""


def make_offset(era: Era, index: int) -> Offset:
    """Return the position of an index in an era.

    Parameters
    ----------
    era : Era
        Era of the record.
    index : int
        Index of the record in the log, from 0.
    """
    return Offset(era << _INDEX_BITS | index)


def era_of(offset: Offset) -> Era:
    """Return the era of a position, 0 before the first record.

    Parameters
    ----------
    offset : Offset
        Position in the log.
    """
    return Era(max(0, offset) >> _INDEX_BITS)


def index_of(offset: Offset) -> int:
    """Return the index of a position, -1 before the first record.

    Parameters
    ----------
    offset : Offset
        Position in the log.

    Examples
    --------
    >>> index_of(make_offset(Era(2), 7)), index_of(Offset(7)), index_of(Offset(-1))
    (7, 7, -1)
    """
    return offset & _INDEX_MASK if offset >= 0 else offset


def next_offset(offset: Offset, era: Era) -> Offset:
    """Return the position of the record that follows in the log.

    A record that was decided in an earlier era than one before it counts in
    the era of the latter, so that positions rise along the log.

    Parameters
    ----------
    offset : Offset
        Position of the record before it.
    era : Era
        Era in which the record was decided.

    Examples
    --------
    >>> following = next_offset(Offset(7), Era(2))
    >>> era_of(following), index_of(following)
    (2, 8)
    >>> era_of(next_offset(following, Era(1)))
    2
    """
    return make_offset(max(era_of(offset), era), index_of(offset) + 1)
