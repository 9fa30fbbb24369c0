"""Table of all commands and the lookup of a command by its name."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from returns.result import Failure, Result, Success

from verbenadeck.commands._admission import ADMISSION_COMMANDS
from verbenadeck.commands._check import CHECK
from verbenadeck.commands._command import Command
from verbenadeck.commands._exceptions import EXCEPTION_COMMANDS
from verbenadeck.commands._explain import EXPLAIN
from verbenadeck.commands._help import make_help_hint
from verbenadeck.commands._log_tail import LOG_TAIL
from verbenadeck.commands._node import NODE
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._owner import OWNER
from verbenadeck.commands._publish import CONFIG, PUBLISH
from verbenadeck.commands._status import STATUS

COMMANDS: Mapping[str, Command] = MappingProxyType(
    {
        command.name: command
        for command in (
            NODE,
            CHECK,
            PUBLISH,
            CONFIG,
            *ADMISSION_COMMANDS,
            *EXCEPTION_COMMANDS,
            STATUS,
            OWNER,
            LOG_TAIL,
            EXPLAIN,
        )
    }
)
"""All commands by name."""

_NAME_WORD_COUNTS = (2, 1)


class FoundCommand(NamedTuple):
    """Command and the command line words after its name."""

    command: Command
    remaining_words: tuple[str, ...]


def find_command_by_words(
    arguments: tuple[str, ...],
) -> Result[FoundCommand, CommandError]:
    """Find the command that the first words name; two words take precedence.

    Parameters
    ----------
    arguments : tuple of str
        Words of the command line, at least one.
    """
    for word_count in _NAME_WORD_COUNTS:
        command = COMMANDS.get(' '.join(arguments[:word_count]))
        if command is not None:
            return Success(FoundCommand(command, arguments[word_count:]))
    names = ', '.join(COMMANDS)
    text = f'command {arguments[0]!r} is unknown; known are: {names}'
    return Failure(CommandError(ExitCode.USAGE, text, make_help_hint()))
