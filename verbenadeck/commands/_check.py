"""Command `check`: validates a file without sending anything."""

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.commands._adapter_names import check_adapter_names
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._documents import (
    make_invalid_file_error,
    parse_document_file,
)
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.settings import parse_json, parse_settings, read_file

_KIND_AUTO = 'auto'
_KIND_SETTINGS = 'settings'
_KIND_DOCUMENT = 'document'
_DOCUMENT_FIELD_NAMES = frozenset(
    (
        'services',
        'exceptions',
        'zones_out',
        'upstreams_out',
        'moves_per_minute',
    )
)


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_enum(
        'kind',
        _KIND_AUTO,
        (_KIND_AUTO, _KIND_SETTINGS, _KIND_DOCUMENT),
        'Kind of the file; auto decides by its top-level names.',
        flag_values=flag_values,
    )


async def _run(invocation: Invocation) -> CommandResult:
    path = invocation.arguments[0]
    text = read_file(path)
    if not isinstance(text, Success):
        return Failure(make_invalid_file_error(text.failure()))
    kind = invocation.flag('kind')
    if kind == _KIND_AUTO:
        kind = _detect_kind(text.unwrap())
    return _check_text(text.unwrap(), kind, path).map(
        lambda result_text: _write_result(invocation, f'{path}: {result_text}')
    )


def _detect_kind(text: str) -> str:
    tree = parse_json(text, source='').value_or(None)
    names = tree.keys() if isinstance(tree, dict) else frozenset()
    return _KIND_DOCUMENT if names & _DOCUMENT_FIELD_NAMES else _KIND_SETTINGS


def _check_text(text: str, kind: str, path: str) -> Result[str, CommandError]:
    if kind == _KIND_DOCUMENT:
        document = parse_document_file(text, source=path)
        description = document.map(
            lambda _document: 'valid configuration document'
        )
        return description.alt(make_invalid_file_error)
    settings = parse_settings(text, source=path).bind(
        lambda parsed: check_adapter_names(parsed, source=path)
    )
    return settings.map(
        lambda parsed: f'valid settings of node {parsed.node_id}'
    ).alt(make_invalid_file_error)


def _write_result(invocation: Invocation, text: str) -> ExitCode:
    invocation.environment.write(text)
    return ExitCode.DONE


CHECK = Command(
    name='check',
    usage=('FILE',),
    summary='Check a settings file or a configuration document.',
    run=_run,
    define_flags=(_define_flags,),
    details='Every problem is listed with its line. Nothing is sent.',
)
