"""HTTP connections that end when an answer exceeds its size limits.

They also end when bytes arrive for which no request waits.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from loguru import logger

from verbenadeck.adapters._answer_budget import AnswerBudget

_log = logger.bind(part='upstream')

MAX_ANSWER_BYTES = 8_388_608
"""Maximum size in bytes of the body of an answer."""

_MAX_HEADS_BYTES = 1_048_576
"""Maximum size in bytes of the head of an answer and all interim heads."""

_MAX_ENCODED_BODY_BYTES = 2 * MAX_ANSWER_BYTES
"""Maximum size in bytes of a body with chunk headers and trailers."""


class AnswerTooLargeError(aiohttp.ClientError):
    """Failure of an answer that exceeds its size limits."""


class BoundedProtocol(ResponseHandler):
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
        self._error: AnswerTooLargeError | None = None
        self._is_idle = True

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the next answer on this connection.

        Parameters
        ----------
        **options
            Options of the answer's parser.
        """
        self._left_bytes = _MAX_HEADS_BYTES
        self._is_idle = False
        super().set_response_params(**options)

    def mark_idle(self) -> None:
        """Note that the connection waits for its next request in the pool."""
        self._is_idle = True

    def allow_body(self) -> None:
        """Apply the limit of bodies from now on; the head is complete."""
        self._left_bytes = _MAX_ENCODED_BODY_BYTES

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer, or abort the connection.

        Parameters
        ----------
        data : bytes
            Bytes received.
        """
        if self._is_idle and data:
            # aiohttp would take them for the answer to the next request.
            _log.warning('{} bytes on an idle connection, closed', len(data))
            self._abort()
            return
        self._left_bytes -= len(data)
        if self._left_bytes >= 0:
            super().data_received(data)
            return
        self._error = AnswerTooLargeError(
            'the heads or the encoded body are too large'
        )
        self._abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer that is being read.

        Parameters
        ----------
        exc : BaseException or None
            Cause; None if the upstream closed the connection. An aborted
            answer must not look like one that ends with its connection.
        """
        super().connection_lost(exc or self._error)

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
