"""All commands, and how words lead to them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from returns.result import Failure, Result, Success

from verbenadeck.commands._admission import ADMISSION_COMMANDS
from verbenadeck.commands._check import CHECK
from verbenadeck.commands._command import Command
from verbenadeck.commands._exceptions import EXCEPTION_COMMANDS
from verbenadeck.commands._explain import EXPLAIN
from verbenadeck.commands._help import more_help
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

_WORDS = (2, 1)


class FoundCommand(NamedTuple):
    """A command and the words after its name."""

    command: Command
    rest: tuple[str, ...]


def find_command(
    arguments: tuple[str, ...],
) -> Result[FoundCommand, CommandError]:
    """Return the command that the first words name, and the rest."""
    for count in _WORDS:
        command = COMMANDS.get(' '.join(arguments[:count]))
        if command is not None:
            return Success(FoundCommand(command, arguments[count:]))
    names = ', '.join(COMMANDS)
    text = f'command {arguments[0]!r} is unknown; known are: {names}'
    return Failure(CommandError(ExitCode.USAGE, text, more_help()))
