"""Helpers that run commands with an in-memory log and fake admin servers."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    LogAdapter,
    LogError,
    LogFailure,
    LogPage,
)
from verbenadeck.admin import NodeIdentity, NodeStatus, UpstreamStatus
from verbenadeck.commands import (
    AdminAddress,
    AdminReply,
    CommandError,
    Environment,
    ExitCode,
    LogTarget,
)
from verbenadeck.commands._catalogue import find_command_by_words
from verbenadeck.commands._parsing import parse_invocation
from verbenadeck.fleet.tests.builders import HOLDS, make_fleet
from verbenadeck.model import ConfigVersion, NodeId, Offset, Region, Zone
from verbenadeck.testing import (
    MemoryLog,
    MemoryLogAdapter,
    run_virtual,
    virtual_clock,
)
from verbenadeck.utils import Clock

LOG_FLAG = '--log_url=http://127.0.0.1:7300'
AUTHOR_FLAG = '--author=ana'

Outcome = tuple[ExitCode, str]


class UnreadableLogAdapter(MemoryLogAdapter):
    """Log adapter whose reads fail while the console's log is unreadable."""

    def __init__(self, console: 'OperatorConsole', clock: Clock) -> None:
        super().__init__(console.log, clock)
        self._console = console

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Read records, or fail while the log is set to be unreadable."""
        found = await super().read(
            start_offset, limit=limit, deadline_s=deadline_s
        )
        if not self._console.has_unreadable_log:
            return found
        return Failure(LogError(LogFailure.UNAVAILABLE, 'reads fail'))


@dataclass
class OperatorConsole:
    """Environment of an operator's commands, and their output.

    Parameters
    ----------
    log : MemoryLog
        Log that the commands use.
    replies : mapping of int to AdminReply
        Replies of the admin servers, by port.
    lines : list of str
        Lines that commands wrote.
    has_unreadable_log : bool
        Whether reads of the log fail; appends are not affected.
    """

    log: MemoryLog = field(default_factory=MemoryLog)
    replies: Mapping[int, AdminReply] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    has_unreadable_log: bool = False

    async def run(self, *words: str) -> Outcome:
        """Run a command and return its exit code with its output or error."""
        command, rest = find_command_by_words(words).unwrap()
        environment = Environment(
            write=self.lines.append,
            clock=virtual_clock(),
            open_log=self._open_log,
            send_admin_get=self._reply_to_get,
        )
        start = len(self.lines)
        parsed = parse_invocation(command, rest, environment)
        if not isinstance(parsed, Success):
            return _make_failed_outcome(parsed.failure())
        outcome = await command.run(parsed.unwrap())
        if not isinstance(outcome, Success):
            return _make_failed_outcome(outcome.failure())
        return outcome.unwrap(), '\n'.join(self.lines[start:])

    def _open_log(
        self, _target: LogTarget, clock: Clock
    ) -> Result[LogAdapter, CommandError]:
        return Success(UnreadableLogAdapter(self, clock))

    async def _reply_to_get(
        self, address: AdminAddress, _path: str
    ) -> Result[AdminReply, str]:
        reply = self.replies.get(address.port)
        if reply is None:
            return Failure(f'{address} does not answer')
        return Success(reply)


def make_fleet_console(count: int = 3) -> OperatorConsole:
    """Return a console whose log has a document and members."""
    recorder, nodes = make_fleet(count)
    recorder.assign(nodes[0])
    log = MemoryLog()
    log.records.extend(recorder.payloads)
    return OperatorConsole(log=log)


def run_words(console: OperatorConsole, *words: str) -> Outcome:
    """Run one command in virtual time."""
    return run_virtual(console.run(*words))


def run_in_sequence(
    console: OperatorConsole, lines: Iterable[tuple[str, ...]]
) -> list[Outcome]:
    """Run commands one after the other in virtual time."""

    async def scenario() -> list[Outcome]:
        return [await console.run(*words) for words in lines]

    return run_virtual(scenario())


def run_concurrently(
    console: OperatorConsole, lines: Iterable[tuple[str, ...]]
) -> list[Outcome]:
    """Run commands at the same time in virtual time."""

    async def scenario() -> list[Outcome]:
        return await asyncio.gather(*(console.run(*words) for words in lines))

    return run_virtual(scenario())


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""

    async def run() -> None:
        await scenario()

    run_virtual(run())


def make_status_reply(incarnation: int, *, version: int = 1) -> AdminReply:
    """Return the status reply of a member's admin server."""
    status = NodeStatus(
        node=NodeIdentity(
            NodeId('node'), Zone('suva'), Region('viti-levu'), HOLDS
        ),
        incarnation=incarnation,
        state='joined',
        why_unready='',
        lease_remaining_s=0.75,
        owned_shards={HOLDS: 8},
        held_shards={},
        config_version=ConfigVersion(version),
        config_author='ana',
        applied_offset=Offset(5),
        upstream=UpstreamStatus(
            'instance-1', 3, 1, 20, 0.01, is_admitting=True
        ),
    )
    return AdminReply(200, msgspec.json.encode(status))


def _make_failed_outcome(error: CommandError) -> Outcome:
    return error.code, str(error)
