"""Answers and refusals of requests."""

import enum

import msgspec
from returns.result import Result

_FINAL_STATUSES = range(200, 600)


class Outcome(enum.Enum):
    """Execution state of a request that has no answer.

    Attributes
    ----------
    NOT_RUN
        The request has certainly not run.
    UNKNOWN
        The request may have run.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Reason why a request was refused or lost."""

    NO_CONFIG = 'no-config'
    UNKNOWN_ROUTE = 'unknown-route'
    UNKNOWN_SERVICE = 'unknown-service'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    NO_OWNER = 'no-owner'
    NOT_OWNER = 'not-owner'
    MOVING = 'moving'
    NO_LEASE = 'no-lease'
    NO_UPSTREAM = 'no-upstream'
    ZONE_OUT = 'zone-out'
    DRAINING = 'draining'
    QUEUE_FULL = 'queue-full'
    COLD = 'cold'
    SHED = 'shed'
    DEADLINE = 'deadline'
    POISON = 'poison'
    CANCELLED = 'cancelled'
    UPSTREAM_FAILED = 'upstream-failed'
    PEER_LOST = 'peer-lost'
    LEDGER_LOST = 'ledger-lost'


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """Refusal of a request.

    Parameters
    ----------
    outcome : Outcome
        `NOT_RUN` only if the request has certainly not run.
    reason : RefusalReason
        Reason, for callers, logs and metrics.
    retry_after_s : float
        Recommended delay in seconds before a retry; 0 means at once.
    detail : str
        Explanation in one short sentence.
    is_scheduled : bool
        Whether `retry_after_s` was assigned to this request alone, so that
        requests refused together have different times already.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float = 0
    detail: str = ''
    is_scheduled: bool = False


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Complete answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        HTTP headers except hop-by-hop headers.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


def is_final_status(status: int) -> bool:
    """Return whether an answer with a status is one of a request.

    Nothing is known about the request after any other status, whatever the
    headers say.

    Parameters
    ----------
    status : int
        HTTP status code.

    Examples
    --------
    >>> [is_final_status(status) for status in (0, 101, 200, 599, 600)]
    [False, False, True, True, False]
    """
    return status in _FINAL_STATUSES


AnswerResult = Result[Answer, Refusal]
"""Result of routing or admitting one request."""
