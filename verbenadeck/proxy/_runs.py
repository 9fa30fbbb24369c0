"""Requests that a door has admitted and not answered yet."""

import asyncio

from verbenadeck.model import AnswerResult, AttemptId, Request
from verbenadeck.proxy._slots import Waiter

NO_SHARD = -1
_MAX_TOMBSTONES = 10_000


class Run:
    """One admitted attempt."""

    __slots__ = (
        'attempt_id',
        'done',
        'is_abandoned',
        'is_sent',
        'request',
        'sent_at_s',
        'shard',
        'task',
        'waiter',
        'waiter_count',
    )

    def __init__(
        self, attempt_id: AttemptId, request: Request, shard: int
    ) -> None:
        self.attempt_id = attempt_id
        self.request = request
        self.shard = shard
        self.waiter = Waiter(
            request.deadline_s,
            shard,
            priority=request.priority,
            objective_at_s=request.objective_at_s,
        )
        self.is_sent = False
        self.is_abandoned = False
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
        """Give the result to those that joined."""
        if self.done is not None and not self.done.done():
            self.done.set_result(result)


class RunRegistry:
    """Running attempts, and attempts that must not run any more.

    A refused or cancelled attempt leaves a tombstone, so that a copy of it
    that arrives late doesn't run after its caller was told "not run".
    """

    def __init__(self) -> None:
        self._by_attempt: dict[AttemptId, Run] = {}
        self._tombstones: dict[AttemptId, None] = {}

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._by_attempt)

    def find(self, attempt_id: AttemptId) -> Run | None:
        """Return the run of an attempt."""
        return self._by_attempt.get(attempt_id)

    def add(self, run: Run) -> None:
        """Note an admitted attempt."""
        self._by_attempt[run.attempt_id] = run

    def remove(self, run: Run) -> None:
        """Forget an attempt that has ended."""
        self._by_attempt.pop(run.attempt_id, None)

    def all(self) -> tuple[Run, ...]:
        """Return the running attempts."""
        return tuple(self._by_attempt.values())

    def on_shards(self, shards: frozenset[int]) -> list[Run]:
        """Return the running attempts of some shards."""
        return [one for one in self.all() if one.shard in shards]

    def add_tombstone(self, attempt_id: AttemptId) -> None:
        """Keep an attempt from running later."""
        self._tombstones[attempt_id] = None
        if len(self._tombstones) > _MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def has_tombstone(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt must not run any more."""
        return attempt_id in self._tombstones
