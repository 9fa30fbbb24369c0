"""Help texts of the program and its commands."""

from collections.abc import Collection, Iterator

from verbenadeck.commands._command import Command
from verbenadeck.commands._outcomes import MEANINGS
from verbenadeck.commands._parsing import PROGRAM, make_flags


def program_help(commands: Collection[Command]) -> Iterator[str]:
    """Yield the help of the program."""
    yield f'usage: {PROGRAM} COMMAND [ARGUMENTS] [--flags]'
    yield ''
    width = max(len(_usage(command)) for command in commands)
    for command in commands:
        yield f'  {_usage(command):{width}}  {command.summary}'
    yield ''
    yield 'exit codes:'
    for code, meaning in MEANINGS.items():
        yield f'  {code.value}  {meaning}'
    yield ''
    yield more_help()


def command_help(command: Command) -> Iterator[str]:
    """Yield the help of a command."""
    yield f'usage: {PROGRAM} {_usage(command)} [--flags]'
    yield ''
    yield command.summary
    if command.details:
        yield command.details
    flag_values = make_flags(command)
    for name in flag_values:
        flag = flag_values[name]
        default = '' if flag.default is None else flag.default
        yield f'  --{name}={default}  {flag.help}'


def _usage(command: Command) -> str:
    return ' '.join((command.name, *command.usage))


def more_help() -> str:
    """Return where further help is."""
    return f'`{PROGRAM} COMMAND --help` tells its flags.'
