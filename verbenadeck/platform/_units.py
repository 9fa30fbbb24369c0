"""Times and addresses as the platform writes them."""

from typing import NamedTuple

_MS_PER_S = 1000.0
_UNITS_S = (('ms', 1 / _MS_PER_S), ('s', 1.0))


class Address(NamedTuple):
    """IP address and TCP port."""

    host: str
    port: int


def read_time_s(text: object) -> float:
    """Return the seconds of a time such as `1500ms` or `2.5s`.

    Raises
    ------
    ValueError
        When the text is no time.

    Examples
    --------
    >>> read_time_s('1500ms'), read_time_s('2.5s')
    (1.5, 2.5)
    """
    if isinstance(text, str):
        for unit, unit_s in _UNITS_S:
            if text.endswith(unit):
                return float(text.removesuffix(unit)) * unit_s
    raise ValueError(f'no time: {text!r}')


def write_time(time_s: float) -> str:
    """Return a time in whole milliseconds.

    Examples
    --------
    >>> write_time(1.5)
    '1500ms'
    """
    return f'{int(time_s * _MS_PER_S)}ms'


def read_address(text: str) -> Address:
    """Return the parts of `host:port`.

    Raises
    ------
    ValueError
        When the text is no address.

    Examples
    --------
    >>> read_address('10.1.0.41:8629')
    Address(host='10.1.0.41', port=8629)
    """
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
