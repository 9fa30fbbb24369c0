"""Requests that wait for a slot of an upstream."""

import asyncio
from collections.abc import Sequence

from verbenadeck.model import Refusal
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy._service_times import ServiceTimes

SHORT_GRACE_S = 0.5
"""Maximum time from latency objective to deadline, in seconds, at which an
answer between the two is as good as one before the objective. Such a request
is mostly a step of another request."""

NO_SHARD = -1

LOCAL_ORIGIN = PeerAddress('', 0)
"""Origin of the requests that entered at the node of the proxy itself."""

QueuePosition = tuple[int, bool, float]
"""Priority, whether the request counts as late, and the objective or deadline
that orders it, negative for late requests. The lowest tuple is served first."""


class Waiter:
    """Request that waits for a slot.

    Parameters
    ----------
    deadline_s : float
        Time after which an answer is useless, in seconds.
    shard : int
        Shard of the request.
    priority : int
        Priority; 0 is the highest.
    objective_at_s : float
        Time of the latency objective, in seconds; 0 for the deadline.
    kind : str
        Kind of the request, for its expected service time.
    has_short_grace : bool
        Whether an answer up to the deadline is as good as one before the
        objective; so it is if the two are at most `SHORT_GRACE_S` apart.
    is_returning : bool
        Whether its caller was probably refused before.
    origin : PeerAddress
        Address of the node at which the request entered.

    Attributes
    ----------
    future : asyncio.Future or None
        End of the wait: None for a slot, or a refusal.
    """

    __slots__ = (
        'deadline_s',
        'future',
        'has_short_grace',
        'is_returning',
        'kind',
        'objective_at_s',
        'origin',
        'priority',
        'shard',
    )

    def __init__(
        self,
        deadline_s: float,
        shard: int,
        *,
        priority: int = 0,
        objective_at_s: float = 0,
        kind: str = '',
        has_short_grace: bool = False,
        is_returning: bool = False,
        origin: PeerAddress = LOCAL_ORIGIN,
    ) -> None:
        self.deadline_s = deadline_s
        self.kind = kind
        self.objective_at_s = objective_at_s or deadline_s
        grace_s = deadline_s - self.objective_at_s
        self.has_short_grace = has_short_grace or grace_s <= SHORT_GRACE_S
        self.is_returning = is_returning
        self.origin = origin
        self.priority = priority
        self.shard = shard
        self.future: asyncio.Future[Refusal | None] | None = None

    def queue_position(self, ends_at_s: float) -> QueuePosition:
        """Return the sort key in the queue of a request that ends at a time.

        Requests that can meet their objective go first. Serving late ones
        first, just before their deadlines, would make every request late.
        Among late ones the latest deadline goes first: the one with the least
        time left would often reach its deadline while it runs.
        """
        if ends_at_s <= self.objective_at_s:
            return self.priority, False, self.objective_at_s
        if self.has_short_grace:
            return self.priority, False, self.deadline_s
        return self.priority, True, -self.deadline_s

    @property
    def has_left_queue(self) -> bool:
        """Whether the wait began and has ended."""
        return self.future is not None and self.future.done()

    @property
    def is_resolved(self) -> bool:
        """Whether the wait has ended."""
        return self.future is None or self.future.done()

    def resolve(self, refusal: Refusal | None) -> bool:
        """End the wait; return False if it has ended already."""
        if self.future is None or self.future.done():
            return False
        self.future.set_result(refusal)
        return True


def run_time_s(
    waiter: Waiter, now_s: float, service_times: ServiceTimes
) -> float:
    """Return the expected service time of a waiter, in seconds."""
    return service_times.expected_s(
        waiter.kind, objective_left_s=waiter.objective_at_s - now_s
    )


def position_now(
    waiter: Waiter, now_s: float, service_times: ServiceTimes
) -> QueuePosition:
    """Return the sort key of a waiter that would run from now on."""
    run_s = run_time_s(waiter, now_s, service_times)
    return waiter.queue_position(now_s + run_s)


def first_waiter(
    waiting: Sequence[Waiter], now_s: float, service_times: ServiceTimes
) -> Waiter:
    """Return the waiter that is served first."""
    return min(
        waiting, key=lambda each: position_now(each, now_s, service_times)
    )
