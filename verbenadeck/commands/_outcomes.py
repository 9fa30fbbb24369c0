"""Exit codes and errors of commands."""

import enum
from collections.abc import Mapping
from types import MappingProxyType

import msgspec


class ExitCode(enum.IntEnum):
    """Exit code of the program."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_FOUND = 7
    INCOMPLETE = 8


MEANINGS: Mapping[ExitCode, str] = MappingProxyType(
    {
        ExitCode.DONE: 'done',
        ExitCode.FAILED: 'a node could not start',
        ExitCode.USAGE: 'the command line is wrong',
        ExitCode.INVALID: 'a file or a value is wrong; nothing changed',
        ExitCode.CONFLICT: 'another operator was first; nothing changed',
        ExitCode.UNAVAILABLE: 'log or node unreachable; nothing changed',
        ExitCode.UNKNOWN: 'the change may come into force; repeating is safe',
        ExitCode.NOT_FOUND: 'what was asked for is not there',
        ExitCode.INCOMPLETE: 'some nodes do not answer or lag behind',
    }
)


class CommandError(msgspec.Struct, frozen=True):
    """A command did not do what was asked.

    Parameters
    ----------
    code : ExitCode
        Exit code.
    text : str
        What is wrong and where.
    hint : str
        What to do about it.
    """

    code: ExitCode
    text: str
    hint: str = ''

    def __str__(self) -> str:
        """Return the error as the operator reads it."""
        return f'{self.text}\n{self.hint}' if self.hint else self.text
