"""Constraints on the values of fields."""

import ipaddress
import math
import re
from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from verbenadeck.settings._errors import SettingsProblem

_NAME_PATTERN = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_HTTP_PATH_PATTERN = re.compile('/[^?#\x00-\x20]*')


class Constraint(Protocol):
    """Constraint on a value that has the declared type already."""

    def problem_of(self, value: object) -> str | None:
        """Check a value.

        Parameters
        ----------
        value : object
            Value of the declared type.

        Returns
        -------
        str or None
            Description of the problem, None when the value is allowed.
        """
        ...


class Interval(msgspec.Struct, frozen=True):
    """Closed interval of allowed numbers.

    Parameters
    ----------
    low : float
        Smallest allowed number.
    high : float
        Largest allowed number; infinity for no upper bound.

    Examples
    --------
    >>> Interval(0, 65_535).problem_of(70_000)
    'must be from 0 to 65535'
    """

    low: float
    high: float = math.inf

    def problem_of(self, value: object) -> str | None:
        """Return a problem for a number outside the interval."""
        if isinstance(value, int | float):
            if self.low <= value <= self.high:
                return None
        if math.isinf(self.high):
            return f'must be at least {self.low:g}'
        return f'must be from {_format_number(self.low)} to {_format_number(self.high)}'


class OneOf(msgspec.Struct, frozen=True):
    """List of allowed strings.

    Parameters
    ----------
    allowed : tuple of str
        Allowed strings.

    Examples
    --------
    >>> OneOf(('plain', 'json')).problem_of('xml')
    'must be one of: plain, json'
    """

    allowed: tuple[str, ...]

    def problem_of(self, value: object) -> str | None:
        """Return a problem for a value that is not in the list."""
        if value in self.allowed:
            return None
        return 'must be one of: {}'.format(', '.join(self.allowed))


class Pattern(msgspec.Struct, frozen=True):
    """Regular expression that must match the whole string.

    Parameters
    ----------
    pattern : re.Pattern
        Compiled regular expression.
    wanted : str
        Description of the expected text, for the problem.
    """

    pattern: re.Pattern[str]
    wanted: str

    def problem_of(self, value: object) -> str | None:
        """Return a problem for a string that does not match."""
        if isinstance(value, str) and self.pattern.fullmatch(value):
            return None
        return f'must be {self.wanted}'


class IpAddress(msgspec.Struct, frozen=True):
    """IP address of one interface.

    A wildcard address is not allowed, because the node announces the address
    to its peers.

    Examples
    --------
    >>> IpAddress().problem_of('0.0.0.0')
    'must be the IP address of one interface, such as 10.0.0.4'
    """

    def problem_of(self, value: object) -> str | None:
        """Return a problem for a name, a wildcard or a malformed address."""
        try:
            parsed = ipaddress.ip_address(str(value))
        except ValueError:
            parsed = None
        if parsed is not None and not parsed.is_unspecified:
            return None
        return 'must be the IP address of one interface, such as 10.0.0.4'


class PowerOfTwo(msgspec.Struct, frozen=True):
    """Power of two within a closed interval.

    Parameters
    ----------
    low : int
        Smallest allowed number.
    high : int
        Largest allowed number.

    Examples
    --------
    >>> PowerOfTwo(1, 65_536).problem_of(1000)
    'must be a power of two from 1 to 65536'
    """

    low: int
    high: int

    def problem_of(self, value: object) -> str | None:
        """Return a problem for a number that is not such a power of two."""
        if isinstance(value, int) and self.low <= value <= self.high:
            if value & (value - 1) == 0:
                return None
        return f'must be a power of two from {self.low} to {self.high}'


NAME = Pattern(
    _NAME_PATTERN,
    'a name of lower-case letters, digits, dots, dashes, underscores',
)
HTTP_PATH = Pattern(_HTTP_PATH_PATTERN, 'an absolute path such as /announce')
HTTP_URL = Pattern(
    re.compile(r'https?://[^\s/]+(/\S*)?'),
    'an URL such as http://10.0.0.9:7300',
)
NOT_BLANK = Pattern(re.compile(r'.*\S.*', re.DOTALL), 'text that is not blank')
PORT = Interval(0, 65_535)

Constraints = Mapping[str, Constraint]
"""Constraints of the fields of one struct type, by field name."""


def find_broken_constraints(
    document: msgspec.Struct, constraints: Constraints
) -> Iterable[SettingsProblem]:
    """Yield a problem for each field that violates its constraint.

    Parameters
    ----------
    document : msgspec.Struct
        Struct whose fields are checked.
    constraints : mapping
        Constraints by field name.
    """
    for name, constraint in constraints.items():
        text = constraint.problem_of(getattr(document, name))
        if text is not None:
            yield SettingsProblem((name,), text)


def _format_number(number: float) -> str:
    return str(int(number)) if number == int(number) else str(number)
