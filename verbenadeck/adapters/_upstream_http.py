"""Adapter to the upstream over HTTP, in the 'standin' format."""

import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import wire
from verbenadeck.adapters._announce import AnnounceError, read_announcement
from verbenadeck.adapters._http_headers import end_to_end_headers
from verbenadeck.adapters._upstream import (
    Announcement,
    Grant,
    LoadReport,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.adapters._upstream_exchange import exchange, failed
from verbenadeck.adapters._upstream_session import UpstreamSession
from verbenadeck.model import Answer, RequestId
from verbenadeck.utils import Clock

_OK = 200
_CONTROL_TIMEOUT_S = 2.0
_MS_PER_S = 1000
_NO_SESSION = UpstreamError(
    UpstreamFailure.NOT_SENT, 'no upstream has announced itself'
)


class UpstreamHttpAdapter:
    """Sends requests and control orders to the upstream that announced.

    Parameters
    ----------
    clock : Clock
        Clock of the VM, for deadlines.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._session: UpstreamSession | None = None
        self._listeners: list[Callable[[Announcement], None]] = []

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register what is called with each new life of the upstream."""
        self._listeners.append(listener)

    def announce(
        self, body: bytes
    ) -> Result[wire.AnnounceReply, AnnounceError]:
        """Take in the body of an announcement.

        The node's admin server calls this. A repeated announcement of the
        same life changes nothing.
        """
        return read_announcement(body).map(self._take_in)

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        """Send a request and return the complete answer."""
        session = self._session
        if session is None:
            return Failure(_NO_SESSION)
        remaining_s = self._clock.remaining_s(
            upstream_request.request.deadline_s
        )
        if remaining_s <= 0:
            detail = 'deadline passed before sending'
            return Failure(UpstreamError(UpstreamFailure.NOT_SENT, detail))
        request = upstream_request.request
        if not request.path.startswith('/'):
            return failed(UpstreamFailure.NOT_SENT, 'path is not absolute')
        headers = _order_headers(
            upstream_request, session.announcement, remaining_s
        )
        return await exchange(
            session,
            request.method,
            request.path,
            headers=headers,
            body=request.body,
            timeout_s=remaining_s,
        )

    async def cancel(self, request_id: RequestId) -> None:
        """Cancel a running request; no promise that it stops."""
        await self._control(wire.CANCEL_PATH, wire.CancelBody(request_id))

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Replace what the upstream may serve."""
        body = wire.GrantBody(
            sequence=time.clock_gettime_ns(time.CLOCK_BOOTTIME),
            service=grant.service,
            shard_count=grant.shard_count,
            ranges=tuple(
                wire.RangeBody(part.first_shard, part.stop_shard, part.fence)
                for part in grant.ranges
            ),
            deadline_s=grant.deadline_s,
        )
        return _done(await self._control(wire.GRANT_PATH, body))

    async def drain(self) -> Result[None, UpstreamError]:
        """Ask the upstream to finish what runs and take nothing new."""
        return _done(await self._control(wire.DRAIN_PATH, None))

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return health and load as the upstream reports them."""
        answer = await self._control(wire.LOAD_PATH, None)
        return answer.bind(_read_report)

    async def close(self) -> None:
        """Close connections."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    def _take_in(self, announcement: Announcement) -> wire.AnnounceReply:
        known = self._session
        if known is not None and known.is_same(announcement):
            return wire.AnnounceReply(is_new=False)
        self._session = UpstreamSession(announcement)
        if known is not None:
            known.retire()
        for listener in self._listeners:
            listener(announcement)
        return wire.AnnounceReply(is_new=True)

    async def _control(
        self, path: str, body: msgspec.Struct | None
    ) -> Result[Answer, UpstreamError]:
        session = self._session
        if session is None:
            return Failure(_NO_SESSION)
        headers = (
            (wire.CONTROL_HEADER, '1'),
            (wire.INSTANCE_HEADER, session.announcement.instance),
        )
        return await exchange(
            session,
            'POST',
            path,
            headers=headers,
            body=b'' if body is None else msgspec.json.encode(body),
            timeout_s=_CONTROL_TIMEOUT_S,
        )


def _order_headers(
    upstream_request: UpstreamRequest,
    announcement: Announcement,
    remaining_s: float,
) -> tuple[tuple[str, str], ...]:
    own = (
        (wire.REQUEST_ID_HEADER, upstream_request.request.request_id),
        (wire.INSTANCE_HEADER, announcement.instance),
        (wire.SHARD_HEADER, str(upstream_request.shard)),
        (wire.FENCE_HEADER, str(upstream_request.fence)),
        (wire.DEADLINE_HEADER, str(int(remaining_s * _MS_PER_S))),
    )
    relayed = (
        pair
        for pair in end_to_end_headers(upstream_request.request.headers)
        if not pair[0].lower().startswith(wire.RESERVED_PREFIX)
    )
    return (*relayed, *own)


def _done(
    answered: Result[Answer, UpstreamError],
) -> Result[None, UpstreamError]:
    return answered.bind(_expect_ok).map(lambda _answer: None)


def _expect_ok(answer: Answer) -> Result[Answer, UpstreamError]:
    if answer.status == _OK:
        return Success(answer)
    detail = f'upstream answered {answer.status} to a control order'
    return failed(UpstreamFailure.REFUSED, detail)


def _read_report(answer: Answer) -> Result[LoadReport, UpstreamError]:
    try:
        body = msgspec.json.decode(answer.body, type=wire.LoadBody)
    except msgspec.MsgspecError:
        return failed(UpstreamFailure.BROKEN, 'malformed load report')
    report = LoadReport(
        is_healthy=body.is_healthy,
        running=body.running,
        bearable=body.bearable,
        instance=body.instance,
    )
    return Success(report)
