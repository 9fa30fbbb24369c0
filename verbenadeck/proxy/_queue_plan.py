"""Plan of the runs of a queue's requests, from their kinds."""

from collections.abc import Sequence
from typing import NamedTuple

from verbenadeck.proxy._forecast import (
    RunProgress,
    SlotForecast,
    remaining_times_s,
)
from verbenadeck.proxy._queue_rules import QueueContext
from verbenadeck.proxy._waiter import Waiter, run_time_s


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


class QueuePlan(NamedTuple):
    """Forecast of the runs of a queue's requests.

    Parameters
    ----------
    runs : list of PlannedRun
        Runs in the order of the queue.
    end_waits_s : dict of int to float
        Wait in seconds behind all requests of a priority, by the priorities
        of the runs.
    """

    runs: list[PlannedRun]
    end_waits_s: dict[int, float]


def plan_queue(
    context: QueueContext,
    waiting: Sequence[Waiter],
    *,
    joining: Waiter | None = None,
) -> QueuePlan:
    """Return the forecast of the waiting requests.

    Parameters
    ----------
    context : QueueContext
        State of the proxy.
    waiting : sequence of Waiter
        Requests in the queue.
    joining : Waiter or None
        Request that arrives. Its own run is planned, but does not delay others.
    """
    now_s = context.clock.now_s()
    forecast = forecast_slots(context)
    runs: list[PlannedRun] = []
    end_waits_s: dict[int, float] = {}
    everyone = waiting if joining is None else [*waiting, joining]
    for waiter, run_s in in_order(context, everyone):
        wait_s = forecast.next_wait_s
        runs.append(PlannedRun(waiter, wait_s, now_s + wait_s + run_s))
        if waiter is not joining:
            forecast.add(run_s)
        end_waits_s[waiter.priority] = forecast.next_wait_s
    return QueuePlan(runs, end_waits_s)


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


def in_order(
    context: QueueContext, waiting: Sequence[Waiter]
) -> list[tuple[Waiter, float]]:
    """Return the requests that still wait with their expected service times.

    The next one to be served comes first.
    """
    now_s = context.clock.now_s()
    times = context.service_times
    pairs = [
        (waiter, run_time_s(waiter, now_s, times))
        for waiter in waiting
        if not waiter.has_left_queue
    ]
    pairs.sort(key=lambda pair: pair[0].queue_position(now_s + pair[1]))
    return pairs
