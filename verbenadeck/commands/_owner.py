"""Command `owner`: who owns a key."""

from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.admin import AdminError, OwnerError, OwnerStatus, find_owner
from verbenadeck.commands._admin_client import parse_admin_address
from verbenadeck.commands._command import (
    AdminReply,
    Command,
    CommandResult,
    Invocation,
)
from verbenadeck.commands._log_flags import define_log_flags
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._session import Session, with_session
from verbenadeck.commands._status import define_admin_flag

_OK = 200


async def _run(invocation: Invocation) -> CommandResult:
    service, key = invocation.arguments
    if invocation.flag('admin'):
        asked = await _ask(invocation, service, key)
        return asked.bind(lambda owner: _report(invocation, owner))

    async def work(session: Session) -> CommandResult:
        found = find_owner(session.journal.fleet, service, key)
        return found.alt(_as_command_error).bind(
            lambda owner: _report(invocation, owner)
        )

    return await with_session(invocation, work)


async def _ask(
    invocation: Invocation, service: str, key: str
) -> Result[OwnerStatus, CommandError]:
    place = parse_admin_address(invocation.flag('admin'))
    if not isinstance(place, Success):
        return Failure(place.failure())
    query = urlencode({'service': service, 'key': key})
    ask = invocation.environment.ask_admin
    asked = await ask(place.unwrap(), f'/owner?{query}')
    return asked.alt(
        lambda text: CommandError(ExitCode.UNAVAILABLE, text)
    ).bind(_decode)


def _decode(reply: AdminReply) -> Result[OwnerStatus, CommandError]:
    try:
        if reply.status == _OK:
            return Success(msgspec.json.decode(reply.body, type=OwnerStatus))
        error = msgspec.json.decode(reply.body, type=AdminError).error
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        text = f'the node answered with no owner: {broken}'
        return Failure(CommandError(ExitCode.UNAVAILABLE, text))
    return Failure(CommandError(ExitCode.NOT_FOUND, error))


def _report(invocation: Invocation, owner: OwnerStatus) -> CommandResult:
    place = f'{owner.service}/{owner.key}: shard {owner.shard}'
    if owner.node_id is None:
        text = f'{place} has no owner'
        return Failure(CommandError(ExitCode.NOT_FOUND, text))
    moving = '' if owner.is_settled else ', still moving there'
    address = f'{owner.host}:{owner.entry_port}'
    invocation.environment.write(
        f'{place}, node {owner.node_id} at {address},'
        f' fence {owner.fence}{moving}'
    )
    return Success(ExitCode.DONE)


def _as_command_error(error: OwnerError) -> CommandError:
    return CommandError(ExitCode.NOT_FOUND, error.detail)


OWNER = Command(
    name='owner',
    usage=('SERVICE', 'KEY'),
    summary='Show which node owns a key.',
    run=_run,
    define_flags=(define_log_flags, define_admin_flag),
)
