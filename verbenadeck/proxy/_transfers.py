"""Reservations of transfers of large bodies to this proxy."""

import asyncio
import enum
import math
from collections.abc import Callable

from returns.result import Failure, Result, Success

from verbenadeck.model import AttemptId, Refusal, RefusalReason
from verbenadeck.proxy._link_schedule import LinkSchedule, LinkSpan
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.utils import Clock

MAX_DELAYED_BACKLOG_S = 1.0
"""Longest time for which reserved bodies may occupy the link, in seconds, with
those that are sent later. It is a third of the latency objective of an upload
(2.8 s), so that time for the queue and the run is left."""

ARRIVAL_GRACE_S = 0.5
"""Time after the forecast arrival of a body, in seconds, until its reservation
expires. It covers round trips and packets that are sent again."""


class TransferVerdict(enum.Enum):
    """Result of a request for a transfer; the value names its counter."""

    RESERVED = 'transfers_reserved'
    NOT_ADMITTED = 'transfers_refused_admission'
    LINK_BUSY = 'transfers_refused_link'
    QUEUE_FULL = 'transfers_refused_queue'


class _Reservation:
    """Transfer whose body has not arrived yet."""

    __slots__ = ('span', 'timer', 'waiter')

    def __init__(
        self, waiter: Waiter, span: LinkSpan, timer: asyncio.TimerHandle
    ) -> None:
        self.waiter = waiter
        self.span = span
        self.timer = timer


class Transfers:
    """Reservations by attempt, within what the link and the queue can take.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    slots : SlotQueue
        Queue in which reserved requests count.
    service_times : ServiceTimes
        Expected service times by kind of request.
    link_bytes_per_s : float or None
        Rate at which bodies may arrive, in bytes per second; None for no limit.
    count : callable
        Adds one to the counter with the given name.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: SlotQueue,
        service_times: ServiceTimes,
        link_bytes_per_s: float | None,
        count: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._service_times = service_times
        self._link = LinkSchedule(link_bytes_per_s or math.inf)
        self._count = count
        self._reservations: dict[AttemptId, _Reservation] = {}

    def reserve(
        self,
        attempt_id: AttemptId,
        waiter: Waiter,
        body_bytes: int,
        *,
        queue_limit: int,
    ) -> Result[float, Refusal]:
        """Reserve a transfer; return after how many seconds it may start.

        The result is a refusal if the body must not be sent.

        Parameters
        ----------
        attempt_id : AttemptId
            Attempt that the body belongs to.
        waiter : Waiter
            Its request, which counts as queued until the body arrives.
        body_bytes : int
            Size of the body, in bytes.
        queue_limit : int
            Maximum length of the queue.
        """
        now_s = self._clock.now_s()
        reserved = self._reservations.get(attempt_id)
        if reserved is not None:
            return Success(max(0.0, reserved.span.send_at_s - now_s))
        span = self._link.find_span(body_bytes, now_s)
        refusal = link_refusal(span.body_s, backlog_s=span.starts_at_s - now_s)
        if refusal is not None:
            self.record(TransferVerdict.LINK_BUSY)
            return Failure(refusal)
        refusal = self._queue_refusal(waiter, span, queue_limit)
        if refusal is not None:
            self.record(TransferVerdict.QUEUE_FULL)
            return Failure(refusal)
        self._link.add(span)
        timer = asyncio.get_running_loop().call_later(
            self._clock.remaining_s(span.ends_at_s + ARRIVAL_GRACE_S),
            self.remove,
            attempt_id,
        )
        self._reservations[attempt_id] = _Reservation(waiter, span, timer)
        self._slots.add_reservation(waiter)
        self.record(TransferVerdict.RESERVED)
        return Success(max(0.0, span.send_at_s - now_s))

    def record_arrival(self, attempt_id: AttemptId) -> None:
        """End the reservation of an attempt whose body has arrived, if any."""
        reservation = self._pop(attempt_id)
        if reservation is not None:
            self._link.record_arrival(reservation.span)

    def remove(self, attempt_id: AttemptId) -> None:
        """Remove the reservation of an attempt, if there is one.

        Parameters
        ----------
        attempt_id : AttemptId
            Attempt whose body will not be sent.
        """
        reservation = self._pop(attempt_id)
        if reservation is not None:
            self._link.cancel(reservation.span, self._clock.now_s())

    def _pop(self, attempt_id: AttemptId) -> _Reservation | None:
        reservation = self._reservations.pop(attempt_id, None)
        if reservation is not None:
            reservation.timer.cancel()
            self._slots.remove_reservation(reservation.waiter)
        return reservation

    def record(self, verdict: TransferVerdict) -> None:
        """Count the result of a request for a transfer."""
        self._count(verdict.value)

    def _queue_refusal(
        self, waiter: Waiter, span: LinkSpan, queue_limit: int
    ) -> Refusal | None:
        now_s = self._clock.now_s()
        objective_left_s = waiter.objective_at_s - span.ends_at_s
        run_s = self._service_times.expected_s(
            waiter.kind, objective_left_s=objective_left_s
        )
        refusal = transfer_refusal(
            waiter,
            span.ends_at_s + run_s,
            backlog_s=span.starts_at_s - now_s,
            now_s=now_s,
        )
        if refusal is not None:
            return refusal
        # The queue is asked last, as it may refuse a waiting request instead.
        return self._slots.queue_refusal(waiter, queue_limit)


def link_refusal(body_s: float, *, backlog_s: float) -> Refusal | None:
    """Return why a body must not be sent over the link now, or None.

    Parameters
    ----------
    body_s : float
        Time for which the body occupies the link, in seconds.
    backlog_s : float
        Time for which the bodies reserved before occupy it, in seconds. When
        it is 0, a body of any size may be sent.
    """
    retry_after_s = backlog_s - max(0, MAX_DELAYED_BACKLOG_S - body_s)
    if backlog_s <= 0 or retry_after_s <= 0:
        return None
    return not_run(
        RefusalReason.QUEUE_FULL,
        f'the link is occupied for {backlog_s:.3f} s, '
        f'the body takes {body_s:.3f} s',
        retry_after_s=retry_after_s,
    )


def transfer_refusal(
    waiter: Waiter, ends_at_s: float, *, backlog_s: float, now_s: float
) -> Refusal | None:
    """Return why the transfer of a request would take too long, or None.

    A request that would miss its objective since other bodies are sent first
    is refused, as another proxy may have time for it. One that would miss it
    alone, or has missed it already, is not.

    Parameters
    ----------
    waiter : Waiter
        Request whose body is to be sent.
    ends_at_s : float
        Forecast end of its run, in seconds.
    backlog_s : float
        Time for which the bodies reserved before occupy the link, in seconds.
    now_s : float
        Time now, in seconds.
    """
    if ends_at_s > waiter.deadline_s:
        return not_run(
            RefusalReason.DEADLINE,
            'the transfer of the body is longer than the deadline allows',
            retry_after_s=backlog_s,
        )
    is_late = waiter.queue_position(ends_at_s)[1]
    if not is_late or backlog_s <= 0 or waiter.objective_at_s <= now_s:
        return None
    return not_run(
        RefusalReason.QUEUE_FULL,
        'the transfer of the body is longer than the objective allows',
        retry_after_s=backlog_s,
    )
