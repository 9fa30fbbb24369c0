"""Flags that select the platform's log and the author of a change."""

import getpass

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LOG_ADAPTERS, STANDIN_FORMAT, LogAdapter
from verbenadeck.commands._command import Invocation, LogTarget
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.settings import HTTP_URL, LogSettings, load_settings
from verbenadeck.utils import Clock

_DEFAULT_TIMEOUT_S = 10.0
_DEFAULT_LOG_SETTINGS = LogSettings(url='')


def define_log_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags that select the log and the command's timeout.

    Parameters
    ----------
    flag_values : FlagValues
        Flags of the command, to which the definition is added.
    """
    flags.DEFINE_string(
        'settings',
        '',
        'Settings file to take the log from.',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'log_url', '', 'Base URL of the log.', flag_values=flag_values
    )
    flags.DEFINE_string(
        'log_adapter',
        STANDIN_FORMAT,
        'Adapter of the log.',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'log_stream',
        _DEFAULT_LOG_SETTINGS.stream,
        'Log stream of the fleet.',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'timeout_s',
        _DEFAULT_TIMEOUT_S,
        'Timeout of the command, in seconds.',
        lower_bound=0.1,
        flag_values=flag_values,
    )


def define_author_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag `--author`.

    Parameters
    ----------
    flag_values : FlagValues
        Flags of the command, to which the definition is added.
    """
    flags.DEFINE_string(
        'author',
        None,
        'Author of the change; by default the user of this shell.',
        flag_values=flag_values,
    )


def get_author(invocation: Invocation) -> str:
    """Return the author of a change, by default the current user.

    Parameters
    ----------
    invocation : Invocation
        Command with the flag `--author`.
    """
    author = invocation.flag('author')
    return str(author) if author is not None else _get_user_name()


def parse_log_target(invocation: Invocation) -> Result[LogTarget, CommandError]:
    """Return the log that the flags select.

    Parameters
    ----------
    invocation : Invocation
        Command with the flags of the log.
    """
    path = invocation.flag('settings')
    url = invocation.flag('log_url')
    if bool(path) == bool(url):
        return Failure(
            CommandError(
                ExitCode.USAGE,
                'the log is not named, or named twice',
                'Give either --log_url=URL or --settings=FILE.',
            )
        )
    if path:
        return _load_log_target(path)
    url_problem = HTTP_URL.problem_of(url)
    if url_problem is not None:
        return Failure(CommandError(ExitCode.USAGE, f'--log_url {url_problem}'))
    return Success(
        LogTarget(
            adapter=invocation.flag('log_adapter'),
            url=url,
            stream=invocation.flag('log_stream'),
        )
    )


def open_log(
    target: LogTarget, clock: Clock
) -> Result[LogAdapter, CommandError]:
    """Return an adapter to a log.

    Parameters
    ----------
    target : LogTarget
        Log stream and name of its adapter.
    clock : Clock
        Clock of the VM.
    """
    make_log = LOG_ADAPTERS.get(target.adapter)
    if make_log is None:
        known = ', '.join(LOG_ADAPTERS)
        text = f'log adapter {target.adapter!r} is unknown; known are: {known}'
        return Failure(CommandError(ExitCode.USAGE, text))
    return Success(make_log(url=target.url, stream=target.stream, clock=clock))


def _load_log_target(path: str) -> Result[LogTarget, CommandError]:
    return (
        load_settings(path)
        .map(
            lambda settings: LogTarget(
                adapter=settings.log.adapter,
                url=settings.log.url,
                stream=settings.log.stream,
            )
        )
        .alt(lambda errors: CommandError(ExitCode.INVALID, str(errors)))
    )


def _get_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''
