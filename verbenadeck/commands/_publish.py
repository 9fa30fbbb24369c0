"""Commands that publish and print the whole configuration document."""

import msgspec
from absl import flags
from returns.result import Failure, Success

from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._documents import (
    DocumentFile,
    make_invalid_file_error,
    read_document_file,
)
from verbenadeck.commands._log_flags import (
    define_author_flag,
    define_log_flags,
    get_author,
)
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._publish_errors import make_publish_error
from verbenadeck.commands._session import Session, with_session
from verbenadeck.config.operations import publish_document
from verbenadeck.fleet import FleetView
from verbenadeck.model import ConfigDocument, ConfigVersion

_NO_EXPECTED_VERSION = -1


def _define_publish_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        'expect',
        _NO_EXPECTED_VERSION,
        'Version that the file is based on; required except for the first.',
        flag_values=flag_values,
    )


async def _run_publish(invocation: Invocation) -> CommandResult:
    read_result = read_document_file(invocation.arguments[0])
    if not isinstance(read_result, Success):
        return Failure(make_invalid_file_error(read_result.failure()))
    document_file = read_result.unwrap()

    async def work(session: Session) -> CommandResult:
        return await _publish_document_file(invocation, session, document_file)

    return await with_session(invocation, work)


async def _publish_document_file(
    invocation: Invocation, session: Session, document_file: DocumentFile
) -> CommandResult:
    fleet = session.journal.fleet
    document = keep_unnamed_fields(document_file, fleet.config)
    write = invocation.environment.write
    if document == fleet.config and fleet.config_version:
        write(f'version {fleet.config_version} is this document already')
        return Success(ExitCode.DONE)
    expected = invocation.flag('expect')
    if expected == _NO_EXPECTED_VERSION and fleet.config_version:
        return Failure(_make_version_required_error(fleet))
    published = await publish_document(
        session.journal,
        document,
        expected_version=ConfigVersion(max(expected, 0)),
        author=get_author(invocation),
        deadline_s=session.deadline_s,
    )
    if not isinstance(published, Success):
        return Failure(make_publish_error(published.failure()))
    write(f'version {published.unwrap()} is published')
    return Success(ExitCode.DONE)


def keep_unnamed_fields(
    document_file: DocumentFile, in_force: ConfigDocument
) -> ConfigDocument:
    """Fill the fields that a file does not set from the document in force.

    A file without `zones_out` must not bring a zone back into service that
    another operator took out.

    Parameters
    ----------
    document_file : DocumentFile
        Document from the file and the fields that the file sets.
    in_force : ConfigDocument
        Document in force.
    """
    kept = {
        name: getattr(in_force, name)
        for name in in_force.__struct_fields__
        if name not in document_file.named_fields
    }
    return msgspec.structs.replace(document_file.document, **kept)


def _make_version_required_error(fleet: FleetView) -> CommandError:
    version = fleet.config_version
    author = fleet.config_author
    return CommandError(
        ExitCode.CONFLICT,
        f'version {version} by {author} is in force; nothing changed',
        'Compare with `verbenadeck config`, then give --expect=VERSION.',
    )


async def _run_config(invocation: Invocation) -> CommandResult:
    async def work(session: Session) -> CommandResult:
        fleet = session.journal.fleet
        config_json = msgspec.json.format(msgspec.json.encode(fleet.config))
        write = invocation.environment.write
        write(f'// version {fleet.config_version} by {fleet.config_author}')
        write(config_json.decode())
        return Success(ExitCode.DONE)

    return await with_session(invocation, work)


PUBLISH = Command(
    name='publish',
    usage=('FILE',),
    summary='Publish a configuration document.',
    run=_run_publish,
    define_flags=(define_log_flags, define_author_flag, _define_publish_flags),
    details=(
        'Top-level fields that the file does not set stay unchanged, so a\n'
        'file without zones_out brings no zone back. With --expect the\n'
        'document is published only if that version is still in force.'
    ),
)
CONFIG = Command(
    name='config',
    usage=(),
    summary='Print the configuration document in force.',
    run=_run_config,
    define_flags=(define_log_flags,),
)
