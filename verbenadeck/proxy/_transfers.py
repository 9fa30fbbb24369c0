"""Reservations of transfers of large bodies to this proxy."""

import asyncio
import enum
import math
from collections.abc import Callable

from verbenadeck.model import AttemptId, Refusal, RefusalReason
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._slots import SlotQueue, Waiter
from verbenadeck.utils import Clock

MAX_BACKLOG_S = 0.25
"""Longest time for which reserved bodies may occupy the link, in seconds. Calls
and leases share the link; it is a quarter of the time without a byte after
which a peer counts as lost."""

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

    __slots__ = ('body_bytes', 'timer', 'waiter')

    def __init__(
        self, waiter: Waiter, body_bytes: int, timer: asyncio.TimerHandle
    ) -> None:
        self.waiter = waiter
        self.body_bytes = body_bytes
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
        self._link_bytes_per_s = link_bytes_per_s or math.inf
        self._count = count
        self._link_free_at_s = -math.inf
        self._reservations: dict[AttemptId, _Reservation] = {}

    def reserve(
        self,
        attempt_id: AttemptId,
        waiter: Waiter,
        body_bytes: int,
        *,
        queue_limit: int,
    ) -> Refusal | None:
        """Reserve a transfer; return why its body must not be sent, or None.

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
        if attempt_id in self._reservations:
            return None
        now_s = self._clock.now_s()
        backlog_s = self._backlog_s(now_s)
        body_s = body_bytes / self._link_bytes_per_s
        refusal = link_refusal(body_s, backlog_s=backlog_s)
        if refusal is not None:
            self.record(TransferVerdict.LINK_BUSY)
            return refusal
        arrives_at_s = now_s + backlog_s + body_s
        refusal = self._queue_refusal(waiter, arrives_at_s, queue_limit)
        if refusal is not None:
            self.record(TransferVerdict.QUEUE_FULL)
            return refusal
        self._link_free_at_s = max(now_s, self._link_free_at_s) + body_s
        timer = asyncio.get_running_loop().call_later(
            self._clock.remaining_s(arrives_at_s + ARRIVAL_GRACE_S),
            self.remove,
            attempt_id,
        )
        self._reservations[attempt_id] = _Reservation(waiter, body_bytes, timer)
        self._slots.add_reservation(waiter)
        self.record(TransferVerdict.RESERVED)
        return None

    def remove(self, attempt_id: AttemptId) -> None:
        """Remove the reservation of an attempt, if there is one.

        Parameters
        ----------
        attempt_id : AttemptId
            Attempt whose body has arrived or will not be sent.
        """
        reservation = self._reservations.pop(attempt_id, None)
        if reservation is not None:
            reservation.timer.cancel()
            self._slots.remove_reservation(reservation.waiter)

    def record(self, verdict: TransferVerdict) -> None:
        """Count the result of a request for a transfer."""
        self._count(verdict.value)

    def _backlog_s(self, now_s: float) -> float:
        """Return for how long the reserved bodies occupy the link, in seconds.

        A body that arrives early leaves the link to other traffic for the
        rest of its time, so that bodies keep to their rate. One that is late
        occupies the link until it has arrived.
        """
        missing_bytes = sum(
            each.body_bytes for each in self._reservations.values()
        )
        return max(
            0.0,
            self._link_free_at_s - now_s,
            missing_bytes / self._link_bytes_per_s,
        )

    def _queue_refusal(
        self, waiter: Waiter, arrives_at_s: float, queue_limit: int
    ) -> Refusal | None:
        free_places = queue_limit - len(self._reservations)
        refusal = self._slots.queue_refusal(waiter, free_places)
        if refusal is not None:
            return refusal
        run_s = self._service_times.expected_s(
            waiter.kind, objective_left_s=waiter.objective_at_s - arrives_at_s
        )
        if arrives_at_s + run_s <= waiter.deadline_s:
            return None
        return not_run(
            RefusalReason.DEADLINE,
            'the transfer of the body is longer than the deadline allows',
        )


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
    retry_after_s = backlog_s - max(0, MAX_BACKLOG_S - body_s)
    if backlog_s <= 0 or retry_after_s <= 0:
        return None
    return not_run(
        RefusalReason.QUEUE_FULL,
        f'the link is occupied for {backlog_s:.3f} s, '
        f'the body takes {body_s:.3f} s',
        retry_after_s=retry_after_s,
    )
