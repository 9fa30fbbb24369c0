"""Upstream adapter to the instance beside a node.

It handles the heartbeats of the instance and sends requests to it.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    Announcement,
    AnswerBudget,
    ColdStartState,
    Grant,
    HoldReply,
    HoldReport,
    LoadReport,
    ReportOrder,
    ReportPosition,
    UpstreamDeparture,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
    UpstreamSession,
)
from verbenadeck.model import RequestId, ServiceName
from verbenadeck.platform._departures import DepartureNotices
from verbenadeck.platform._exchange import (
    SendResult,
    exchange,
    make_failure,
    make_request_headers,
)
from verbenadeck.platform._heartbeats import (
    Deregistration,
    InstanceHeartbeat,
    read_hold_report,
)
from verbenadeck.platform._refusals import (
    HeartbeatError,
    HeartbeatFault,
    refuse_heartbeat,
)
from verbenadeck.platform._report_listeners import ReportListeners
from verbenadeck.routes import RouteStore
from verbenadeck.utils import Clock

_SPARE_CONNECTIONS = 4
_REPLACE_AFTER_INTERVALS = 2
"""Heartbeat intervals after which heartbeats that come alone replace what was
accepted before; fewer than those after which the instance counts as lost."""

_NO_SESSION_ERROR = UpstreamError(
    UpstreamFailure.NOT_SENT, 'no instance has sent a heartbeat'
)
_log = logger.bind(part='upstream')


class PlatformUpstream(ReportListeners):
    """Upstream adapter to the instance beside the node.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    route_store : RouteStore
        Configuration of the services, with their rate during a cold start.
    heartbeat_interval_s : float
        Interval of the instance's heartbeats, in seconds.
    latest_deadline_s : callable
        Returns the time by which all requests must have ended, on the clock
        of this VM in seconds; infinite unless the process ends.

    Attributes
    ----------
    hold_handler : callable
        Returns the keys that the instance is to hold, given those that it
        reports; None to renew nothing.
    record_departure : callable
        Records that the instance with an id leaves, so that a later process
        of this node knows; returns whether it is certain to be recorded.
    last_heartbeat_at_s : float
        Time of the last accepted heartbeat on the clock of this VM, in
        seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        route_store: RouteStore,
        heartbeat_interval_s: float,
        latest_deadline_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        super().__init__()
        self.hold_handler: Callable[[HoldReport], HoldReply | None] = (
            _renew_nothing
        )
        self.record_departure: Callable[[str], Awaitable[bool]] = (
            _record_nothing
        )
        self.last_heartbeat_at_s = -math.inf
        self._clock = clock
        self._latest_deadline_s = latest_deadline_s
        self._route_store = route_store
        self._session: UpstreamSession | None = None
        self._answer_budget = AnswerBudget()
        self._last_heartbeat: InstanceHeartbeat | None = None
        self._order = ReportOrder(
            clock=clock,
            replace_after_s=_REPLACE_AFTER_INTERVALS * heartbeat_interval_s,
        )
        self._cold_until_s = -math.inf
        self._departures = DepartureNotices()
        route_store.subscribe(lambda _state: self._notify_report())
        self._announce_listeners: list[Callable[[Announcement], None]] = []
        self._running_tasks: dict[RequestId, asyncio.Task[SendResult]] = {}

    @property
    def is_usable(self) -> bool:
        """Whether there is an instance that has not said that it leaves."""
        return self._session is not None and not self._departures.is_departing

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register a listener for each start of the instance.

        Parameters
        ----------
        listener : callable
            Called with the announcement.
        """
        self._announce_listeners.append(listener)

    def on_departure(
        self, listener: Callable[[UpstreamDeparture], None]
    ) -> None:
        """Register a listener for the departure of the instance.

        Parameters
        ----------
        listener : callable
            Called with the way in which the instance departs.
        """
        self._departures.subscribe(listener)

    def handle_heartbeat(
        self, heartbeat: InstanceHeartbeat
    ) -> Result[HoldReply | None, HeartbeatError]:
        """Apply a heartbeat and return the keys that the instance is to hold.

        What is refused changes nothing.

        Parameters
        ----------
        heartbeat : InstanceHeartbeat
            Decoded heartbeat.

        Returns
        -------
        Result of HoldReply or None
            None when nothing is renewed; a failure when the heartbeat
            contradicts the configuration of the service, or the heartbeats
            that were accepted before.
        """
        is_keyed = _is_keyed(self._route_store, heartbeat.service)
        report = read_hold_report(heartbeat, is_keyed=is_keyed)
        if not is_successful(report):
            return Failure(report.failure())
        fault = self._order.accept(
            ReportPosition(
                instance=heartbeat.instance_id,
                started_at_ms=heartbeat.started_at_ms,
                sequence=heartbeat.sequence,
            )
        )
        if fault is not None:
            return refuse_heartbeat(
                fault, f'{heartbeat.sequence} of {heartbeat.instance_id}'
            )
        return Success(self._apply_heartbeat(heartbeat, report.unwrap()))

    async def handle_deregister(
        self, deregistration: Deregistration
    ) -> Result[None, HeartbeatError]:
        """Handle the message of an instance that it leaves now.

        Parameters
        ----------
        deregistration : Deregistration
            Decoded message.

        Returns
        -------
        Result
            A failure when the instance is not the one beside this node, or
            when its departure may not outlive this process.
        """
        heartbeat = self._last_heartbeat
        if heartbeat is None or not deregistration.is_of(heartbeat):
            return refuse_heartbeat(
                HeartbeatFault.OTHER_INSTANCE, deregistration.instance
            )
        self._departures.receive(heartbeat.instance_id, UpstreamDeparture.LEFT)
        if await self.record_departure(heartbeat.instance_id):
            return Success(None)
        return refuse_heartbeat(
            HeartbeatFault.NOT_RECORDED, heartbeat.instance_id
        )

    def mark_lost(self) -> None:
        """Treat the instance as lost until its next heartbeat."""
        session = self._session
        self._session = None
        if session is not None:
            session.retire()
            self._departures.notify(UpstreamDeparture.SILENT)

    async def send(self, upstream_request: UpstreamRequest) -> SendResult:
        """Send a request and return the complete answer.

        Parameters
        ----------
        upstream_request : UpstreamRequest
            Request with its deadline on the clock of this VM, in seconds;
            its shard and fence are not sent.
        """
        session = self._session
        heartbeat = self._last_heartbeat
        if session is None or heartbeat is None:
            return Failure(_NO_SESSION_ERROR)
        remaining_s = self._clock.remaining_s(
            min(upstream_request.request.deadline_s, self._latest_deadline_s())
        )
        if remaining_s <= 0:
            detail = 'the deadline passed before sending'
            return Failure(UpstreamError(UpstreamFailure.NOT_SENT, detail))
        headers = make_request_headers(
            upstream_request.request, heartbeat.instance, remaining_s
        )
        request_id = upstream_request.request.request_id
        task = asyncio.ensure_future(
            exchange(session, upstream_request.request, headers, remaining_s)
        )
        self._running_tasks[request_id] = task
        try:
            await asyncio.wait((task,))
        finally:
            task.cancel()
            self._running_tasks.pop(request_id, None)
        if task.cancelled():
            return make_failure(
                UpstreamFailure.BROKEN,
                'the request was cancelled and may have been sent',
            )
        return task.result()

    async def cancel(self, request_id: RequestId) -> None:
        """Close the connection of a request, if it still runs.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        """
        task = self._running_tasks.get(request_id)
        if task is not None:
            task.cancel()

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Do nothing: the replies to heartbeats carry the grants."""
        return Success(None)

    async def drain(self) -> Result[None, UpstreamError]:
        """Do nothing: the platform drains instances itself."""
        return Success(None)

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return the load according to the last heartbeat."""
        heartbeat = self._last_heartbeat
        if heartbeat is None or self._session is None:
            return Failure(_NO_SESSION_ERROR)
        cold_start = _make_cold_start_state(
            self._route_store, heartbeat.service, self._cold_until_s
        )
        running_count = len(self._running_tasks)
        return Success(_make_report(heartbeat, running_count, cold_start))

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _apply_heartbeat(
        self, heartbeat: InstanceHeartbeat, report: HoldReport | None
    ) -> HoldReply | None:
        last_heartbeat = self._last_heartbeat
        self.last_heartbeat_at_s = self._clock.now_s()
        self._cold_until_s = (
            self.last_heartbeat_at_s + heartbeat.cold_remaining_s
        )
        self._last_heartbeat = heartbeat
        if (
            self._session is None
            or last_heartbeat is None
            or heartbeat.instance_id != last_heartbeat.instance_id
        ):
            self._start_session(heartbeat)
        self._notify_report()
        if heartbeat.is_draining and not self._departures.is_departing:
            self._departures.receive(
                heartbeat.instance_id, UpstreamDeparture.DRAINING
            )
        return None if report is None else self.hold_handler(report)

    def _notify_report(self) -> None:
        # Until the next poll, an instance that has become cold would get
        # requests at the rate of a warm one.
        heartbeat = self._last_heartbeat
        if self._session is not None and heartbeat is not None:
            cold_start = _make_cold_start_state(
                self._route_store, heartbeat.service, self._cold_until_s
            )
            running_count = len(self._running_tasks)
            self.notify_report(
                _make_report(heartbeat, running_count, cold_start)
            )

    def _start_session(self, heartbeat: InstanceHeartbeat) -> None:
        earlier_session = self._session
        if earlier_session is not None:
            earlier_session.retire()
        announcement = Announcement(
            service=heartbeat.service,
            instance=heartbeat.instance_id,
            host=heartbeat.address.host,
            port=heartbeat.address.port,
            slots=heartbeat.slots,
            connections=heartbeat.slots + _SPARE_CONNECTIONS,
            bearable=heartbeat.slots,
            cold_start=_make_cold_start_state(
                self._route_store, heartbeat.service, self._cold_until_s
            ),
        )
        self._session = UpstreamSession(
            announcement, budget=self._answer_budget
        )
        for listener in self._announce_listeners:
            listener(announcement)
        self._departures.begin_session(heartbeat.instance_id)


def _is_keyed(route_store: RouteStore, service: ServiceName) -> bool | None:
    """Return whether a service has keys, None while that is not known."""
    state = route_store.state
    service_config = None if state is None else state.services.get(service)
    return None if service_config is None else service_config.is_keyed


def _make_report(
    heartbeat: InstanceHeartbeat, running_count: int, cold_start: ColdStartState
) -> LoadReport:
    return LoadReport(
        is_healthy=True,
        running=running_count,
        bearable=heartbeat.slots,
        instance=heartbeat.instance_id,
        cold_start=cold_start,
    )


def _make_cold_start_state(
    route_store: RouteStore, service: ServiceName, cold_until_s: float
) -> ColdStartState:
    state = route_store.state
    service_config = None if state is None else state.services.get(service)
    rate_per_s = (
        1.0 if service_config is None else service_config.cold_requests_per_s
    )
    return ColdStartState(cold_until_s, rate_per_s)


def _renew_nothing(_report: HoldReport) -> HoldReply | None:
    """Return None, which renews nothing, until a handler is set."""


async def _record_nothing(_instance: str) -> bool:
    """Return that nothing is recorded, until a recorder is set."""
    return False
