"""Checks of the fields of messages that another writer may have written."""

import math

_MAX_INT = 2**53
_MAX_NAME_LENGTH = 200


def read_int(number: object, *, least: int = 0, most: int = _MAX_INT) -> int:
    """Return an integer within bounds.

    Parameters
    ----------
    number : object
        Number as decoded; the type is checked.
    least, most : int
        Smallest and largest accepted number.

    Raises
    ------
    TypeError
        When it is not an integer.
    ValueError
        When it is out of bounds.

    Examples
    --------
    >>> read_int(7, most=9)
    7
    """
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError('expected an integer')
    if not least <= number <= most:
        raise ValueError('integer out of range')
    return number


def read_number(number: object) -> float:
    """Return a finite number that is not negative.

    Parameters
    ----------
    number : object
        Number as decoded; the type is checked.

    Raises
    ------
    TypeError
        When it is not a number.
    ValueError
        When it is negative or not finite.

    Examples
    --------
    >>> read_number(19)
    19.0
    """
    if isinstance(number, bool) or not isinstance(number, (int, float)):
        raise TypeError('expected a number')
    if not 0 <= number < math.inf:
        raise ValueError('number negative or not finite')
    return float(number)


def read_text(text: object, *, max_length: int = _MAX_NAME_LENGTH) -> str:
    """Return a printable text of bounded length.

    Parameters
    ----------
    text : object
        Text as decoded; the type is checked.
    max_length : int
        Largest number of characters.

    Raises
    ------
    TypeError
        When it is not a text.
    ValueError
        When it is too long or not printable.

    Examples
    --------
    >>> read_text('')
    ''
    """
    if not isinstance(text, str):
        raise TypeError('expected a text')
    if len(text) > max_length or not text.isprintable():
        raise ValueError('text too long or not printable')
    return text


def read_name(text: object) -> str:
    """Return a text that is not empty.

    Parameters
    ----------
    text : object
        Text as decoded; the type is checked.

    Raises
    ------
    TypeError
        When it is not a text.
    ValueError
        When it is empty, too long or not printable.

    Examples
    --------
    >>> read_name('i-7f3a91c2')
    'i-7f3a91c2'
    """
    name = read_text(text)
    if not name:
        raise ValueError('expected a name')
    return name


def read_range(first: object, last: object, *, stop: int) -> tuple[int, int]:
    """Return the first and last number of a range that is not empty.

    Parameters
    ----------
    first, last : object
        Bounds as decoded, both included; their types are checked.
    stop : int
        Number after the last one that exists.

    Raises
    ------
    TypeError
        When a bound is not an integer.
    ValueError
        When a bound is out of range or the range is empty.

    Examples
    --------
    >>> read_range(0, 4095, stop=65_536)
    (0, 4095)
    """
    first_number = read_int(first, most=stop - 1)
    return first_number, read_int(last, least=first_number, most=stop - 1)
