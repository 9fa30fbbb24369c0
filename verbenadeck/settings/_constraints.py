"""Constraints that a document declares for its fields."""

import ipaddress
import math
import re
from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from verbenadeck.settings._errors import SettingsProblem

_NAME = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_PATH = re.compile('/[^?#\x00-\x20]*')


class Constraint(Protocol):
    """Check of one value whose type is right already."""

    def problem_of(self, checked: object) -> str | None:
        """Return what is wrong with a value, None when it is allowed."""
        ...


class Interval(msgspec.Struct, frozen=True):
    """Closed interval of numbers.

    Examples
    --------
    >>> Interval(0, 65_535).problem_of(70_000)
    'must be from 0 to 65535'
    """

    low: float
    high: float = math.inf

    def problem_of(self, checked: object) -> str | None:
        """Return a problem when a number is outside of the interval."""
        if isinstance(checked, int | float):
            if self.low <= checked <= self.high:
                return None
        if math.isinf(self.high):
            return f'must be at least {self.low:g}'
        return f'must be from {_plain(self.low)} to {_plain(self.high)}'


class OneOf(msgspec.Struct, frozen=True):
    """Short list of allowed values.

    Examples
    --------
    >>> OneOf(('plain', 'json')).problem_of('xml')
    'must be one of: plain, json'
    """

    allowed: tuple[str, ...]

    def problem_of(self, checked: object) -> str | None:
        """Return a problem when a value is not listed."""
        if checked in self.allowed:
            return None
        return 'must be one of: {}'.format(', '.join(self.allowed))


class Pattern(msgspec.Struct, frozen=True):
    """Regular expression that a whole string matches."""

    pattern: re.Pattern[str]
    wanted: str

    def problem_of(self, checked: object) -> str | None:
        """Return a problem when a string does not match."""
        if isinstance(checked, str) and self.pattern.fullmatch(checked):
            return None
        return f'must be {self.wanted}'


class IpAddress(msgspec.Struct, frozen=True):
    """IP address of one interface, since peers are told of it.

    Examples
    --------
    >>> IpAddress().problem_of('0.0.0.0')
    'must be the IP address of one interface, such as 10.0.0.4'
    """

    def problem_of(self, checked: object) -> str | None:
        """Return a problem for a name, a wildcard or a malformed address."""
        try:
            parsed = ipaddress.ip_address(str(checked))
        except ValueError:
            parsed = None
        if parsed is not None and not parsed.is_unspecified:
            return None
        return 'must be the IP address of one interface, such as 10.0.0.4'


class PowerOfTwo(msgspec.Struct, frozen=True):
    """Power of two within limits.

    Examples
    --------
    >>> PowerOfTwo(1, 65_536).problem_of(1000)
    'must be a power of two from 1 to 65536'
    """

    low: int
    high: int

    def problem_of(self, checked: object) -> str | None:
        """Return a problem for any other number."""
        if isinstance(checked, int) and self.low <= checked <= self.high:
            if checked & (checked - 1) == 0:
                return None
        return f'must be a power of two from {self.low} to {self.high}'


NAME = Pattern(
    _NAME, 'a name of lower-case letters, digits, dots, dashes, underscores'
)
HTTP_PATH = Pattern(_PATH, 'an absolute path such as /announce')
HTTP_URL = Pattern(
    re.compile(r'https?://[^\s/]+(/\S*)?'),
    'an URL such as http://10.0.0.9:7300',
)
NOT_BLANK = Pattern(re.compile(r'.*\S.*', re.DOTALL), 'text, not blank')
PORT = Interval(0, 65_535)

Constraints = Mapping[str, Constraint]


def broken_constraints(
    document: msgspec.Struct, constraints: Constraints
) -> Iterable[SettingsProblem]:
    """Yield a problem for each field of a struct that breaks its own."""
    for name, constraint in constraints.items():
        text = constraint.problem_of(getattr(document, name))
        if text is not None:
            yield SettingsProblem((name,), text)


def _plain(number: float) -> str:
    return str(int(number)) if number == int(number) else str(number)
