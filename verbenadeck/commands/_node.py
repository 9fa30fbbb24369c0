"""Command `node`: runs a node until it is stopped."""

from absl import flags
from returns.result import Failure, Success

from verbenadeck.commands._adapter_names import check_adapter_names
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._documents import make_invalid_file_error
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.daemon import run_node
from verbenadeck.node import StartError
from verbenadeck.settings import load_settings


def _define_node_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        'settings', '', 'Settings file of the node.', flag_values=flag_values
    )


async def _run_node_command(invocation: Invocation) -> CommandResult:
    path = invocation.flag('settings')
    if not path:
        text = 'the flag --settings is missing'
        hint = 'Give --settings=FILE.'
        return Failure(CommandError(ExitCode.USAGE, text, hint))
    loaded = load_settings(path).bind(
        lambda settings: check_adapter_names(settings, source=path)
    )
    if not isinstance(loaded, Success):
        return Failure(make_invalid_file_error(loaded.failure()))
    stopped = await run_node(loaded.unwrap())
    return stopped.map(lambda _success: ExitCode.DONE).alt(_make_start_error)


def _make_start_error(error: StartError) -> CommandError:
    return CommandError(
        ExitCode.FAILED,
        f'the node could not start: {error.detail}',
        'Check host and ports in the settings; one may be in use already.',
    )


NODE = Command(
    name='node',
    usage=(),
    summary='Run a node beside its upstream.',
    run=_run_node_command,
    define_flags=(_define_node_flags,),
    details=(
        'Once it listens, it prints one line of JSON with its ports.\n'
        'SIGTERM or a POST to /drain starts a planned stop: shards move,\n'
        'running requests finish, and the process exits with code 0.'
    ),
)
