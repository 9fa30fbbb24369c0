"""Messages between routers and proxies, and among proxies."""

from typing import Self

from returns.result import Failure, Success

from verbenadeck.logs import make_decision_logger
from verbenadeck.model import (
    NO_MEMBER,
    Answer,
    AnswerResult,
    AttemptId,
    Incarnation,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
    ServiceName,
    is_final_status,
)
from verbenadeck.peers import Message
from verbenadeck.proxy._interface import ProxyLoad
from verbenadeck.proxy._refusals import refuse, unknown
from verbenadeck.proxy._transfer_messages import (
    ReserveTransfer,
    TransferReply,
)

_log_decision = make_decision_logger('door')


class ForwardRequest(Message, frozen=True, array_like=True, tag='forward'):
    """Attempt to have a request answered by the receiving proxy.

    Parameters
    ----------
    attempt_id : AttemptId
        Id of the attempt; it is the same in a resend without a reply.
    remaining_s : float
        Time until the request's deadline, in seconds. Each VM has its own
        clock, so no absolute time is sent.
    request_id, service, key, method, path, headers, body, is_repeatable,
    max_sends, priority, is_new, kind, has_short_grace,
    is_returning
        Fields of `Request`.
    objective_remaining_s : float or None
        Time until the request's latency objective, in seconds.
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
    is_new: bool = False
    kind: str = ''
    has_short_grace: bool = False
    is_returning: bool = False

    @classmethod
    def pack(
        cls, attempt_id: AttemptId, request: Request, remaining_s: float
    ) -> Self:
        """Build the message for a request with its remaining time, in seconds."""
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
            request.is_new,
            request.kind,
            request.has_short_grace,
            request.is_returning,
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
            self.is_new,
            self.kind,
            self.has_short_grace,
            self.is_returning,
        )


class ForwardAnswer(
    Message, frozen=True, array_like=True, tag='forward-answer'
):
    """Reply to `ForwardRequest`: answer or refusal, with the proxy's load.

    Parameters
    ----------
    answer : Answer or None
        Answer; None for a refusal.
    refusal : Refusal or None
        Refusal; None for an answer.
    load : ProxyLoad
        Load of the proxy.
    incarnation : Incarnation
        Incarnation of the node; another process at the same address has
        another one, and knows nothing of what was sent before.
    """

    answer: Answer | None
    refusal: Refusal | None
    load: ProxyLoad
    incarnation: Incarnation = NO_MEMBER

    @classmethod
    def pack(
        cls, result: AnswerResult, load: ProxyLoad, incarnation: Incarnation
    ) -> Self:
        """Build the message for a result and the load of the proxy."""
        match result:
            case Success(answer):
                return cls(answer, None, load, incarnation)
            case Failure(refusal):
                return cls(None, refusal, load, incarnation)
        raise AssertionError('a result is a success or a failure')

    def unpack(self) -> AnswerResult:
        """Return the result that the message carries.

        An answer without a final status means an unknown outcome, also when
        the message has a refusal: earlier releases forward any status.
        """
        if self.answer is not None and not is_final_status(self.answer.status):
            detail = f'invalid answer: status {self.answer.status} is not final'
            _log_decision(
                'incarnation {} forwarded an {}', self.incarnation, detail
            )
            return refuse(unknown(RefusalReason.UPSTREAM_FAILED, detail))
        if self.answer is not None:
            return Success(self.answer)
        if self.refusal is None:
            raise AssertionError(
                'the message has neither an answer nor a refusal'
            )
        return Failure(self.refusal)


class CancelAttempt(Message, frozen=True, array_like=True, tag='cancel'):
    """Notice that no caller waits for an attempt any more."""

    attempt_id: AttemptId


class LoadQuery(Message, frozen=True, array_like=True, tag='load-query'):
    """Query for the load of the receiving proxy, as a datagram.

    Parameters
    ----------
    number : int
        Number that the reply repeats.
    """

    number: int


class LoadReply(Message, frozen=True, array_like=True, tag='load-reply'):
    """Reply to `LoadQuery`.

    Parameters
    ----------
    number : int
        Number of the query.
    load : ProxyLoad
        Load of the proxy.
    """

    number: int
    load: ProxyLoad


class LedgerCopy(Message, frozen=True, array_like=True, tag='ledger-copy'):
    """Copy of ledger entries, sent before non-repeatable requests run.

    Parameters
    ----------
    witness : Incarnation
        Witness that is addressed; a later incarnation of its node must not
        reply.
    owner : Incarnation
        Owner of the shard, whose proxy sends the copy.
    request_ids : tuple of RequestId
        Requests that are about to run.
    token : AttemptId
        Id of this copy, so that only its own withdrawal removes it.
    keep_s : float
        Retention of the copy, in seconds.
    """

    witness: Incarnation
    owner: Incarnation
    request_ids: tuple[RequestId, ...]
    token: AttemptId
    keep_s: float


class LedgerCopied(Message, frozen=True, array_like=True, tag='ledger-copied'):
    """Reply to `LedgerCopy`.

    `is_kept` is False if the witness has no room or is another incarnation.
    """

    is_kept: bool


class LedgerWithdraw(
    Message, frozen=True, array_like=True, tag='ledger-withdraw'
):
    """Notice that the request of a copy did not run."""

    request_id: RequestId
    token: AttemptId


class LedgerQuery(Message, frozen=True, array_like=True, tag='ledger-query'):
    """Query of a witness whether another owner may have run a request.

    Parameters
    ----------
    witness : Incarnation
        Witness that is addressed.
    requester : Incarnation
        Owner that asks; its own copies don't count.
    request_id : RequestId
        Request to look up.
    """

    witness: Incarnation
    requester: Incarnation
    request_id: RequestId


class LedgerFound(Message, frozen=True, array_like=True, tag='ledger-found'):
    """Reply to `LedgerQuery`.

    `is_found` is None if the query was addressed to another incarnation.
    """

    is_found: bool | None


class PoisonNotice(Message, frozen=True, array_like=True, tag='poison'):
    """Notice of the requests that were running when an upstream crashed.

    Parameters
    ----------
    fingerprints : tuple of int
        Fingerprints of the requests.
    crash_id : str
        Node and instance of the upstream that crashed; each counts once.
    """

    fingerprints: tuple[int, ...]
    crash_id: str


class PoisonCleared(
    Message, frozen=True, array_like=True, tag='poison-cleared'
):
    """Notice that an upstream answered a suspect request."""

    fingerprint: int


MESSAGE_TYPES: tuple[type[Message], ...] = (
    ForwardRequest,
    ForwardAnswer,
    CancelAttempt,
    LoadQuery,
    LoadReply,
    LedgerCopy,
    LedgerCopied,
    LedgerWithdraw,
    LedgerQuery,
    LedgerFound,
    PoisonNotice,
    PoisonCleared,
    ReserveTransfer,
    TransferReply,
)
"""Message types that the proxy registers with the peer transport."""
