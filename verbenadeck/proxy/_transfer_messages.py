"""Messages that reserve the transfer of a large body."""

from typing import Self

from verbenadeck.model import (
    AttemptId,
    Refusal,
    Request,
    RequestId,
    ServiceName,
)
from verbenadeck.peers import Message
from verbenadeck.proxy._interface import ProxyLoad


class ReserveTransfer(Message, frozen=True, array_like=True, tag='reserve'):
    """Request for permission to send the body of an attempt.

    Parameters
    ----------
    attempt_id : AttemptId
        Id of the attempt, the same as in the `ForwardRequest` that follows.
    body_bytes : int
        Size of the body, in bytes.
    remaining_s : float
        Time until the request's deadline, in seconds.
    request_id, service, key, is_repeatable, priority, kind, has_short_grace,
    is_returning
        Fields of `Request`. With id and key, the proxy recognizes a request
        that it has run already and one whose shard it does not own.
    objective_remaining_s : float or None
        Time until the request's latency objective, in seconds.
    """

    attempt_id: AttemptId
    body_bytes: int
    remaining_s: float
    request_id: RequestId
    service: ServiceName
    key: str | None
    is_repeatable: bool
    priority: int
    kind: str
    has_short_grace: bool
    objective_remaining_s: float | None = None
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
            len(request.body),
            remaining_s,
            request.request_id,
            request.service,
            request.key,
            request.is_repeatable,
            request.priority,
            request.kind,
            request.has_short_grace,
            objective_remaining_s,
            request.is_returning,
        )

    def unpack(self, now_s: float) -> Request:
        """Return the request without its content, on the receiver's clock."""
        objective_at_s = 0.0
        if self.objective_remaining_s is not None:
            objective_at_s = now_s + self.objective_remaining_s
        return Request(
            self.request_id,
            self.service,
            self.key,
            '',
            '',
            (),
            b'',
            self.is_repeatable,
            now_s + self.remaining_s,
            priority=self.priority,
            objective_at_s=objective_at_s,
            kind=self.kind,
            has_short_grace=self.has_short_grace,
            is_returning=self.is_returning,
        )


class TransferReply(Message, frozen=True, array_like=True, tag='reserve-reply'):
    """Reply to `ReserveTransfer`.

    Parameters
    ----------
    refusal : Refusal or None
        Why the body must not be sent; None if it may be.
    load : ProxyLoad
        Load of the proxy.
    start_after_s : float
        Time to wait before the body is sent, in seconds.
    """

    refusal: Refusal | None
    load: ProxyLoad
    start_after_s: float = 0
