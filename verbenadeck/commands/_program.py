"""The program `verbenadeck`: finds the command and runs it."""

import sys
from collections.abc import Iterator, Sequence

import uvloop
from returns.result import Success

from verbenadeck.commands._admin_client import ask_admin
from verbenadeck.commands._catalogue import COMMANDS, find_command
from verbenadeck.commands._command import (
    Command,
    CommandResult,
    Environment,
)
from verbenadeck.commands._help import command_help, program_help
from verbenadeck.commands._log_flags import open_log
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._parsing import PROGRAM, parse_invocation
from verbenadeck.logs import setup_logs
from verbenadeck.utils import Clock

_HELP_WORDS = frozenset(('help', '--help', '-h', '-help'))


def run(argv: Sequence[str] | None = None) -> None:
    """Run the program and exit with the code of its command."""
    sys.exit(main(tuple(sys.argv[1:] if argv is None else argv)))


def main(arguments: tuple[str, ...]) -> ExitCode:
    """Run a command in this process and return its exit code.

    Parameters
    ----------
    arguments : tuple of str
        Words after the name of the program.
    """
    if not arguments or arguments[0] in _HELP_WORDS:
        _write_lines(program_help(COMMANDS.values()))
        return ExitCode.DONE if arguments else ExitCode.USAGE
    found = find_command(arguments)
    if not isinstance(found, Success):
        return _fail(found.failure())
    command, rest = found.unwrap()
    if _HELP_WORDS.intersection(rest):
        _write_lines(command_help(command))
        return ExitCode.DONE
    return _run_command(command, rest)


def _run_command(command: Command, rest: tuple[str, ...]) -> ExitCode:
    parsed = parse_invocation(command, rest, make_environment())
    if not isinstance(parsed, Success):
        return _fail(parsed.failure())
    setup_logs(level='ERROR')
    try:
        outcome: CommandResult = uvloop.run(command.run(parsed.unwrap()))
    except KeyboardInterrupt:
        return _fail(CommandError(ExitCode.UNKNOWN, 'interrupted'))
    except BrokenPipeError:
        sys.stderr.close()
        return ExitCode.DONE
    if isinstance(outcome, Success):
        return ExitCode(outcome.unwrap())
    return _fail(outcome.failure())


def make_environment() -> Environment:
    """Return the environment of a real process."""
    return Environment(
        write=_write_line,
        clock=Clock(),
        open_log=open_log,
        ask_admin=ask_admin,
    )


def _fail(error: CommandError) -> ExitCode:
    sys.stderr.write(f'{PROGRAM}: {error}\n')
    return error.code


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _write_lines(lines: Iterator[str]) -> None:
    for line in lines:
        _write_line(line)
