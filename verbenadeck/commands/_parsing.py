"""Parsing of a command's flags and arguments."""

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.commands._command import Command, Environment, Invocation
from verbenadeck.commands._outcomes import CommandError, ExitCode

PROGRAM_NAME = 'verbenadeck'
"""Name of the program in help texts and error messages."""


def parse_invocation(
    command: Command, remaining_words: tuple[str, ...], environment: Environment
) -> Result[Invocation, CommandError]:
    """Parse the flags and arguments of a command.

    Parameters
    ----------
    command : Command
        Command that the command line names.
    remaining_words : tuple of str
        Words of the command line after the name of the command.
    environment : Environment
        External services that the command uses.
    """
    flag_values = make_flag_values(command)
    try:
        arguments = tuple(flag_values((PROGRAM_NAME, *remaining_words))[1:])
    except flags.Error as error:
        return Failure(_make_usage_error(command, str(error)))
    if len(arguments) != len(command.usage):
        expected_text = ' '.join(command.usage) or 'no arguments'
        given_text = ' '.join(arguments) or 'none'
        text = f'{command.name} takes {expected_text}, given: {given_text}'
        return Failure(_make_usage_error(command, text))
    return Success(
        Invocation(
            arguments=arguments, flags=flag_values, environment=environment
        )
    )


def make_flag_values(command: Command) -> flags.FlagValues:
    """Return the flags of a command with their defaults, before parsing.

    Parameters
    ----------
    command : Command
        Command that defines the flags.
    """
    flag_values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flag_values.set_gnu_getopt()
    for define_flag in command.define_flags:
        define_flag(flag_values)
    return flag_values


def _make_usage_error(command: Command, text: str) -> CommandError:
    hint = f'See `{PROGRAM_NAME} {command.name} --help`.'
    return CommandError(ExitCode.USAGE, text, hint)
