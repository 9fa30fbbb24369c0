"""Reading of request bodies within limits of size and memory."""

from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenadeck.model import Outcome, Refusal, RefusalReason

_RETRY_AFTER_S = 0.5

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

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

    async def read(self, http_request: web.BaseRequest) -> BodyResult:
        """Return the whole body, or a refusal if it is beyond a limit.

        A declared length that is beyond a limit is refused before any of
        the body is read.

        Parameters
        ----------
        http_request : aiohttp.web.BaseRequest
            Request whose head has been read.
        """
        if not http_request.body_exists:
            return Success(b'')
        refusal = self._grow(http_request.content_length or 0)
        if refusal is None and _waits_for_continue(http_request):
            await http_request.writer.write(_CONTINUE)
            http_request.writer.output_size = 0
        body = bytearray()
        while refusal is None:
            try:
                block = await http_request.content.readany()
            except web.RequestPayloadError as error:
                return Failure(_make_bad_body(str(error)))
            if not block:
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


def _waits_for_continue(http_request: web.BaseRequest) -> bool:
    return http_request.headers.get('Expect', '').lower() == '100-continue'


def _make_bad_body(detail: str) -> Refusal:
    return Refusal(
        Outcome.NOT_RUN,
        RefusalReason.BAD_REQUEST,
        detail=f'the body is malformed: {detail}',
    )
