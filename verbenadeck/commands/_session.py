"""Connection of a command to the log."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from verbenadeck.commands._command import CommandResult, Invocation
from verbenadeck.commands._log_flags import parse_log_target
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.journal import LogClient
from verbenadeck.model import NodeId

_OPERATOR_NODE_ID = NodeId('operator')


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Log client that has read the log to its end, and a deadline.

    Parameters
    ----------
    journal : LogClient
        Started log client.
    deadline_s : float
        Deadline of the command, in seconds of its monotonic clock.
    """

    journal: LogClient
    deadline_s: float


async def with_session(
    invocation: Invocation,
    run_in_session: Callable[[Session], Awaitable[CommandResult]],
) -> CommandResult:
    """Open a session, run a function in it and close the session.

    If the log cannot be read to its end before the command's timeout, the
    function does not run, so nothing is appended.

    Parameters
    ----------
    invocation : Invocation
        Command with the flags of the log.
    run_in_session : callable
        Function to run, given the session.
    """
    opened = parse_log_target(invocation).bind(
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
            node_id=_OPERATOR_NODE_ID,
        ),
        deadline_s=clock.now_s() + invocation.flag('timeout_s'),
    )
    await session.journal.start()
    try:
        return await _run_when_ready(session, run_in_session)
    finally:
        await session.journal.stop()


async def _run_when_ready(
    session: Session,
    run_in_session: Callable[[Session], Awaitable[CommandResult]],
) -> CommandResult:
    ready = await _wait_until_ready(session)
    if not isinstance(ready, Success):
        return Failure(ready.failure())
    return await run_in_session(session)


async def _wait_until_ready(session: Session) -> Result[None, CommandError]:
    journal = session.journal
    if await journal.wait_ready(deadline_s=session.deadline_s):
        return Success(None)
    blocked_on = journal.blocked_on or 'the end of the log'
    return Failure(
        CommandError(
            ExitCode.UNAVAILABLE,
            f'nothing changed: timed out waiting for {blocked_on}',
            'Check the URL and stream of the log; the fleet keeps running.',
        )
    )
