"""The instance beside a node: its heartbeats and the requests to it."""

import asyncio
import math
from collections.abc import Callable

from loguru import logger
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    Announcement,
    ColdStartState,
    Grant,
    HoldReply,
    HoldReport,
    LoadReport,
    UpstreamDeparture,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
    UpstreamSession,
)
from verbenadeck.model import RequestId, ServiceName
from verbenadeck.platform._exchange import (
    Sent,
    exchange,
    failed,
    order_headers,
)
from verbenadeck.platform._heartbeats import InstanceHeartbeat
from verbenadeck.routes import RouteStore
from verbenadeck.utils import Clock

_SPARE_CONNECTIONS = 4
_NO_SESSION = UpstreamError(UpstreamFailure.NOT_SENT, 'no instance is known')
_log = logger.bind(part='upstream')


class PlatformUpstream:
    """Upstream adapter to the instance beside the node.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    route_store : RouteStore
        Terms of the services.
    """

    def __init__(self, *, clock: Clock, route_store: RouteStore) -> None:
        self.hold_handler: Callable[[HoldReport], HoldReply | None] = _no_holds
        self.last_heartbeat_at_s = -math.inf
        self._clock = clock
        self._route_store = route_store
        self._session: UpstreamSession | None = None
        self._beat: InstanceHeartbeat | None = None
        self._cold_until_s = -math.inf
        self._is_ending = False
        self._announced: list[Callable[[Announcement], None]] = []
        self._ended: list[Callable[[UpstreamDeparture], None]] = []
        self._running: dict[RequestId, asyncio.Task[Sent]] = {}

    @property
    def service(self) -> ServiceName | None:
        """Service of the instance, None before its first heartbeat."""
        return None if self._beat is None else self._beat.service

    @property
    def is_known(self) -> bool:
        """Whether an instance is there to send requests to."""
        return self._session is not None

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register what is called with each new life of the instance."""
        self._announced.append(listener)

    def on_departure(
        self, listener: Callable[[UpstreamDeparture], None]
    ) -> None:
        """Register what is called when the instance leaves."""
        self._ended.append(listener)

    def handle_heartbeat(self, beat: InstanceHeartbeat) -> HoldReply | None:
        """Take a heartbeat and return what the instance is to hold.

        One that was overtaken by a later one, or that comes from an earlier
        life, says nothing and renews nothing.
        """
        known = self._beat
        if known is not None and _is_overtaken(beat, known):
            _log.info(
                'heartbeat {} of {} is old', beat.sequence, beat.instance_id
            )
            return None
        self.last_heartbeat_at_s = self._clock.now_s()
        self._cold_until_s = self.last_heartbeat_at_s + beat.cold_s
        self._beat = beat
        if (
            self._session is None
            or known is None
            or beat.instance_id != known.instance_id
        ):
            self._begin(beat)
        if beat.is_draining and not self._is_ending:
            self._end(UpstreamDeparture.DRAINING)
        return self.hold_handler(beat.holds)

    def handle_deregister(self, instance: str) -> None:
        """Take the word of the instance that it leaves now."""
        if self._beat is not None and self._beat.instance == instance:
            self._end(UpstreamDeparture.LEFT)

    def mark_lost(self) -> None:
        """Take the instance for gone until its next heartbeat."""
        session = self._session
        self._session = None
        if session is not None:
            session.retire()
            self._end(UpstreamDeparture.SILENT)

    async def send(self, upstream_request: UpstreamRequest) -> Sent:
        """Send a request and return the complete answer."""
        session = self._session
        beat = self._beat
        if session is None or beat is None:
            return Failure(_NO_SESSION)
        left_s = self._clock.remaining_s(upstream_request.request.deadline_s)
        if left_s <= 0:
            detail = 'deadline passed before sending'
            return Failure(UpstreamError(UpstreamFailure.NOT_SENT, detail))
        headers = order_headers(upstream_request.request, beat.instance, left_s)
        request_id = upstream_request.request.request_id
        task = asyncio.ensure_future(
            exchange(session, upstream_request.request, headers, left_s)
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
        if beat is None or self._session is None:
            return Failure(_NO_SESSION)
        return Success(
            LoadReport(
                is_healthy=True,
                running=len(self._running),
                bearable=beat.slots,
                instance=beat.instance_id,
                cold_start=_cold_start(
                    self._route_store, beat.service, self._cold_until_s
                ),
            )
        )

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()

    def _begin(self, beat: InstanceHeartbeat) -> None:
        earlier = self._session
        if earlier is not None:
            earlier.retire()
        self._is_ending = False
        announcement = Announcement(
            service=beat.service,
            instance=beat.instance_id,
            host=beat.address.host,
            port=beat.address.port,
            slots=beat.slots,
            connections=beat.slots + _SPARE_CONNECTIONS,
            bearable=beat.slots,
            cold_start=_cold_start(
                self._route_store, beat.service, self._cold_until_s
            ),
        )
        self._session = UpstreamSession(announcement)
        for listener in self._announced:
            listener(announcement)

    def _end(self, how: UpstreamDeparture) -> None:
        self._is_ending = True
        _log.info('instance leaves: {}', how.value)
        for listener in self._ended:
            listener(how)


def _is_overtaken(beat: InstanceHeartbeat, known: InstanceHeartbeat) -> bool:
    if beat.instance_id == known.instance_id:
        return beat.sequence <= known.sequence
    return beat.born_ms < known.born_ms


def _cold_start(
    route_store: RouteStore, service: ServiceName, cold_until_s: float
) -> ColdStartState:
    state = route_store.state
    service_config = None if state is None else state.services.get(service)
    rate_per_s = (
        1.0 if service_config is None else service_config.cold_requests_per_s
    )
    return ColdStartState(cold_until_s, rate_per_s)


def _no_holds(_report: HoldReport) -> HoldReply | None:
    """Renew nothing while nobody decides on grants."""
