"""Messages between routers and doors, and between doors."""

from typing import Self

from returns.result import Failure, Success

from verbenadeck.model import (
    Answer,
    AnswerResult,
    AttemptId,
    Incarnation,
    Refusal,
    Request,
    RequestId,
    ServiceName,
)
from verbenadeck.peers import Message
from verbenadeck.proxy._interface import ProxyLoad


class ForwardRequest(Message, frozen=True, array_like=True, tag='forward'):
    """One attempt to have a request answered by the receiver's door.

    Parameters
    ----------
    attempt_id : AttemptId
        Attempt; sent again unchanged when no reply came.
    remaining_s : float
        Time until the request's deadline, in seconds; each VM has its own
        clock, so no moment is sent.
    request_id, service, key, method, path, headers, body, is_repeatable,
    max_sends, rank
        Fields of `Request`.
    objective_left_s : float or None
        Time until the request's objective, in seconds.
    """

    attempt_id: AttemptId
    remaining_s: float
    request_id: RequestId
    service: ServiceName
    key: str | None
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_repeatable: bool
    max_sends: int = 0
    priority: int = 0
    objective_remaining_s: float | None = None

    @classmethod
    def pack(
        cls, attempt_id: AttemptId, request: Request, remaining_s: float
    ) -> Self:
        """Return the message for a request."""
        objective_remaining_s = None
        if request.objective_at_s:
            lead_s = request.deadline_s - request.objective_at_s
            objective_remaining_s = remaining_s - lead_s
        return cls(
            attempt_id,
            remaining_s,
            request.request_id,
            request.service,
            request.key,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.is_repeatable,
            request.max_sends,
            request.priority,
            objective_remaining_s,
        )

    def unpack(self, now_s: float) -> Request:
        """Return the request with a deadline on the receiver's clock."""
        return Request(
            self.request_id,
            self.service,
            self.key,
            self.method,
            self.path,
            self.headers,
            self.body,
            self.is_repeatable,
            now_s + self.remaining_s,
            self.max_sends,
            self.priority,
            0
            if self.objective_remaining_s is None
            else now_s + self.objective_remaining_s,
        )


class ForwardAnswer(
    Message, frozen=True, array_like=True, tag='forward-answer'
):
    """Answer or refusal of a door, with its load."""

    answer: Answer | None
    refusal: Refusal | None
    load: ProxyLoad

    @classmethod
    def pack(cls, result: AnswerResult, load: ProxyLoad) -> Self:
        """Return the message for a result."""
        match result:
            case Success(answer):
                return cls(answer, None, load)
            case Failure(refusal):
                return cls(None, refusal, load)
        raise AssertionError('a result is a success or a failure')

    def unpack(self) -> AnswerResult:
        """Return the result."""
        if self.answer is not None:
            return Success(self.answer)
        if self.refusal is None:
            raise AssertionError('neither answer nor refusal')
        return Failure(self.refusal)


class CancelAttempt(Message, frozen=True, array_like=True, tag='cancel'):
    """Nobody waits for this attempt any more."""

    attempt_id: AttemptId


class LedgerCopy(Message, frozen=True, array_like=True, tag='ledger-copy'):
    """A door is about to run requests that must not run twice.

    Parameters
    ----------
    holder : Incarnation
        Witness that is meant; a later life of it must not answer.
    owner : Incarnation
        Owner of the door.
    request_ids : tuple of RequestId
        Requests.
    token : AttemptId
        Names this copy, so that only its own withdrawal removes it.
    keep_s : float
        Time in seconds to keep the copy.
    """

    holder: Incarnation
    owner: Incarnation
    request_ids: tuple[RequestId, ...]
    token: AttemptId
    keep_s: float


class LedgerCopied(Message, frozen=True, array_like=True, tag='ledger-copied'):
    """Reply to `LedgerCopy`; false when the holder is full or another."""

    is_kept: bool


class LedgerWithdraw(
    Message, frozen=True, array_like=True, tag='ledger-withdraw'
):
    """The request of a copy did not run."""

    request_id: RequestId
    token: AttemptId


class LedgerQuery(Message, frozen=True, array_like=True, tag='ledger-query'):
    """Ask a witness whether another owner may have run a request."""

    holder: Incarnation
    asker: Incarnation
    request_id: RequestId


class LedgerFound(Message, frozen=True, array_like=True, tag='ledger-found'):
    """Reply to `LedgerQuery`.

    `is_found` is None when this life can't tell.
    """

    is_found: bool | None


class PoisonNotice(Message, frozen=True, array_like=True, tag='poison'):
    """Requests that were running when an upstream crashed.

    Parameters
    ----------
    fingerprints : tuple of int
        Fingerprints of the requests.
    crash_id : str
        Life of the upstream that crashed; each counts once.
    """

    fingerprints: tuple[int, ...]
    crash_id: str


class PoisonCleared(
    Message, frozen=True, array_like=True, tag='poison-cleared'
):
    """A suspect request was answered by an upstream."""

    fingerprint: int


MESSAGE_TYPES: tuple[type[Message], ...] = (
    ForwardRequest,
    ForwardAnswer,
    CancelAttempt,
    LedgerCopy,
    LedgerCopied,
    LedgerWithdraw,
    LedgerQuery,
    LedgerFound,
    PoisonNotice,
    PoisonCleared,
)
"""Message types that the door registers with the peer port."""
