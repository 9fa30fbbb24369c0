"""Exit codes and error type of commands."""

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


EXIT_CODE_MEANINGS: Mapping[ExitCode, str] = MappingProxyType(
    {
        ExitCode.DONE: 'done',
        ExitCode.FAILED: 'a node could not start',
        ExitCode.USAGE: 'the command line is invalid',
        ExitCode.INVALID: 'a file or a value is invalid; nothing changed',
        ExitCode.CONFLICT: 'another change came first; nothing changed',
        ExitCode.UNAVAILABLE: 'log or node unreachable; nothing changed',
        ExitCode.UNKNOWN: 'the change may come into force; repeating is safe',
        ExitCode.NOT_FOUND: 'the requested object does not exist',
        ExitCode.INCOMPLETE: 'some nodes do not answer or lag behind',
    }
)


class CommandError(msgspec.Struct, frozen=True):
    """Failure of a command.

    Parameters
    ----------
    code : ExitCode
        Exit code of the program.
    text : str
        Cause and place of the failure.
    hint : str
        Suggested action of the operator, empty if there is none.
    """

    code: ExitCode
    text: str
    hint: str = ''

    def __str__(self) -> str:
        """Return the text and, on a second line, the hint."""
        return f'{self.text}\n{self.hint}' if self.hint else self.text
