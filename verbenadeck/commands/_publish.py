"""Commands `publish` and `config`: the whole configuration document."""

import msgspec
from absl import flags
from returns.result import Failure, Success

from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._documents import (
    DocumentFile,
    invalid_file,
    read_document,
)
from verbenadeck.commands._log_flags import (
    author_of,
    define_author_flag,
    define_log_flags,
)
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._publish_errors import as_command_error
from verbenadeck.commands._session import Session, with_session
from verbenadeck.config.operations import publish_document
from verbenadeck.fleet import FleetView
from verbenadeck.model import ConfigDocument, ConfigVersion

_NO_VERSION = -1


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        'expect',
        _NO_VERSION,
        'Version that the file was edited from; needed after the first.',
        flag_values=flag_values,
    )


async def _publish(invocation: Invocation) -> CommandResult:
    read = read_document(invocation.arguments[0])
    if not isinstance(read, Success):
        return Failure(invalid_file(read.failure()))
    found = read.unwrap()

    async def work(session: Session) -> CommandResult:
        return await _publish_file(invocation, session, found)

    return await with_session(invocation, work)


async def _publish_file(
    invocation: Invocation, session: Session, found: DocumentFile
) -> CommandResult:
    fleet = session.journal.fleet
    document = merge_unnamed(found, fleet.config)
    write = invocation.environment.write
    if document == fleet.config and fleet.config_version:
        write(f'version {fleet.config_version} is this document already')
        return Success(ExitCode.DONE)
    expected = invocation.flag('expect')
    if expected == _NO_VERSION and fleet.config_version:
        return Failure(_needs_version(fleet))
    published = await publish_document(
        session.journal,
        document,
        expected_version=ConfigVersion(max(expected, 0)),
        author=author_of(invocation),
        deadline_s=session.deadline_s,
    )
    if not isinstance(published, Success):
        return Failure(as_command_error(published.failure()))
    write(f'version {published.unwrap()} is published')
    return Success(ExitCode.DONE)


def merge_unnamed(
    found: DocumentFile, in_force: ConfigDocument
) -> ConfigDocument:
    """Return the file's document with all it does not name kept.

    A file without `zones_out` must not bring a zone back that another
    operator took out.
    """
    kept = {
        name: getattr(in_force, name)
        for name in in_force.__struct_fields__
        if name not in found.named
    }
    return msgspec.structs.replace(found.document, **kept)


def _needs_version(fleet: FleetView) -> CommandError:
    version = fleet.config_version
    author = fleet.config_author
    return CommandError(
        ExitCode.CONFLICT,
        f'version {version} by {author} is in force; nothing changed',
        'Compare with `verbenadeck config`, then give --expect=VERSION.',
    )


async def _show(invocation: Invocation) -> CommandResult:
    async def work(session: Session) -> CommandResult:
        fleet = session.journal.fleet
        shown = msgspec.json.format(msgspec.json.encode(fleet.config))
        write = invocation.environment.write
        write(f'// version {fleet.config_version} by {fleet.config_author}')
        write(shown.decode())
        return Success(ExitCode.DONE)

    return await with_session(invocation, work)


PUBLISH = Command(
    name='publish',
    usage=('FILE',),
    summary='Publish a configuration document.',
    run=_publish,
    define_flags=(define_log_flags, define_author_flag, _define_flags),
    details=(
        'Top-level names that the file leaves out stay as they are in force,\n'
        'so a file without zones_out brings no zone back. With --expect the\n'
        'document is published only if that version is still in force.'
    ),
)
CONFIG = Command(
    name='config',
    usage=(),
    summary='Print the configuration document in force.',
    run=_show,
    define_flags=(define_log_flags,),
)
