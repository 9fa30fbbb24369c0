"""Main function of the program `verbenadeck`, which runs one command."""

import sys
from collections.abc import Iterator, Sequence

import uvloop
from returns.result import Success

from verbenadeck.commands._admin_client import send_admin_get
from verbenadeck.commands._catalogue import COMMANDS, find_command_by_words
from verbenadeck.commands._command import (
    Command,
    CommandResult,
    Environment,
)
from verbenadeck.commands._help import (
    generate_command_help,
    generate_program_help,
)
from verbenadeck.commands._log_flags import open_log
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._parsing import PROGRAM_NAME, parse_invocation
from verbenadeck.logs import setup_logs
from verbenadeck.utils import Clock

_HELP_ARGUMENTS = frozenset(('help', '--help', '-h', '-help'))


def run(argv: Sequence[str] | None = None) -> None:
    """Run the program and exit the process with the command's exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Words after the name of the program, by default those of the process.
    """
    sys.exit(main(tuple(sys.argv[1:] if argv is None else argv)))


def main(arguments: tuple[str, ...]) -> ExitCode:
    """Run a command in this process and return its exit code.

    Parameters
    ----------
    arguments : tuple of str
        Words after the name of the program.
    """
    if not arguments or arguments[0] in _HELP_ARGUMENTS:
        _write_lines(generate_program_help(COMMANDS.values()))
        return ExitCode.DONE if arguments else ExitCode.USAGE
    found = find_command_by_words(arguments)
    if not isinstance(found, Success):
        return _write_error(found.failure())
    command, remaining_words = found.unwrap()
    if _HELP_ARGUMENTS.intersection(remaining_words):
        _write_lines(generate_command_help(command))
        return ExitCode.DONE
    return _run_command(command, remaining_words)


def _run_command(
    command: Command, remaining_words: tuple[str, ...]
) -> ExitCode:
    parsed = parse_invocation(command, remaining_words, make_environment())
    if not isinstance(parsed, Success):
        return _write_error(parsed.failure())
    setup_logs(level='ERROR')
    try:
        outcome: CommandResult = uvloop.run(command.run(parsed.unwrap()))
    except KeyboardInterrupt:
        return _write_error(CommandError(ExitCode.UNKNOWN, 'interrupted'))
    except BrokenPipeError:
        sys.stderr.close()
        return ExitCode.DONE
    if isinstance(outcome, Success):
        return ExitCode(outcome.unwrap())
    return _write_error(outcome.failure())


def make_environment() -> Environment:
    """Return the environment that commands use outside of tests."""
    return Environment(
        write=_write_line,
        clock=Clock(),
        open_log=open_log,
        send_admin_get=send_admin_get,
    )


def _write_error(error: CommandError) -> ExitCode:
    sys.stderr.write(f'{PROGRAM_NAME}: {error}\n')
    return error.code


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _write_lines(lines: Iterator[str]) -> None:
    for line in lines:
        _write_line(line)
