"""Flags that name the platform's log, and where they lead."""

import getpass

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LOG_ADAPTERS, STANDIN_FORMAT, LogAdapter
from verbenadeck.commands._command import Invocation, LogTarget
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.settings import HTTP_URL, LogSettings, load_settings
from verbenadeck.utils import Clock

_TIMEOUT_S = 10.0
_DEFAULTS = LogSettings(url='')


def define_log_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags that name the log."""
    flags.DEFINE_string(
        'settings',
        '',
        'Settings file that names the log.',
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
        _DEFAULTS.stream,
        'Stream of the fleet.',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'timeout_s',
        _TIMEOUT_S,
        'Longest time for the command.',
        lower_bound=0.1,
        flag_values=flag_values,
    )


def define_author_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag that names who makes a change."""
    flags.DEFINE_string(
        'author',
        None,
        'Who makes the change; by default the user of this shell.',
        flag_values=flag_values,
    )


def author_of(invocation: Invocation) -> str:
    """Return who makes a change."""
    named = invocation.flag('author')
    return str(named) if named is not None else _user_name()


def log_target(invocation: Invocation) -> Result[LogTarget, CommandError]:
    """Return the log that the flags name."""
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
        return _place_in_file(path)
    wrong = HTTP_URL.problem_of(url)
    if wrong is not None:
        return Failure(CommandError(ExitCode.USAGE, f'--log_url {wrong}'))
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
    """Return the adapter to a log."""
    make_log = LOG_ADAPTERS.get(target.adapter)
    if make_log is None:
        known = ', '.join(LOG_ADAPTERS)
        text = f'log adapter {target.adapter!r} is unknown; known are: {known}'
        return Failure(CommandError(ExitCode.USAGE, text))
    return Success(make_log(url=target.url, stream=target.stream, clock=clock))


def _place_in_file(path: str) -> Result[LogTarget, CommandError]:
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


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''
