"""Times and addresses in the notation of the platform."""

import math
from typing import NamedTuple

_MS_PER_S = 1000.0
MAX_PORT = 65_535
_UNITS_S = (('ms', 1 / _MS_PER_S), ('s', 1.0))


DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors of decoding what another writer may have written: fields missing or
of another type, numbers that are too large, or very deep nesting."""


class Address(NamedTuple):
    """IP address and TCP port."""

    host: str
    port: int


def read_time_s(text: object) -> float:
    """Return the seconds of a time such as `1500ms` or `2.5s`.

    Parameters
    ----------
    text : object
        Time with unit; the type is checked, as it comes from outside.

    Raises
    ------
    ValueError
        When the text is not a finite time.

    Examples
    --------
    >>> read_time_s('1500ms'), read_time_s('2.5s')
    (1.5, 2.5)
    """
    if isinstance(text, str):
        for unit, unit_s in _UNITS_S:
            if text.endswith(unit):
                time_s = float(text.removesuffix(unit)) * unit_s
                if math.isfinite(time_s):
                    return time_s
    raise ValueError(f'not a time: {text!r}')


def write_time(time_s: float) -> str:
    """Return a time as text in whole milliseconds.

    Parameters
    ----------
    time_s : float
        Time in seconds; fractions of a millisecond are cut off.

    Examples
    --------
    >>> write_time(1.5)
    '1500ms'
    """
    return f'{int(time_s * _MS_PER_S)}ms'


def read_address(text: str) -> Address:
    """Return the address in a text such as `host:port`.

    Parameters
    ----------
    text : str
        IP address and TCP port.

    Raises
    ------
    ValueError
        When the port is not a number from 1 to 65535.

    Examples
    --------
    >>> read_address('10.1.0.41:8629')
    Address(host='10.1.0.41', port=8629)
    """
    host, _, port_text = text.rpartition(':')
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port out of range: {port}')
    return Address(host, port)
