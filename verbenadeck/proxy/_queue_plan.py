"""Plan of the runs of a queue's requests, from their kinds."""

from collections.abc import Sequence
from typing import NamedTuple

from verbenadeck.proxy._forecast import (
    RunProgress,
    SlotForecast,
    remaining_times_s,
)
from verbenadeck.proxy._queue_rules import QueueContext
from verbenadeck.proxy._waiter import Waiter, position_now, run_time_s


class PlannedRun(NamedTuple):
    """Forecast of the run of one waiting request.

    Parameters
    ----------
    waiter : Waiter
        Request that waits.
    wait_s : float
        Forecast wait, in seconds.
    ends_at_s : float
        Forecast end of the run, in seconds.
    """

    waiter: Waiter
    wait_s: float
    ends_at_s: float

    @property
    def is_late(self) -> bool:
        """Whether the request is forecast to miss its objective."""
        return self.waiter.queue_position(self.ends_at_s)[1]


def plan_queue(
    context: QueueContext,
    waiting: Sequence[Waiter],
    *,
    joining: Waiter | None = None,
) -> list[PlannedRun]:
    """Return the runs of the waiting requests, in their order.

    Parameters
    ----------
    context : QueueContext
        State of the proxy.
    waiting : sequence of Waiter
        Requests in the queue.
    joining : Waiter or None
        Request that arrives and is planned with them.
    """
    now_s = context.clock.now_s()
    forecast = forecast_slots(context)
    planned: list[PlannedRun] = []
    everyone = waiting if joining is None else [*waiting, joining]
    for waiter in in_order(context, everyone):
        run_s = run_time_s(waiter, now_s, context.service_times)
        wait_s = forecast.next_wait_s
        planned.append(PlannedRun(waiter, wait_s, now_s + wait_s + run_s))
        forecast.add(run_s)
    return planned


def queue_end_s(context: QueueContext, waiting: Sequence[Waiter]) -> float:
    """Return the wait at the end of the queue, in seconds."""
    now_s = context.clock.now_s()
    forecast = forecast_slots(context)
    for waiter in in_order(context, waiting):
        forecast.add(run_time_s(waiter, now_s, context.service_times))
    return forecast.next_wait_s


def forecast_slots(context: QueueContext) -> SlotForecast:
    """Return the forecast of the slots that the running requests hold."""
    now_s = context.clock.now_s()
    times = context.service_times
    runs = (
        RunProgress(run_time_s(waiter, now_s, times), now_s - at_s)
        for waiter, at_s in context.started_at_s.items()
    )
    return SlotForecast(
        remaining_times_s(runs),
        slots=max(1, context.limit()),
        rate_per_s=context.rate_per_s(),
    )


def in_order(context: QueueContext, waiting: Sequence[Waiter]) -> list[Waiter]:
    """Return the requests that still wait, the next one to be served first."""
    now_s = context.clock.now_s()
    return sorted(
        (each for each in waiting if not each.has_left_queue),
        key=lambda each: position_now(each, now_s, context.service_times),
    )
