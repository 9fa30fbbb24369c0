"""Interface of the rules that decide which requests may wait."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from verbenadeck.model import Refusal
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._waiter import Waiter, position_now
from verbenadeck.utils import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueContext:
    """State of a proxy that the rules of its queue read.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    limit, in_use : callable returning int
        Return the number of slots that may be and that are in use.
    service_time_s : callable returning float
        Returns the mean service time of all requests, in seconds.
    service_times : ServiceTimes
        Service times by kind of request.
    rate_per_s : callable returning float
        Returns the requests per second that may start.
    started_at_s : mapping of Waiter to float
        Times in seconds since which requests hold their slots.
    remove : callable
        Removes a waiter from the queue.
    """

    clock: Clock
    limit: Callable[[], int]
    in_use: Callable[[], int]
    service_time_s: Callable[[], float]
    service_times: ServiceTimes
    rate_per_s: Callable[[], float]
    started_at_s: Mapping[Waiter, float]
    remove: Callable[[Waiter], None]


class QueueRules(Protocol):
    """Rules that decide which requests may wait for a slot."""

    def refusal(
        self, waiter: Waiter, waiting: Sequence[Waiter], limit: int
    ) -> Refusal | None:
        """Return why a request that arrives must not wait, or None."""
        ...

    def refuse_overtaken(
        self, waiter: Waiter, waiting: Sequence[Waiter]
    ) -> bool:
        """Refuse a waiter that is late behind others; return whether it was."""
        ...

    def refuse_late(self, waiter: Waiter, waiting: Sequence[Waiter]) -> bool:
        """Refuse a waiter that can't meet its deadline, if it still waits."""
        ...

    def refuse_unservable(self, waiting: Sequence[Waiter]) -> None:
        """Refuse the waiters that are forecast to miss their deadlines."""
        ...

    def expires_at_s(self, waiter: Waiter) -> float:
        """Return the time up to which a request may wait, in seconds."""
        ...


def is_overtaken(
    context: QueueContext, waiter: Waiter, waiting: Sequence[Waiter]
) -> bool:
    """Return whether a waiter is late and others fill all slots before it.

    Parameters
    ----------
    context : QueueContext
        State of the proxy.
    waiter : Waiter
        Request that waits.
    waiting : sequence of Waiter
        All requests that wait.
    """
    now_s = context.clock.now_s()
    own = position_now(waiter, now_s, context.service_times)
    is_late = own[1]
    positions = (
        position_now(each, now_s, context.service_times) for each in waiting
    )
    ahead = sum(position < own for position in positions)
    return is_late and ahead >= context.limit()


def describe_times(
    wait_s: float, ends_at_s: float, limit_at_s: float, now_s: float
) -> str:
    """Return the times that decided a refusal, for its detail."""
    run_s = ends_at_s - now_s - wait_s
    return (
        f'{wait_s:.3f} s to wait and {run_s:.3f} s to run, '
        f'{limit_at_s - now_s:.3f} s left'
    )
