"""Parsing of flags and arguments of a command."""

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.commands._command import Command, Environment, Invocation
from verbenadeck.commands._outcomes import CommandError, ExitCode

PROGRAM = 'verbenadeck'
"""Name of the program."""


def parse_invocation(
    command: Command, rest: tuple[str, ...], environment: Environment
) -> Result[Invocation, CommandError]:
    """Parse flags and arguments of a command."""
    flag_values = make_flags(command)
    try:
        arguments = tuple(flag_values((PROGRAM, *rest))[1:])
    except flags.Error as error:
        return Failure(_usage_error(command, str(error)))
    if len(arguments) != len(command.usage):
        wanted = ' '.join(command.usage) or 'no arguments'
        given = ' '.join(arguments) or 'none'
        text = f'{command.name} takes {wanted}, given: {given}'
        return Failure(_usage_error(command, text))
    return Success(
        Invocation(
            arguments=arguments, flags=flag_values, environment=environment
        )
    )


def make_flags(command: Command) -> flags.FlagValues:
    """Return the flags of a command, not parsed yet."""
    flag_values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flag_values.set_gnu_getopt()
    for define in command.define_flags:
        define(flag_values)
    return flag_values


def _usage_error(command: Command, text: str) -> CommandError:
    hint = f'See `{PROGRAM} {command.name} --help`.'
    return CommandError(ExitCode.USAGE, text, hint)
