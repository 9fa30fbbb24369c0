"""Proposals of membership records to the log."""

from collections.abc import Awaitable, Callable

from returns.result import Result

from verbenadeck.journal import AppliedRecord, Journal, JournalError
from verbenadeck.records import NodeJoin, NodeLeave
from verbenadeck.utils import Clock

Propose = Callable[
    [NodeJoin | NodeLeave], Awaitable[Result[AppliedRecord, JournalError]]
]


def make_proposer(
    journal: Journal, *, clock: Clock, timeout_s: float
) -> Propose:
    """Return a function that proposes a record and waits a bounded time.

    Parameters
    ----------
    journal : Journal
        Log client.
    clock : Clock
        Boot clock of the VM.
    timeout_s : float
        Longest wait for the verdict, in seconds.
    """

    async def propose(
        record: NodeJoin | NodeLeave,
    ) -> Result[AppliedRecord, JournalError]:
        deadline_s = clock.now_s() + timeout_s
        return await journal.propose(record, deadline_s=deadline_s)

    return propose
