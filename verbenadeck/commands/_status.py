"""Command `status`: the fleet as its nodes see it."""

import asyncio
from collections.abc import Iterable

import msgspec
from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.admin import (
    MemberStatus,
    NodeStatus,
    ZoneStatus,
    member_statuses,
    zone_statuses,
)
from verbenadeck.commands._admin_client import parse_admin_address
from verbenadeck.commands._command import (
    AdminAddress,
    AdminReply,
    Command,
    CommandResult,
    Environment,
    Invocation,
)
from verbenadeck.commands._log_flags import define_log_flags
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._session import Session, with_session
from verbenadeck.commands._status_text import status_lines
from verbenadeck.commands._status_types import FleetStatus, MemberReport
from verbenadeck.model import ConfigVersion

_PARALLEL = 32
_OK = 200


class _Source(msgspec.Struct, frozen=True):
    """Members, zones and version that the nodes are compared with."""

    members: tuple[MemberStatus, ...]
    zones: tuple[ZoneStatus, ...]
    config_version: ConfigVersion
    config_author: str


def define_admin_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag that names a node in place of the log."""
    flags.DEFINE_string(
        'admin',
        '',
        'HOST:PORT of any admin server, to do without the log.',
        flag_values=flag_values,
    )


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_bool(
        'json',
        default=False,
        help='Print one JSON object.',
        flag_values=flag_values,
    )


async def _run(invocation: Invocation) -> CommandResult:
    if invocation.flag('admin'):
        return await _run_without_log(invocation)

    async def work(session: Session) -> CommandResult:
        fleet = session.journal.fleet
        source = _Source(
            members=member_statuses(fleet),
            zones=zone_statuses(fleet),
            config_version=fleet.config_version,
            config_author=fleet.config_author,
        )
        return await _report(invocation, source)

    return await with_session(invocation, work)


async def _run_without_log(invocation: Invocation) -> CommandResult:
    place = parse_admin_address(invocation.flag('admin'))
    if not isinstance(place, Success):
        return Failure(place.failure())
    ask = invocation.environment.ask_admin
    asked = await ask(place.unwrap(), '/status')
    found = asked.bind(_decode)
    if not isinstance(found, Success):
        return Failure(CommandError(ExitCode.UNAVAILABLE, found.failure()))
    status = found.unwrap()
    source = _Source(
        members=status.members,
        zones=status.zones,
        config_version=status.config_version,
        config_author=status.config_author,
    )
    return await _report(invocation, source)


async def _report(invocation: Invocation, source: _Source) -> CommandResult:
    environment = invocation.environment
    reports = await _ask_all(environment, source.members)
    fleet = FleetStatus(
        config_version=source.config_version,
        config_author=source.config_author,
        zones=source.zones,
        members=reports,
    )
    if invocation.flag('json'):
        environment.write(msgspec.json.encode(fleet).decode())
    else:
        for line in status_lines(fleet):
            environment.write(line)
    return Success(ExitCode.DONE if fleet.is_whole else ExitCode.INCOMPLETE)


async def _ask_all(
    environment: Environment, members: Iterable[MemberStatus]
) -> tuple[MemberReport, ...]:
    slots = asyncio.Semaphore(_PARALLEL)

    async def ask(member: MemberStatus) -> MemberReport:
        async with slots:
            return await _ask(environment, member)

    return tuple(await asyncio.gather(*(ask(one) for one in members)))


async def _ask(environment: Environment, member: MemberStatus) -> MemberReport:
    if not member.admin_port:
        return MemberReport(member, error='it told no admin port')
    place = AdminAddress(member.host, member.admin_port)
    asked = await environment.ask_admin(place, '/status?brief=1')
    found = asked.bind(_decode).bind(lambda status: _same(member, status))
    if isinstance(found, Success):
        return MemberReport(member, status=found.unwrap())
    return MemberReport(member, error=found.failure())


def _same(member: MemberStatus, status: NodeStatus) -> Result[NodeStatus, str]:
    """Refuse the answer of another process that took over the address."""
    if status.incarnation == member.incarnation:
        return Success(status)
    node_id = status.node.node_id
    text = f'{node_id} in life {status.incarnation} answers there now'
    return Failure(text)


def _decode(reply: AdminReply) -> Result[NodeStatus, str]:
    if reply.status != _OK:
        return Failure(f'answered with status {reply.status}')
    try:
        return Success(msgspec.json.decode(reply.body, type=NodeStatus))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(f'answered with no status: {error}')


STATUS = Command(
    name='status',
    usage=(),
    summary='Show nodes, zones, leases, owners and configuration in force.',
    run=_run,
    define_flags=(define_log_flags, define_admin_flag, _define_flags),
    details=(
        'It asks every member. The exit code tells whether all answer and\n'
        'have the newest version in force, so a script can wait for that.'
    ),
)
