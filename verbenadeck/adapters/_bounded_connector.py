"""HTTP connections that end when an answer exceeds its size limits.

They also end when bytes arrive for which no request waits, and after an answer
without a valid final status.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from loguru import logger

from verbenadeck.adapters._answer_budget import AnswerBudget
from verbenadeck.adapters._answer_status import (
    INTERIM_STATUSES,
    CheckedProtocol,
)

_log = logger.bind(part='upstream')

MAX_ANSWER_BYTES = 8_388_608
"""Maximum size in bytes of the body of an answer."""

_MAX_HEADS_BYTES = 65_536
"""Maximum size in bytes of the head of an answer and all interim heads."""

_MAX_HEADS = 64
"""Maximum number of the interim heads of an answer and its head."""

_MAX_ENCODED_BODY_BYTES = 2 * MAX_ANSWER_BYTES
"""Maximum size in bytes of a body with chunk headers and trailers."""

_MAX_FRAMING_BYTES = 8_192
"""Maximum size in bytes by which the chunk headers and trailers of a body may
exceed the body. Each chunk takes processor time, however short it is."""

_HEAD_PIECE_BYTES = 4096
"""Number of bytes of heads that are parsed at a time. A parsed head can take a
hundred times the memory of its bytes, and one read brings up to 256 KiB."""

_BODY_PIECE_BYTES = 16_384
"""The same for bodies, after which another head may follow."""


class AnswerTooLargeError(aiohttp.ClientError):
    """Failure of an answer that exceeds its size limits."""


class BoundedProtocol(CheckedProtocol):
    """Connection that closes when an answer exceeds its size limits.

    The limits hold for the bytes received, since interim heads and chunk
    extensions may go on without end although they add nothing to the answer.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    budget : AnswerBudget
        Memory for the bodies of answers.

    Attributes
    ----------
    budget : AnswerBudget
        The same budget, for those who read the answers.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, budget: AnswerBudget
    ) -> None:
        super().__init__(loop=loop)
        self.budget = budget
        self._left_bytes = _MAX_HEADS_BYTES
        self._left_heads = _MAX_HEADS
        self._is_head_due = True
        self._error: AnswerTooLargeError | None = None
        self._is_idle = True
        self._unparsed = b''

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the next answer on this connection.

        Parameters
        ----------
        **options
            Options of the answer's parser.
        """
        self._left_bytes = _MAX_HEADS_BYTES
        self._left_heads = _MAX_HEADS
        self._is_head_due = True
        self._is_idle = False
        super().set_response_params(**options)

    def mark_idle(self) -> None:
        """Note that the connection waits for its next request in the pool."""
        self._is_idle = True
        if self._unparsed:
            self._refuse_surplus(self._unparsed)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer, or abort the connection.

        Parameters
        ----------
        data : bytes
            Bytes received.
        """
        unparsed = self._unparsed + data
        self._unparsed = b''
        position = 0
        # aiohttp also calls this without bytes, to go on after a pause.
        while not position or (position < len(unparsed) and self._is_open):
            if position and self._reading_paused:
                self._unparsed = unparsed[position:]
                return
            piece = unparsed[position : position + self._piece_bytes]
            self._receive(piece)
            position += max(1, len(piece))

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a parsed head; apply the limit of bodies after the last one.

        Parameters
        ----------
        data : tuple of RawResponseMessage and StreamReader
            Head and the body that belongs to it.
        size : int
            Not used.
        """
        self._left_heads -= 1
        if not self._is_head_due:
            # A second answer belongs to no request.
            self.force_close()
            return
        if data[0].code not in INTERIM_STATUSES:
            self._is_head_due = False
            self._left_bytes = _MAX_ENCODED_BODY_BYTES
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer that is being read.

        Parameters
        ----------
        exc : BaseException or None
            Cause; None if the upstream closed the connection. An aborted
            answer must not look like one that ends with its connection.
        """
        super().connection_lost(exc or self._error)

    @property
    def _piece_bytes(self) -> int:
        return _HEAD_PIECE_BYTES if self._is_head_due else _BODY_PIECE_BYTES

    @property
    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _receive(self, piece: bytes) -> None:
        if self._is_idle and piece:
            self._refuse_surplus(piece)
            return
        self._left_bytes -= len(piece)
        if self._left_bytes >= 0:
            ResponseHandler.data_received(self, piece)
        if self._left_bytes < 0 or self._left_heads < 0:
            self._refuse('the heads or the encoded body are too large')
        elif self._is_framing_too_large():
            self._refuse('the chunk headers are larger than the body')

    def _is_framing_too_large(self) -> bool:
        if self._is_head_due or self._payload is None:
            return False
        body_bytes = self._payload.total_bytes
        encoded_bytes = _MAX_ENCODED_BODY_BYTES - self._left_bytes
        return encoded_bytes > 2 * body_bytes + _MAX_FRAMING_BYTES

    def _refuse_surplus(self, surplus: bytes) -> None:
        # aiohttp would take them for the answer to the next request.
        _log.warning('{} bytes on an idle connection, closed', len(surplus))
        self._abort()

    def _refuse(self, detail: str) -> None:
        self._error = AnswerTooLargeError(detail)
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def _make_protocol(
    loop: asyncio.AbstractEventLoop, budget: AnswerBudget
) -> ResponseHandler:
    return BoundedProtocol(loop, budget)


class BoundedConnector(aiohttp.TCPConnector):
    """Pool of connections of type `BoundedProtocol`.

    Parameters
    ----------
    limit : int
        Maximum number of connections.
    budget : AnswerBudget
        Memory for the bodies of answers.
    is_pooled : bool
        Whether a connection is used for several requests.
    """

    def __init__(
        self, *, limit: int, budget: AnswerBudget, is_pooled: bool = True
    ) -> None:
        super().__init__(limit=limit, force_close=not is_pooled)
        # aiohttp has no public option for the protocol of its connections.
        self._factory = functools.partial(
            _make_protocol, loop=self._loop, budget=budget
        )

    def _release(
        self,
        key: Any,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, BoundedProtocol):
            protocol.mark_idle()
