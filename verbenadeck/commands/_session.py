"""Operator's session with the log."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from verbenadeck.commands._command import CommandResult, Invocation
from verbenadeck.commands._log_flags import log_target
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.journal import LogClient
from verbenadeck.model import NodeId

_OPERATOR = NodeId('operator')


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Log client that has read the log to its end.

    Parameters
    ----------
    journal : LogClient
        Log client.
    deadline_s : float
        End of the command on its clock.
    """

    journal: LogClient
    deadline_s: float


async def with_session(
    invocation: Invocation,
    work: Callable[[Session], Awaitable[CommandResult]],
) -> CommandResult:
    """Open a session, do the work and close the session.

    The session ends at the command's timeout at the latest, also when the
    log is down: nothing was appended then.
    """
    opened = log_target(invocation).bind(
        lambda target: invocation.environment.open_log(
            target, invocation.environment.clock
        )
    )
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    clock = invocation.environment.clock
    session = Session(
        journal=LogClient(
            adapter=opened.unwrap(),
            clock=clock,
            random_source=random.SystemRandom(),
            node_id=_OPERATOR,
        ),
        deadline_s=clock.now_s() + invocation.flag('timeout_s'),
    )
    await session.journal.start()
    try:
        return await _work_when_ready(session, work)
    finally:
        await session.journal.stop()


async def _work_when_ready(
    session: Session, work: Callable[[Session], Awaitable[CommandResult]]
) -> CommandResult:
    ready = await _wait_ready(session)
    if not isinstance(ready, Success):
        return Failure(ready.failure())
    return await work(session)


async def _wait_ready(session: Session) -> Result[None, CommandError]:
    journal = session.journal
    if await journal.wait_ready(deadline_s=session.deadline_s):
        return Success(None)
    blocked_on = journal.blocked_on or 'the end of the log'
    return Failure(
        CommandError(
            ExitCode.UNAVAILABLE,
            f'nothing changed: waited in vain for {blocked_on}',
            'Check the URL and stream of the log; the fleet goes on without.',
        )
    )
