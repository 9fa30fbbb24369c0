"""Command `owner`: shows the node that owns a key."""

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


async def _run_owner(invocation: Invocation) -> CommandResult:
    service, key = invocation.arguments
    if invocation.flag('admin'):
        reply_result = await _request_owner(invocation, service, key)
        return reply_result.bind(lambda owner: _write_owner(invocation, owner))

    async def work(session: Session) -> CommandResult:
        lookup = find_owner(session.journal.fleet, service, key)
        return lookup.alt(_make_lookup_error).bind(
            lambda owner: _write_owner(invocation, owner)
        )

    return await with_session(invocation, work)


async def _request_owner(
    invocation: Invocation, service: str, key: str
) -> Result[OwnerStatus, CommandError]:
    node_address = parse_admin_address(invocation.flag('admin'))
    if not isinstance(node_address, Success):
        return Failure(node_address.failure())
    query = urlencode({'service': service, 'key': key})
    send_get = invocation.environment.send_admin_get
    reply_result = await send_get(node_address.unwrap(), f'/owner?{query}')
    return reply_result.alt(
        lambda text: CommandError(ExitCode.UNAVAILABLE, text)
    ).bind(_decode_owner_reply)


def _decode_owner_reply(reply: AdminReply) -> Result[OwnerStatus, CommandError]:
    try:
        if reply.status == _OK:
            return Success(msgspec.json.decode(reply.body, type=OwnerStatus))
        error = msgspec.json.decode(reply.body, type=AdminError).error
    except (msgspec.DecodeError, UnicodeDecodeError) as decode_error:
        text = f'the node did not answer with an owner: {decode_error}'
        return Failure(CommandError(ExitCode.UNAVAILABLE, text))
    return Failure(CommandError(ExitCode.NOT_FOUND, error))


def _write_owner(invocation: Invocation, owner: OwnerStatus) -> CommandResult:
    key_label = f'{owner.service}/{owner.key}: shard {owner.shard}'
    if owner.node_id is None:
        text = f'{key_label} has no owner'
        return Failure(CommandError(ExitCode.NOT_FOUND, text))
    moving = '' if owner.is_settled else ', still moving there'
    address = f'{owner.host}:{owner.entry_port}'
    invocation.environment.write(
        f'{key_label}, node {owner.node_id} at {address},'
        f' fence {owner.fence}{moving}'
    )
    return Success(ExitCode.DONE)


def _make_lookup_error(error: OwnerError) -> CommandError:
    return CommandError(ExitCode.NOT_FOUND, error.detail)


OWNER = Command(
    name='owner',
    usage=('SERVICE', 'KEY'),
    summary='Show which node owns a key.',
    run=_run_owner,
    define_flags=(define_log_flags, define_admin_flag),
)
