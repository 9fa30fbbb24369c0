"""HTTP server connection that bounds what a client can make it keep."""

import asyncio
from types import MappingProxyType

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from verbenadeck.entry._arrival import Arrival, Excess
from verbenadeck.entry._connection_group import ConnectionGroup
from verbenadeck.entry._watched_connection import WatchedConnection

_PIECE_BYTES = 4096
"""Number of bytes parsed at a time. The error of bytes that are no request
takes ten times their memory, and one read brings up to 256 KiB."""

_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_MAX_DETAIL_LENGTH = 300
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_STATUS_TEXTS = MappingProxyType(
    {
        _BAD_REQUEST: 'malformed request',
        _HEAD_TOO_LARGE: 'the head is too large',
    }
)
"""Texts of the answers to bytes that are no request; none of them has run."""

_COUNTERS = MappingProxyType(
    {
        _BAD_REQUEST: 'clients_refused_malformed',
        _HEAD_TOO_LARGE: 'clients_refused_large_heads',
    }
)


class BoundedConnection(WatchedConnection):
    """Connection that stops at the first bytes that exceed its limits.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server that answers the requests.
    loop : asyncio.AbstractEventLoop
        Event loop of the node.
    group : ConnectionGroup
        Limits, and what all connections of the server share.
    lingering_time_s : float
        As for `WatchedConnection`.
    auto_decompress : bool
        Whether bodies are decompressed.
    """

    __slots__ = (
        '_arrival',
        '_body',
        '_has_partial',
        '_idle_timeout_s',
        '_is_over',
        '_timer',
        '_unparsed',
    )

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        group: ConnectionGroup,
        lingering_time_s: float,
        auto_decompress: bool = True,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            group=group,
            lingering_time_s=lingering_time_s,
            auto_decompress=auto_decompress,
        )
        self._arrival = Arrival(group.limits)
        self._idle_timeout_s = group.limits.idle_timeout_s
        self._body: StreamReader = EMPTY_PAYLOAD
        self._has_partial = False
        self._is_over = False
        self._timer: asyncio.TimerHandle | None = None
        self._unparsed = b''

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what has been received of the next request.

        Parameters
        ----------
        exc : BaseException or None
            Cause, None if the connection was closed in order.
        """
        self._is_over = True
        self._unparsed = b''
        if self._timer is not None:
            self._timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes in pieces, up to the first that exceed a limit.

        Bytes behind a request that waits for the one before are kept, and no
        more are read.

        Parameters
        ----------
        data : bytes
            Bytes received; none to go on after a pause.
        """
        if self._is_closing:
            return
        unparsed = self._unparsed + data if self._unparsed else data
        self._unparsed = b''
        if not unparsed:
            self._parse(b'')
        position = 0
        while position < len(unparsed) and not self._is_closing:
            if self._must_wait:
                self._unparsed = unparsed[position:]
                break
            self._parse(unparsed[position : position + _PIECE_BYTES])
            position += _PIECE_BYTES
        if not self._is_closing:
            self._update_state()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to bytes that are no request, without the bytes.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            Stands for the request that could not be read.
        status : int
            Status of the answer.
        exc : BaseException or None
            Error, which may contain all bytes that could not be parsed.
        message : str or None
            Its text.
        """
        if isinstance(exc, LineTooLong):
            status = _HEAD_TOO_LARGE
        if status not in _STATUS_TEXTS:
            return super().handle_error(request, status, exc, message)
        detail = repr(exc)[:_MAX_DETAIL_LENGTH]
        self._group.reports.report(
            _COUNTERS[status], f'no request from {request.remote}: {detail}'
        )
        response = web.Response(status=status, text=_STATUS_TEXTS[status])
        response.force_close()
        return response

    @property
    def _is_closing(self) -> bool:
        return (
            self._is_over
            or self._is_aborted
            or self._force_close
            or self._close
        )

    @property
    def _must_wait(self) -> bool:
        if self._reading_paused:
            return True
        # The body of the first request is parsed before its handler starts.
        return bool(self._messages) and (
            self._request_in_progress or self._arrival.body is None
        )

    @property
    def _has_request(self) -> bool:
        """Whether a request is in progress or waits."""
        return self._request_in_progress or any(
            isinstance(message, RawRequestMessage)
            for message, _ in self._messages
        )

    def _parse(self, piece: bytes) -> None:
        known_requests = self._request_count
        web.RequestHandler.data_received(self, piece)
        new_requests = self._request_count - known_requests
        if new_requests:
            message, body = self._messages[-1]
            if not isinstance(message, RawRequestMessage):
                # aiohttp queues an error in place of a request.
                self._stop_reading()
                return
            self._body = body
            if body is EMPTY_PAYLOAD:
                self._expect_head(_count_surplus(piece))
            else:
                self._arrival.expect_body(body)
        else:
            self._arrival.add(len(piece))
        if self._arrival.body is not None and self._body.is_eof():
            self._expect_head(0)
        excess = self._arrival.find_excess()
        if excess is not None:
            self._refuse(excess)

    def _expect_head(self, received_bytes: int) -> None:
        """Note that a request is complete and may run."""
        self._group.mark_busy(self)
        self._arrival.expect_head(received_bytes)

    def _update_state(self) -> None:
        """Update what the group knows, and the time that is left."""
        if self._messages and (self._unparsed or self._request_in_progress):
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
        arrival = self._arrival
        partial_bytes = arrival.head_bytes
        # The first request at an idle connection runs at once.
        starting = 0 if self._waiter is None else 1
        if arrival.body is None or len(self._messages) > starting:
            partial_bytes += len(self._unparsed)
        # Otherwise a handler reads the body, and bounds its memory.
        if partial_bytes or self._has_partial:
            self._has_partial = partial_bytes > 0
            self._group.hold_partial(self, partial_bytes)
        if partial_bytes or arrival.body is not None:
            arrival.update_due(self._loop.time())
            due_s = arrival.due_s
            if due_s is not None and not _fires_by(self._timer, due_s):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(due_s, self._check_due)

    def _resume_reading_if_drained(self) -> None:
        # aiohttp calls this when a handler takes the next request.
        if self._upgraded:
            super()._resume_reading_if_drained()
            return
        self.data_received(b'')
        if not self._messages:
            self._resume_reading_for_buffer()

    def _check_due(self) -> None:
        self._timer = None
        arrival = self._arrival
        if arrival.due_s is None or self._is_closing:
            return
        now_s = self._loop.time()
        is_paused = self._reading_paused or self._buffer_paused
        if is_paused:
            # The node does not read, so the client can't send the rest.
            arrival.restart_due(now_s)
        if now_s < arrival.due_s:
            self._timer = self._loop.call_at(arrival.due_s, self._check_due)
        else:
            self._close_late()

    def _close_late(self) -> None:
        """Close a connection that sends no more of a request."""
        is_head = self._arrival.body is None
        part = 'heads' if is_head else 'bodies'
        self._group.reports.report(
            f'clients_closed_late_{part}', f'{self} sent no more of a request'
        )
        self._stop_reading()
        if self._has_request:
            # Closed after the answer.
            self._close = True
        else:
            self.force_close()

    def _process_keepalive(self) -> None:
        if self._arrival.due_s is not None and not self._is_closing:
            # The time of the head decides; the next answer starts anew.
            self._keepalive_handle = None
            return
        super()._process_keepalive()

    def _refuse(self, excess: Excess) -> None:
        """Refuse the request that is being received, and read no more."""
        self._stop_reading()
        if excess is Excess.FRAMING:
            self._group.reports.report(
                'clients_refused_large_framing',
                f'{self} sent too many bytes around a body',
            )
            return
        # Answered in the order of the requests, as those of aiohttp.
        text = _STATUS_TEXTS[_HEAD_TOO_LARGE]
        error = _ErrInfo(
            _HEAD_TOO_LARGE, HttpProcessingError(message=text), text
        )
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._request_in_progress:
            # No byte behind the refusal is of use, and it waits for the answer
            # before it; aiohttp resumes reading when it takes the refusal.
            self._pause_reading_for_buffer()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_reading(self) -> None:
        """Drop all further bytes; end the body that is being read."""
        self._is_over = True
        self._unparsed = b''
        self._group.hold_partial(self, 0)
        if self._arrival.body is None or self._body.is_eof():
            return
        if not self._has_request:
            # The answer has been written, and only the rest is awaited.
            self.force_close()
            return
        self._body.set_exception(
            web.RequestPayloadError('the body did not arrive')
        )
        self._body.feed_eof()
        # The answer to the request whose body it is comes last.
        self._close = True


def _fires_by(timer: asyncio.TimerHandle | None, due_s: float) -> bool:
    # The timer of a body is set to the idle time-out, and remains after it.
    return timer is not None and timer.when() <= due_s


def _count_surplus(piece: bytes) -> int:
    r"""Return the bytes in a piece after the head of a request without a body.

    Parameters
    ----------
    piece : bytes
        Bytes in which the head ends, as the last one.

    Examples
    --------
    >>> _count_surplus(b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET')
    3
    """
    head_end = piece.rfind(_HEAD_END)
    if head_end < 0:
        return 0
    # Empty lines after a head count as part of the next one.
    head = piece[:head_end].rstrip(_LINE_END)
    return len(piece) - len(head) - len(_HEAD_END)
