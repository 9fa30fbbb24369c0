"""Definition of a command, its invocation and its environment."""

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
    """Log stream that a command connects to.

    Parameters
    ----------
    adapter : str
        Name of the log adapter.
    url : str
        Base URL of the log.
    stream : str
        Name of the stream.
    """

    adapter: str
    url: str
    stream: str


class AdminAddress(msgspec.Struct, frozen=True):
    """Address of a node's admin server.

    Parameters
    ----------
    host : str
        Host name or IP address, without brackets.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as written in a URL."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


class AdminReply(msgspec.Struct, frozen=True):
    """Response of an admin server.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    """

    status: int
    body: bytes


SendAdminGet = Callable[[AdminAddress, str], Awaitable[Result[AdminReply, str]]]
LogOpener = Callable[[LogTarget, Clock], Result[LogAdapter, CommandError]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """External services that commands use; tests replace them.

    Parameters
    ----------
    write : callable
        Writes one line to the output.
    clock : Clock
        Clock of the VM.
    open_log : callable
        Makes the adapter to a log.
    send_admin_get : callable
        Sends a GET request to a node's admin server.
    """

    write: Callable[[str], None]
    clock: Clock
    open_log: LogOpener
    send_admin_get: SendAdminGet


@dataclass(frozen=True, slots=True, kw_only=True)
class Invocation:
    """Parsed command line of a command, with its environment.

    Parameters
    ----------
    arguments : tuple of str
        Positional arguments.
    flags : FlagValues
        Parsed flags.
    environment : Environment
        External services that the command uses.
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
    """Definition of a command of the program.

    Parameters
    ----------
    name : str
        Name, one or two words.
    usage : tuple of str
        Names of the positional arguments.
    summary : str
        Description in one line.
    run : callable
        Executes the command.
    define_flags : tuple of callable
        Functions that each define one or more flags.
    details : str
        Further help text.
    """

    name: str
    usage: tuple[str, ...]
    summary: str
    run: Callable[[Invocation], Coroutine[Any, Any, CommandResult]]
    define_flags: tuple[Callable[[flags.FlagValues], None], ...] = ()
    details: str = ''
