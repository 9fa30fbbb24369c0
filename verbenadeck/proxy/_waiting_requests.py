"""Requests that wait for a slot, and their refusal without one."""

from collections.abc import Callable

from verbenadeck.model import Refusal
from verbenadeck.proxy._service_times import ServiceTimes
from verbenadeck.proxy._waiter import (
    QueuePosition,
    Waiter,
    position_now,
    run_time_s,
)
from verbenadeck.utils import Clock


class WaitingRequests:
    """Requests that wait for a slot or for which one is reserved.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    limit : callable returning int
        Returns the number of slots that may be in use.
    service_times : ServiceTimes
        Service times by kind of request.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit: Callable[[], int],
        service_times: ServiceTimes,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._service_times = service_times
        self._waiting: list[Waiter] = []
        self._reserved: list[Waiter] = []

    def add_reservation(self, waiter: Waiter) -> None:
        """Add a request whose body is about to be sent."""
        self._reserved.append(waiter)

    def remove_reservation(self, waiter: Waiter) -> None:
        """Remove a request that `add_reservation` added."""
        self._reserved.remove(waiter)

    def refuse(
        self, refusal: Refusal, *, shards: frozenset[int] | None
    ) -> None:
        """Refuse the waiters of some shards.

        Parameters
        ----------
        refusal : Refusal
            Refusal that the waiters get.
        shards : frozenset of int or None
            Shards; None for all waiters.
        """
        remaining: list[Waiter] = []
        for waiter in self._waiting:
            if shards is None or waiter.shard in shards:
                waiter.resolve(refusal)
            else:
                remaining.append(waiter)
        self._waiting = remaining

    def refuse_unstartable(
        self, refusal: Refusal, *, stops_at_s: float
    ) -> None:
        """Refuse the waiters that are not expected to start before a time.

        Parameters
        ----------
        refusal : Refusal
            Refusal that the waiters get.
        stops_at_s : float
            Time from which none starts, in seconds.
        """
        now_s = self._clock.now_s()
        slot_time_s = self._limit() * (stops_at_s - now_s)

        def position(waiter: Waiter) -> QueuePosition:
            return position_now(waiter, now_s, self._service_times)

        for waiter in sorted(self._waiting, key=position):
            if slot_time_s <= 0:
                self._waiting.remove(waiter)
                waiter.resolve(refusal)
            slot_time_s -= run_time_s(waiter, now_s, self._service_times)
