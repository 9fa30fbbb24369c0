"""Command `status`: shows the fleet as its nodes report it."""

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
from verbenadeck.commands._status_text import generate_status_lines
from verbenadeck.commands._status_types import FleetStatus, MemberReport
from verbenadeck.model import ConfigVersion

_MAX_PARALLEL_REQUESTS = 32
_OK = 200


class _FleetSnapshot(msgspec.Struct, frozen=True):
    """Members, zones and version that the nodes' reports are compared with."""

    members: tuple[MemberStatus, ...]
    zones: tuple[ZoneStatus, ...]
    config_version: ConfigVersion
    config_author: str


def define_admin_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag `--admin`, which queries a node instead of the log.

    Parameters
    ----------
    flag_values : FlagValues
        Flags of the command, to which the definition is added.
    """
    flags.DEFINE_string(
        'admin',
        '',
        'HOST:PORT of any admin server, to query it instead of the log.',
        flag_values=flag_values,
    )


def _define_status_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_bool(
        'json',
        default=False,
        help='Print one JSON object.',
        flag_values=flag_values,
    )


async def _run_status(invocation: Invocation) -> CommandResult:
    if invocation.flag('admin'):
        return await _run_status_without_log(invocation)

    async def work(session: Session) -> CommandResult:
        fleet = session.journal.fleet
        snapshot = _FleetSnapshot(
            members=member_statuses(fleet),
            zones=zone_statuses(fleet),
            config_version=fleet.config_version,
            config_author=fleet.config_author,
        )
        return await _report_fleet_status(invocation, snapshot)

    return await with_session(invocation, work)


async def _run_status_without_log(invocation: Invocation) -> CommandResult:
    address = parse_admin_address(invocation.flag('admin'))
    if not isinstance(address, Success):
        return Failure(address.failure())
    send_get = invocation.environment.send_admin_get
    reply_result = await send_get(address.unwrap(), '/status')
    status_result = reply_result.bind(_decode_status_reply)
    if not isinstance(status_result, Success):
        return Failure(
            CommandError(ExitCode.UNAVAILABLE, status_result.failure())
        )
    status = status_result.unwrap()
    snapshot = _FleetSnapshot(
        members=status.members,
        zones=status.zones,
        config_version=status.config_version,
        config_author=status.config_author,
    )
    return await _report_fleet_status(invocation, snapshot)


async def _report_fleet_status(
    invocation: Invocation, snapshot: _FleetSnapshot
) -> CommandResult:
    environment = invocation.environment
    reports = await _request_all_statuses(environment, snapshot.members)
    fleet = FleetStatus(
        config_version=snapshot.config_version,
        config_author=snapshot.config_author,
        zones=snapshot.zones,
        members=reports,
    )
    if invocation.flag('json'):
        environment.write(msgspec.json.encode(fleet).decode())
    else:
        for line in generate_status_lines(fleet):
            environment.write(line)
    return Success(ExitCode.DONE if fleet.is_complete else ExitCode.INCOMPLETE)


async def _request_all_statuses(
    environment: Environment, members: Iterable[MemberStatus]
) -> tuple[MemberReport, ...]:
    slots = asyncio.Semaphore(_MAX_PARALLEL_REQUESTS)

    async def request_status(member: MemberStatus) -> MemberReport:
        async with slots:
            return await _request_member_status(environment, member)

    return tuple(
        await asyncio.gather(*(request_status(member) for member in members))
    )


async def _request_member_status(
    environment: Environment, member: MemberStatus
) -> MemberReport:
    if not member.admin_port:
        return MemberReport(member, error='it has announced no admin port')
    address = AdminAddress(member.host, member.admin_port)
    reply_result = await environment.send_admin_get(address, '/status?brief=1')
    status_result = reply_result.bind(_decode_status_reply).bind(
        lambda status: _check_incarnation(member, status)
    )
    if isinstance(status_result, Success):
        return MemberReport(member, status=status_result.unwrap())
    return MemberReport(member, error=status_result.failure())


def _check_incarnation(
    member: MemberStatus, status: NodeStatus
) -> Result[NodeStatus, str]:
    """Reject the status of another process that now has the address."""
    if status.incarnation == member.incarnation:
        return Success(status)
    node_id = status.node.node_id
    text = f'{node_id} in incarnation {status.incarnation} answers there now'
    return Failure(text)


def _decode_status_reply(reply: AdminReply) -> Result[NodeStatus, str]:
    if reply.status != _OK:
        return Failure(f'answered with status {reply.status}')
    try:
        return Success(msgspec.json.decode(reply.body, type=NodeStatus))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(f'answered without a status: {error}')


STATUS = Command(
    name='status',
    usage=(),
    summary='Show nodes, zones, leases, owners and configuration in force.',
    run=_run_status,
    define_flags=(define_log_flags, define_admin_flag, _define_status_flags),
    details=(
        'Requests the status of every member. The exit code shows whether all\n'
        'answer and have the newest version in force, so scripts can wait.'
    ),
)
