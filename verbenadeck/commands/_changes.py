"""How commands change one thing in the document in force."""

from collections.abc import Callable, Collection

from absl import flags
from returns.result import Failure, Result, Success

from verbenadeck.commands._command import CommandResult, Invocation
from verbenadeck.commands._log_flags import author_of
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.commands._publish_errors import as_command_error
from verbenadeck.commands._session import Session, with_session
from verbenadeck.config import DocumentChange
from verbenadeck.config.operations import apply_change
from verbenadeck.fleet import FleetView

ChangeMaker = Callable[[FleetView], Result[DocumentChange, CommandError]]
"""Makes a change, or refuses after a look at the fleet."""


def define_reason_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag of the written reason."""
    flags.DEFINE_string(
        'reason', '', 'Written reason; never empty.', flag_values=flag_values
    )


def define_force_flag(flag_values: flags.FlagValues) -> None:
    """Define the flag that allows unknown names."""
    flags.DEFINE_bool(
        'force',
        default=False,
        help='Allow a name that no member of the fleet has now.',
        flag_values=flag_values,
    )


async def run_change(
    invocation: Invocation, make: ChangeMaker, *, shown: str
) -> CommandResult:
    """Apply a change to the document in force and report the version.

    The change is published even when it alters nothing: an earlier one of
    unknown outcome can't come into force after this was acknowledged.

    Parameters
    ----------
    invocation : Invocation
        Call of the command.
    make : callable
        Makes the change.
    shown : str
        What is true once it is in force.
    """
    if not invocation.flag('reason').strip():
        return Failure(_lacks_reason())

    async def work(session: Session) -> CommandResult:
        made = make(session.journal.fleet)
        if not isinstance(made, Success):
            return Failure(made.failure())
        return await _apply(invocation, session, made.unwrap(), shown)

    return await with_session(invocation, work)


def check_name(
    invocation: Invocation, kind: str, name: str, known: Collection[str]
) -> Result[str, CommandError]:
    """Return a name, or an error when the fleet does not know it.

    A typing error must not look like a zone that was taken out.
    """
    if name in known or invocation.flag('force'):
        return Success(name)
    names = ', '.join(sorted(known)) or 'none'
    return Failure(
        CommandError(
            ExitCode.NOT_FOUND,
            f'{kind} {name!r} is not known; known are: {names}',
            'Correct the name, or give --force when it is right.',
        )
    )


async def _apply(
    invocation: Invocation, session: Session, change: DocumentChange, shown: str
) -> CommandResult:
    reason = invocation.flag('reason').strip()
    applied = await apply_change(
        session.journal,
        change,
        author=f'{author_of(invocation)}: {reason}',
        deadline_s=session.deadline_s,
    )
    if not isinstance(applied, Success):
        return Failure(as_command_error(applied.failure()))
    version = applied.unwrap()
    invocation.environment.write(f'{shown} by version {version}')
    return Success(ExitCode.DONE)


def _lacks_reason() -> CommandError:
    return CommandError(
        ExitCode.USAGE,
        'the reason is missing',
        "Give --reason='why', which others will read.",
    )
