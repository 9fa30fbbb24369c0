"""Help texts of the program and its commands."""

from collections.abc import Collection, Iterator

from verbenadeck.commands._command import Command
from verbenadeck.commands._outcomes import EXIT_CODE_MEANINGS
from verbenadeck.commands._parsing import PROGRAM_NAME, make_flag_values


def generate_program_help(commands: Collection[Command]) -> Iterator[str]:
    """Yield the lines of the program's help.

    Parameters
    ----------
    commands : collection of Command
        Commands to list.
    """
    yield f'usage: {PROGRAM_NAME} COMMAND [ARGUMENTS] [--flags]'
    yield ''
    width = max(len(_format_usage(command)) for command in commands)
    for command in commands:
        yield f'  {_format_usage(command):{width}}  {command.summary}'
    yield ''
    yield 'exit codes:'
    for code, meaning in EXIT_CODE_MEANINGS.items():
        yield f'  {code.value}  {meaning}'
    yield ''
    yield make_help_hint()


def generate_command_help(command: Command) -> Iterator[str]:
    """Yield the lines of a command's help.

    Parameters
    ----------
    command : Command
        Command to describe.
    """
    yield f'usage: {PROGRAM_NAME} {_format_usage(command)} [--flags]'
    yield ''
    yield command.summary
    if command.details:
        yield command.details
    flag_values = make_flag_values(command)
    for name in flag_values:
        flag = flag_values[name]
        default = '' if flag.default is None else flag.default
        yield f'  --{name}={default}  {flag.help}'


def _format_usage(command: Command) -> str:
    return ' '.join((command.name, *command.usage))


def make_help_hint() -> str:
    """Return a hint where to find the flags of a command."""
    return f'`{PROGRAM_NAME} COMMAND --help` lists the flags of a command.'
