"""Requests that a proxy has admitted and not answered yet."""

import asyncio

from verbenadeck.model import AnswerResult, AttemptId, Request
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy._waiter import LOCAL_ORIGIN, NO_SHARD, Waiter

__all__ = ('NO_SHARD', 'Run', 'RunRegistry')

_MAX_TOMBSTONES = 10_000


class Run:
    """Run of one admitted attempt.

    Parameters
    ----------
    attempt_id : AttemptId
        Attempt.
    request : Request
        Request.
    shard : int
        Its shard, or `NO_SHARD`.
    origin : PeerAddress
        Address of the node at which the request entered.

    Attributes
    ----------
    waiter : Waiter
        Position of the request in the queue for slots.
    is_sent : bool
        Whether the request was sent to the upstream.
    is_abandoned : bool
        Whether no caller waits for it, so that it must not be sent.
    is_cancelled : bool
        Whether it was cancelled at the upstream after it was sent.
    task : asyncio.Task or None
        Task of a non-repeatable request, which outlives its caller.
    waiter_count : int
        Number of calls that wait for the result.
    sent_at_s : float
        Time at which the request was sent, in seconds.
    done : asyncio.Future or None
        Result, once another call waits for it.
    """

    __slots__ = (
        'attempt_id',
        'done',
        'is_abandoned',
        'is_cancelled',
        'is_sent',
        'request',
        'sent_at_s',
        'shard',
        'task',
        'waiter',
        'waiter_count',
    )

    def __init__(
        self,
        attempt_id: AttemptId,
        request: Request,
        shard: int,
        *,
        origin: PeerAddress = LOCAL_ORIGIN,
    ) -> None:
        self.attempt_id = attempt_id
        self.request = request
        self.shard = shard
        self.waiter = Waiter(
            request.deadline_s,
            shard,
            priority=request.priority,
            objective_at_s=request.objective_at_s,
            kind=request.kind,
            has_short_grace=request.has_short_grace,
            is_returning=request.is_returning,
            origin=origin,
        )
        self.is_sent = False
        self.is_abandoned = False
        self.is_cancelled = False
        self.task: asyncio.Task[None] | None = None
        self.waiter_count = 1
        self.sent_at_s = 0.0
        self.done: asyncio.Future[AnswerResult] | None = None

    def completion(self) -> asyncio.Future[AnswerResult]:
        """Return a future that `complete` resolves."""
        if self.done is None:
            self.done = asyncio.get_running_loop().create_future()
        return self.done

    def complete(self, result: AnswerResult) -> None:
        """Set the result for all calls that wait for it."""
        if self.done is not None and not self.done.done():
            self.done.set_result(result)


class RunRegistry:
    """Registry of running attempts and of tombstones of ended ones.

    A refused or cancelled attempt leaves a tombstone, so that a copy of it
    that arrives late doesn't run after its caller got the outcome "not run".
    """

    def __init__(self) -> None:
        self._by_attempt: dict[AttemptId, Run] = {}
        self._tombstones: dict[AttemptId, None] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._by_attempt)

    def find(self, attempt_id: AttemptId) -> Run | None:
        """Return the run of an attempt, or None."""
        return self._by_attempt.get(attempt_id)

    def add(self, run: Run) -> None:
        """Add the run of an admitted attempt."""
        self._by_attempt[run.attempt_id] = run

    def remove(self, run: Run) -> None:
        """Remove a run that has ended."""
        self._by_attempt.pop(run.attempt_id, None)

    def all(self) -> tuple[Run, ...]:
        """Return all runs."""
        return tuple(self._by_attempt.values())

    def on_shards(self, shards: frozenset[int]) -> list[Run]:
        """Return the runs on the given shards."""
        return [one for one in self.all() if one.shard in shards]

    def add_tombstone(self, attempt_id: AttemptId) -> None:
        """Add a tombstone, so that an attempt is refused if it arrives later."""
        self._tombstones[attempt_id] = None
        if len(self._tombstones) > _MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def has_tombstone(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt has a tombstone and must be refused."""
        return attempt_id in self._tombstones
