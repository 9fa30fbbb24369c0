"""Reading of request bodies within limits of size and memory."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast

from returns.result import Failure, Result, Success
from sanic.http import Http
from sanic.request import Request as HttpRequest

from verbenadeck.model import Outcome, Refusal, RefusalReason

_RETRY_AFTER_S = 0.5

BodyResult = Result[bytes, Refusal]


class HeldBody:
    """Body of one request and the memory that it holds.

    Parameters
    ----------
    budget : BodyBudget
        Budget from which the memory is taken.
    """

    def __init__(self, budget: 'BodyBudget') -> None:
        self.size_bytes = 0
        self._budget = budget

    async def read(self, http_request: HttpRequest) -> BodyResult:
        """Return the whole body, or a refusal if it is beyond a limit.

        A declared length that is beyond a limit is refused before any of
        the body is read.

        Parameters
        ----------
        http_request : sanic.request.Request
            Request whose head has been read.
        """
        stream = cast(Http, http_request.stream)
        if not stream.request_body:
            return Success(b'')
        refusal = self._grow(int(http_request.headers.get('content-length', 0)))
        body = bytearray()
        while refusal is None:
            block = await stream.read()
            if block is None:
                return Success(bytes(body))
            body += block
            refusal = self._grow(len(body))
        return Failure(refusal)

    def _grow(self, size_bytes: int) -> Refusal | None:
        """Hold at least a number of bytes; return a refusal if impossible."""
        budget = self._budget
        if size_bytes > budget.max_body_bytes:
            return Refusal(
                Outcome.NOT_RUN,
                RefusalReason.TOO_LARGE,
                detail=f'the body is larger than {budget.max_body_bytes} bytes',
            )
        more_bytes = max(0, size_bytes - self.size_bytes)
        if budget.held_bytes + more_bytes > budget.max_held_bytes:
            return Refusal(
                Outcome.NOT_RUN,
                RefusalReason.QUEUE_FULL,
                _RETRY_AFTER_S,
                'the entry holds as many bytes of bodies as it may',
            )
        self.size_bytes += more_bytes
        budget.held_bytes += more_bytes
        return None


class BodyBudget:
    """Memory that the bodies of all requests in progress share.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of one body, in bytes.
    max_held_bytes : int
        Maximum size of all bodies together, in bytes.

    Attributes
    ----------
    held_bytes : int
        Size of the bodies that are being read or routed, in bytes.
    """

    def __init__(self, *, max_body_bytes: int, max_held_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_held_bytes = max_held_bytes
        self.held_bytes = 0

    @contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Yield an empty body, whose memory is released at the end."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            self.held_bytes -= held.size_bytes
