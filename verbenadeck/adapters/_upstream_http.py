"""Upstream adapter over HTTP, in the 'standin' format."""

import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import wire
from verbenadeck.adapters._announce import AnnounceError, read_announcement
from verbenadeck.adapters._answer_budget import AnswerBudget
from verbenadeck.adapters._http_headers import end_to_end_headers
from verbenadeck.adapters._upstream import (
    Announcement,
    Grant,
    LoadReport,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.adapters._upstream_exchange import exchange, make_failure
from verbenadeck.adapters._upstream_session import UpstreamSession
from verbenadeck.model import Answer, RequestId
from verbenadeck.utils import Clock

_OK = 200
_CONTROL_TIMEOUT_S = 2.0
_MS_PER_S = 1000
_NO_SESSION_ERROR = UpstreamError(
    UpstreamFailure.NOT_SENT, 'no upstream has announced itself'
)


class UpstreamHttpAdapter:
    """Upstream adapter to the upstream that announced itself last.

    Parameters
    ----------
    clock : Clock
        Clock of the VM, for deadlines.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._session: UpstreamSession | None = None
        self._answer_budget = AnswerBudget()
        self._listeners: list[Callable[[Announcement], None]] = []

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register a listener for each start of the upstream.

        Parameters
        ----------
        listener : callable
            Called with the announcement.
        """
        self._listeners.append(listener)

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        """Ignore the listener, as this upstream only answers to `report`.

        Parameters
        ----------
        listener : callable
            Never called.
        """

    def announce(
        self, body: bytes
    ) -> Result[wire.AnnounceReply, AnnounceError]:
        """Apply an announcement that the admin server of the node received.

        A repeated announcement of the same upstream process changes nothing.

        Parameters
        ----------
        body : bytes
            Body of the announcement, in JSON.
        """
        return read_announcement(body).map(self._start_session)

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        """Send a request and return the complete answer.

        Parameters
        ----------
        upstream_request : UpstreamRequest
            Request with its shard and fence.
        """
        session = self._session
        if session is None:
            return Failure(_NO_SESSION_ERROR)
        remaining_s = self._clock.remaining_s(
            upstream_request.request.deadline_s
        )
        if remaining_s <= 0:
            detail = 'the deadline passed before sending'
            return Failure(UpstreamError(UpstreamFailure.NOT_SENT, detail))
        request = upstream_request.request
        if not request.path.startswith('/'):
            return make_failure(
                UpstreamFailure.NOT_SENT, 'the path does not begin with a slash'
            )
        headers = _make_request_headers(
            upstream_request, session.announcement, remaining_s
        )
        return await exchange(
            session,
            request.method,
            request.path,
            headers=headers,
            body=request.body,
            timeout_s=remaining_s,
            is_pooled=request.is_repeatable,
        )

    async def cancel(self, request_id: RequestId) -> None:
        """Try to cancel a running request; it may still run to its end.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        """
        await self._send_control_request(
            wire.CANCEL_PATH, wire.CancelBody(request_id)
        )

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Replace the shards that the upstream may serve.

        Parameters
        ----------
        grant : Grant
            All shards that it may serve from now on.
        """
        body = wire.GrantBody(
            sequence=time.clock_gettime_ns(time.CLOCK_BOOTTIME),
            service=grant.service,
            shard_count=grant.shard_count,
            ranges=tuple(
                wire.RangeBody(
                    granted_range.first_shard,
                    granted_range.stop_shard,
                    granted_range.fence,
                )
                for granted_range in grant.ranges
            ),
            deadline_s=grant.deadline_s,
        )
        return _discard_answer(
            await self._send_control_request(wire.GRANT_PATH, body)
        )

    async def drain(self) -> Result[None, UpstreamError]:
        """Ask the upstream to finish its requests and to refuse new ones."""
        return _discard_answer(
            await self._send_control_request(wire.DRAIN_PATH, None)
        )

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return the health and load that the upstream reports."""
        answer = await self._send_control_request(wire.LOAD_PATH, None)
        return answer.bind(_read_report)

    async def close(self) -> None:
        """Close all connections."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    def _start_session(self, announcement: Announcement) -> wire.AnnounceReply:
        earlier_session = self._session
        if earlier_session is not None and earlier_session.is_same(
            announcement
        ):
            return wire.AnnounceReply(is_new=False)
        self._session = UpstreamSession(
            announcement, budget=self._answer_budget
        )
        if earlier_session is not None:
            earlier_session.retire()
        for listener in self._listeners:
            listener(announcement)
        return wire.AnnounceReply(is_new=True)

    async def _send_control_request(
        self, path: str, body: msgspec.Struct | None
    ) -> Result[Answer, UpstreamError]:
        session = self._session
        if session is None:
            return Failure(_NO_SESSION_ERROR)
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


def _make_request_headers(
    upstream_request: UpstreamRequest,
    announcement: Announcement,
    remaining_s: float,
) -> tuple[tuple[str, str], ...]:
    proxy_headers = (
        (wire.REQUEST_ID_HEADER, upstream_request.request.request_id),
        (wire.INSTANCE_HEADER, announcement.instance),
        (wire.SHARD_HEADER, str(upstream_request.shard)),
        (wire.FENCE_HEADER, str(upstream_request.fence)),
        (wire.DEADLINE_HEADER, str(int(remaining_s * _MS_PER_S))),
    )
    forwarded_headers = (
        pair
        for pair in end_to_end_headers(upstream_request.request.headers)
        if not pair[0].lower().startswith(wire.RESERVED_PREFIX)
    )
    return (*forwarded_headers, *proxy_headers)


def _discard_answer(
    result: Result[Answer, UpstreamError],
) -> Result[None, UpstreamError]:
    return result.bind(_expect_ok).map(lambda _answer: None)


def _expect_ok(answer: Answer) -> Result[Answer, UpstreamError]:
    if answer.status == _OK:
        return Success(answer)
    detail = f'the upstream answered a control request with {answer.status}'
    return make_failure(UpstreamFailure.REFUSED, detail)


def _read_report(answer: Answer) -> Result[LoadReport, UpstreamError]:
    try:
        body = msgspec.json.decode(answer.body, type=wire.LoadBody)
    except msgspec.MsgspecError:
        return make_failure(
            UpstreamFailure.BROKEN, 'malformed load report of the upstream'
        )
    report = LoadReport(
        is_healthy=body.is_healthy,
        running=body.running,
        bearable=body.bearable,
        instance=body.instance,
    )
    return Success(report)
