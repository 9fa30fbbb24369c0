"""The instance beside a node: its heartbeats and the requests to it."""

import asyncio
import math
from collections.abc import Callable

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    Announcement,
    Grant,
    HoldReply,
    HoldReport,
    LoadReport,
    Order,
    UpstreamEnd,
    UpstreamError,
    UpstreamFailure,
    UpstreamLife,
    Warmth,
)
from verbenadeck.model import RequestId, ServiceName
from verbenadeck.platform._beats import Beat
from verbenadeck.platform._exchange import (
    Sent,
    exchange,
    failed,
    order_headers,
)
from verbenadeck.routes import RouteBook
from verbenadeck.utils import Clock

_SPARE_CONNECTIONS = 4
_NO_LIFE = UpstreamError(UpstreamFailure.NOT_SENT, 'no instance is known')
_log = logger.bind(part='upstream')


class PlatformUpstream:
    """Upstream adapter to the instance beside the node.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    book : RouteBook
        Terms of the services.
    """

    def __init__(self, *, clock: Clock, book: RouteBook) -> None:
        self.answer_holds: Callable[[HoldReport], HoldReply | None] = _no_holds
        self.heard_at_s = -math.inf
        self._clock = clock
        self._book = book
        self._life: UpstreamLife | None = None
        self._beat: Beat | None = None
        self._cold_until_s = -math.inf
        self._is_ending = False
        self._announced: list[Callable[[Announcement], None]] = []
        self._ended: list[Callable[[UpstreamEnd], None]] = []
        self._running: dict[RequestId, asyncio.Task[Sent]] = {}

    @property
    def service(self) -> ServiceName | None:
        """Service of the instance, None before its first heartbeat."""
        return None if self._beat is None else self._beat.service

    @property
    def is_known(self) -> bool:
        """Whether an instance is there to send requests to."""
        return self._life is not None

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register what is called with each new life of the instance."""
        self._announced.append(listener)

    def on_end(self, listener: Callable[[UpstreamEnd], None]) -> None:
        """Register what is called when the instance leaves."""
        self._ended.append(listener)

    def take_beat(self, beat: Beat) -> HoldReply | None:
        """Take a heartbeat and return what the instance is to hold.

        One that was overtaken by a later one, or that comes from an earlier
        life, says nothing and renews nothing.
        """
        known = self._beat
        if known is not None and _is_overtaken(beat, known):
            _log.info('heartbeat {} of {} is old', beat.sequence, beat.life)
            return None
        self.heard_at_s = self._clock.now_s()
        self._cold_until_s = self.heard_at_s + beat.cold_s
        self._beat = beat
        if self._life is None or known is None or beat.life != known.life:
            self._begin(beat)
        if beat.is_draining and not self._is_ending:
            self._end(UpstreamEnd.DRAINING)
        return self.answer_holds(beat.holds)

    def take_leave(self, instance: str) -> None:
        """Take the word of the instance that it leaves now."""
        if self._beat is not None and self._beat.instance == instance:
            self._end(UpstreamEnd.LEFT)

    def forget(self) -> None:
        """Take the instance for gone until its next heartbeat."""
        life = self._life
        self._life = None
        if life is not None:
            life.retire()
            self._end(UpstreamEnd.SILENT)

    async def send(self, order: Order) -> Sent:
        """Send a request and return the complete answer."""
        life = self._life
        beat = self._beat
        if life is None or beat is None:
            return Failure(_NO_LIFE)
        left_s = self._clock.remaining_s(order.request.deadline_s)
        if left_s <= 0:
            detail = 'deadline passed before sending'
            return Failure(UpstreamError(UpstreamFailure.NOT_SENT, detail))
        headers = order_headers(order.request, beat.instance, left_s)
        request_id = order.request.request_id
        task = asyncio.ensure_future(
            exchange(life, order.request, headers, left_s)
        )
        self._running[request_id] = task
        try:
            await asyncio.wait((task,))
        finally:
            task.cancel()
            self._running.pop(request_id, None)
        if task.cancelled():
            return failed(UpstreamFailure.BROKEN, 'given up by its caller')
        return task.result()

    async def cancel(self, request_id: RequestId) -> None:
        """Close the connection of a running request."""
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Do nothing: the instance asks with its heartbeats."""
        return Success(None)

    async def drain(self) -> Result[None, UpstreamError]:
        """Do nothing: the platform drains instances."""
        return Success(None)

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return what the last heartbeat said."""
        beat = self._beat
        if beat is None or self._life is None:
            return Failure(_NO_LIFE)
        return Success(
            LoadReport(
                is_healthy=True,
                running=len(self._running),
                bearable=beat.slots,
                instance=beat.life,
                warmth=_warmth(self._book, beat.service, self._cold_until_s),
            )
        )

    async def close(self) -> None:
        """Close connections."""
        if self._life is not None:
            await self._life.close()

    def _begin(self, beat: Beat) -> None:
        earlier = self._life
        if earlier is not None:
            earlier.retire()
        self._is_ending = False
        announcement = Announcement(
            service=beat.service,
            instance=beat.life,
            host=beat.address.host,
            port=beat.address.port,
            slots=beat.slots,
            connections=beat.slots + _SPARE_CONNECTIONS,
            bearable=beat.slots,
            warmth=_warmth(self._book, beat.service, self._cold_until_s),
        )
        self._life = UpstreamLife(announcement)
        for listener in self._announced:
            listener(announcement)

    def _end(self, how: UpstreamEnd) -> None:
        self._is_ending = True
        _log.info('instance leaves: {}', how.value)
        for listener in self._ended:
            listener(how)


def _is_overtaken(beat: Beat, known: Beat) -> bool:
    if beat.life == known.life:
        return beat.sequence <= known.sequence
    return beat.born_ms < known.born_ms


def _warmth(
    book: RouteBook, service: ServiceName, cold_until_s: float
) -> Warmth:
    state = book.state
    terms = None if state is None else state.services.get(service)
    rate_per_s = 1.0 if terms is None else terms.cold_requests_per_s
    return Warmth(cold_until_s, rate_per_s)


def _no_holds(_report: HoldReport) -> HoldReply | None:
    """Renew nothing while nobody decides on grants."""
