"""Commands that add and remove exceptions to the fleet-wide defaults."""

from absl import flags
from returns.result import Result, Success

from verbenadeck.commands._changes import define_reason_flag, run_change
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._log_flags import (
    define_author_flag,
    define_log_flags,
)
from verbenadeck.commands._outcomes import CommandError
from verbenadeck.config import DocumentChange, add_exception, remove_exception
from verbenadeck.fleet import FleetView
from verbenadeck.model import ExceptionRule
from verbenadeck.settings import parse_json

_SECONDS_PER_HOUR = 3600
_SCOPE_FLAGS = ('service', 'zone', 'upstream')


def _define_exception_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        'field', '', 'Policy field to override.', flag_values=flag_values
    )
    flags.DEFINE_string(
        'setting', '', 'Value of the field.', flag_values=flag_values
    )
    for scope in _SCOPE_FLAGS:
        flags.DEFINE_string(
            scope, None, f'Only for this {scope}.', flag_values=flag_values
        )
    flags.DEFINE_float(
        'hours',
        None,
        'End of the exception, in hours from now.',
        lower_bound=0,
        flag_values=flag_values,
    )


async def _run_add(invocation: Invocation) -> CommandResult:
    rule = _make_rule(invocation)

    def make_change(_fleet: FleetView) -> Result[DocumentChange, CommandError]:
        return Success(add_exception(rule))

    success_text = f'exception {rule.name} is set'
    return await run_change(invocation, make_change, success_text=success_text)


async def _run_remove(invocation: Invocation) -> CommandResult:
    name = invocation.arguments[0]

    def make_change(_fleet: FleetView) -> Result[DocumentChange, CommandError]:
        return Success(remove_exception(name))

    success_text = f'exception {name} is removed'
    return await run_change(invocation, make_change, success_text=success_text)


def _make_rule(invocation: Invocation) -> ExceptionRule:
    hours = invocation.flag('hours')
    now_s = invocation.environment.clock.wall_s()
    ends_at_s = None if hours is None else now_s + hours * _SECONDS_PER_HOUR
    return ExceptionRule(
        name=invocation.arguments[0],
        reason=invocation.flag('reason').strip(),
        field=invocation.flag('field'),
        setting=_parse_setting(invocation.flag('setting')),
        service=invocation.flag('service'),
        zone=invocation.flag('zone'),
        upstream=invocation.flag('upstream'),
        ends_at_s=ends_at_s,
    )


def _parse_setting(text: str) -> float | bool | str:
    """Parse a number or a boolean; return other text unchanged.

    Examples
    --------
    >>> _parse_setting('0.5'), _parse_setting('false')
    (0.5, False)
    >>> _parse_setting('GET, HEAD')
    'GET, HEAD'
    """
    parsed = parse_json(text, source='setting').value_or(text)
    return parsed if isinstance(parsed, int | float | bool) else text


EXCEPTION_COMMANDS = (
    Command(
        name='exception add',
        usage=('NAME',),
        summary='Add an exception to the fleet-wide defaults.',
        run=_run_add,
        define_flags=(
            define_log_flags,
            define_author_flag,
            define_reason_flag,
            _define_exception_flags,
        ),
        details=(
            'At least one of --service, --zone and --upstream is needed.\n'
            'Adding the same exception again changes nothing; a different\n'
            'one of the same name is refused.'
        ),
    ),
    Command(
        name='exception remove',
        usage=('NAME',),
        summary='Remove an exception.',
        run=_run_remove,
        define_flags=(
            define_log_flags,
            define_author_flag,
            define_reason_flag,
        ),
    ),
)
