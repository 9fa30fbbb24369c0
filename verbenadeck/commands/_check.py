"""Command `check`: checks a file without touching anything."""

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.commands._adapter_names import check_adapter_names
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._documents import invalid_file, parse_document_file
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.settings import parse_json, parse_settings, read_file

_AUTO = 'auto'
_SETTINGS = 'settings'
_DOCUMENT = 'document'
_DOCUMENT_NAMES = frozenset(
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
        _AUTO,
        (_AUTO, _SETTINGS, _DOCUMENT),
        'What the file is; auto decides by its names.',
        flag_values=flag_values,
    )


async def _run(invocation: Invocation) -> CommandResult:
    path = invocation.arguments[0]
    text = read_file(path)
    if not isinstance(text, Success):
        return Failure(invalid_file(text.failure()))
    kind = invocation.flag('kind')
    if kind == _AUTO:
        kind = _guess(text.unwrap())
    return _check(text.unwrap(), kind, path).map(
        lambda shown: _report(invocation, f'{path}: {shown}')
    )


def _guess(text: str) -> str:
    tree = parse_json(text, source='').value_or(None)
    names = tree.keys() if isinstance(tree, dict) else frozenset()
    return _DOCUMENT if names & _DOCUMENT_NAMES else _SETTINGS


def _check(text: str, kind: str, path: str) -> Result[str, CommandError]:
    if kind == _DOCUMENT:
        document = parse_document_file(text, source=path)
        shown = document.map(lambda _document: 'good configuration document')
        return shown.alt(invalid_file)
    settings = parse_settings(text, source=path).bind(
        lambda parsed: check_adapter_names(parsed, source=path)
    )
    return settings.map(
        lambda parsed: f'good settings of node {parsed.node_id}'
    ).alt(invalid_file)


def _report(invocation: Invocation, text: str) -> ExitCode:
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
