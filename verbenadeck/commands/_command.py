"""What a command is and what it gets."""

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec
from absl import flags
from returns.result import Result

from verbenadeck.adapters import LogAdapter
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.utils import Clock


class LogTarget(msgspec.Struct, frozen=True):
    """Stream of a log that operators name."""

    adapter: str
    url: str
    stream: str


class AdminAddress(msgspec.Struct, frozen=True):
    """Admin address of a node."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as it stands in an URL."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


class AdminReply(msgspec.Struct, frozen=True):
    """Answer of an admin server."""

    status: int
    body: bytes


AskAdmin = Callable[[AdminAddress, str], Awaitable[Result[AdminReply, str]]]
OpenLog = Callable[[LogTarget, Clock], Result[LogAdapter, CommandError]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """What commands touch of the outside.

    Parameters
    ----------
    write : callable
        Writes one line of output.
    clock : Clock
        Clock of the VM.
    open_log : callable
        Makes the adapter to a log.
    ask_admin : callable
        Sends a GET to a node's admin server.
    """

    write: Callable[[str], None]
    clock: Clock
    open_log: OpenLog
    ask_admin: AskAdmin


@dataclass(frozen=True, slots=True, kw_only=True)
class Invocation:
    """One call of a command.

    Parameters
    ----------
    arguments : tuple of str
        Arguments that are no flags.
    flags : FlagValues
        Parsed flags.
    environment : Environment
        The outside.
    """

    arguments: tuple[str, ...]
    flags: flags.FlagValues
    environment: Environment

    def flag(self, name: str) -> Any:
        """Return the value of a flag."""
        return getattr(self.flags, name)


CommandResult = Result[ExitCode, CommandError]


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """One command of the program.

    Parameters
    ----------
    name : str
        Name, of one or two words.
    usage : tuple of str
        Names of its arguments.
    summary : str
        What it does, in one line.
    run : callable
        Runs it.
    define_flags : tuple of callable
        Each defines flags.
    details : str
        Further help.
    """

    name: str
    usage: tuple[str, ...]
    summary: str
    run: Callable[[Invocation], Coroutine[Any, Any, CommandResult]]
    define_flags: tuple[Callable[[flags.FlagValues], None], ...] = ()
    details: str = ''
