"""Commands run against a log in memory and scripted admin servers."""

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
from verbenadeck.commands._catalogue import find_command
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

LOG = '--log_url=http://127.0.0.1:7300'
ANA = '--author=ana'

Outcome = tuple[ExitCode, str]


class DeafAdapter(MemoryLogAdapter):
    """Way to a log whose reads fail while a desk is deaf."""

    def __init__(self, desk: 'Desk', clock: Clock) -> None:
        super().__init__(desk.log, clock)
        self._desk = desk

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Read records, unless the desk is deaf."""
        found = await super().read(
            start_offset, limit=limit, deadline_s=deadline_s
        )
        if not self._desk.is_deaf:
            return found
        return Failure(LogError(LogFailure.UNAVAILABLE, 'reads fail'))


@dataclass
class Desk:
    """An operator's desk: a log, admin servers and what was written."""

    log: MemoryLog = field(default_factory=MemoryLog)
    replies: Mapping[int, AdminReply] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    is_deaf: bool = False

    async def run(self, *words: str) -> Outcome:
        """Run a command and return its code with its output or error."""
        command, rest = find_command(words).unwrap()
        environment = Environment(
            write=self.lines.append,
            clock=virtual_clock(),
            open_log=self._open_log,
            ask_admin=self._ask,
        )
        start = len(self.lines)
        parsed = parse_invocation(command, rest, environment)
        if not isinstance(parsed, Success):
            return _failed(parsed.failure())
        outcome = await command.run(parsed.unwrap())
        if not isinstance(outcome, Success):
            return _failed(outcome.failure())
        return outcome.unwrap(), '\n'.join(self.lines[start:])

    def _open_log(
        self, _place: LogTarget, clock: Clock
    ) -> Result[LogAdapter, CommandError]:
        return Success(DeafAdapter(self, clock))

    async def _ask(
        self, place: AdminAddress, _path: str
    ) -> Result[AdminReply, str]:
        reply = self.replies.get(place.port)
        if reply is None:
            return Failure(f'{place} does not answer')
        return Success(reply)


def fleet_desk(count: int = 3) -> Desk:
    """Return a desk whose log has a document and members."""
    recorder, nodes = make_fleet(count)
    recorder.assign(nodes[0])
    log = MemoryLog()
    log.records.extend(recorder.payloads)
    return Desk(log=log)


def run_words(desk: Desk, *words: str) -> Outcome:
    """Run one command in virtual time."""
    return run_virtual(desk.run(*words))


def run_lines(desk: Desk, lines: Iterable[tuple[str, ...]]) -> list[Outcome]:
    """Run commands one after the other in virtual time."""

    async def scenario() -> list[Outcome]:
        return [await desk.run(*words) for words in lines]

    return run_virtual(scenario())


def run_together(desk: Desk, lines: Iterable[tuple[str, ...]]) -> list[Outcome]:
    """Run commands at the same time in virtual time."""

    async def scenario() -> list[Outcome]:
        return await asyncio.gather(*(desk.run(*words) for words in lines))

    return run_virtual(scenario())


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""

    async def run() -> None:
        await scenario()

    run_virtual(run())


def status_reply(incarnation: int, *, version: int = 1) -> AdminReply:
    """Return what the admin server of a member answers."""
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
        upstream=UpstreamStatus('life', 3, 1, 20, 0.01, is_admitting=True),
    )
    return AdminReply(200, msgspec.json.encode(status))


def _failed(error: CommandError) -> Outcome:
    return error.code, str(error)
