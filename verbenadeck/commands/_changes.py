"""Changes of single entries in the configuration document in force."""

from collections.abc import Callable, Collection

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.commands._command import CommandResult, Invocation
from verbenadeck.commands._log_flags import get_author
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._publish_errors import make_publish_error
from verbenadeck.commands._session import Session, with_session
from verbenadeck.config import DocumentChange
from verbenadeck.config.operations import apply_change
from verbenadeck.fleet import FleetView

MakeChange = Callable[[FleetView], Result[DocumentChange, CommandError]]
"""Makes a change from the fleet state, or returns why it is invalid."""


def define_reason_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag `--reason`, which is required.

    Parameters
    ----------
    flag_values : FlagValues
        Flags of the command, to which the definition is added.
    """
    flags.DEFINE_string(
        'reason',
        '',
        'Reason for the change; required.',
        flag_values=flag_values,
    )


def define_force_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag `--force`, which allows unknown names.

    Parameters
    ----------
    flag_values : FlagValues
        Flags of the command, to which the definition is added.
    """
    flags.DEFINE_bool(
        'force',
        default=False,
        help='Allow a name that no current member of the fleet has.',
        flag_values=flag_values,
    )


async def run_change(
    invocation: Invocation, make_change: MakeChange, *, success_text: str
) -> CommandResult:
    """Apply a change to the document in force and print the new version.

    The change is published even if the document in force already has it.
    Otherwise an earlier attempt of unknown outcome could still come into
    force after this command was acknowledged.

    Parameters
    ----------
    invocation : Invocation
        Arguments, flags and environment of the command.
    make_change : callable
        Makes the change from the fleet state.
    success_text : str
        Statement that holds once the change is in force, for the output.
    """
    if not invocation.flag('reason').strip():
        return Failure(_make_missing_reason_error())

    async def work(session: Session) -> CommandResult:
        change_result = make_change(session.journal.fleet)
        if not isinstance(change_result, Success):
            return Failure(change_result.failure())
        return await _apply_and_report(
            invocation, session, change_result.unwrap(), success_text
        )

    return await with_session(invocation, work)


def check_known_name(
    invocation: Invocation, kind: str, name: str, known: Collection[str]
) -> Result[str, CommandError]:
    """Return a name, or an error if the fleet does not know it.

    Without this check a misspelled name would be reported as taken out of
    service, while the intended zone or upstream still serves.

    Parameters
    ----------
    invocation : Invocation
        Command, whose flag `--force` skips the check.
    kind : str
        Kind of the name, for the error message.
    name : str
        Name to check.
    known : collection of str
        Names that the fleet knows.
    """
    if name in known or invocation.flag('force'):
        return Success(name)
    names = ', '.join(sorted(known)) or 'none'
    return Failure(
        CommandError(
            ExitCode.NOT_FOUND,
            f'{kind} {name!r} is not known; known are: {names}',
            'Correct the name, or give --force if it is right.',
        )
    )


async def _apply_and_report(
    invocation: Invocation,
    session: Session,
    change: DocumentChange,
    success_text: str,
) -> CommandResult:
    reason = invocation.flag('reason').strip()
    applied = await apply_change(
        session.journal,
        change,
        author=f'{get_author(invocation)}: {reason}',
        deadline_s=session.deadline_s,
    )
    if not isinstance(applied, Success):
        return Failure(make_publish_error(applied.failure()))
    version = applied.unwrap()
    invocation.environment.write(f'{success_text} by version {version}')
    return Success(ExitCode.DONE)


def _make_missing_reason_error() -> CommandError:
    return CommandError(
        ExitCode.USAGE,
        'the reason is missing',
        "Give --reason='TEXT'; other operators see it in the configuration.",
    )
