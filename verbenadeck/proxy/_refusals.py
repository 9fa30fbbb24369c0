"""Constructors for refusals of the proxy and the router."""

from typing import TypeVar

from returns.result import Failure, Result

from verbenadeck.model import Answer, Outcome, Refusal, RefusalReason

_Value = TypeVar('_Value')

Refused = Result[Answer, Refusal]


def not_run(
    reason: RefusalReason,
    detail: str = '',
    *,
    retry_after_s: float = 0,
    is_scheduled: bool = False,
) -> Refusal:
    """Return a refusal of a request that certainly did not run.

    Parameters
    ----------
    reason : RefusalReason
        Reason for programs.
    detail : str
        Reason for people.
    retry_after_s : float
        Time after which a retry may succeed, in seconds; 0 if unknown.
    is_scheduled : bool
        Whether that time was assigned to this request alone.
    """
    return Refusal(Outcome.NOT_RUN, reason, retry_after_s, detail, is_scheduled)


def unknown(reason: RefusalReason, detail: str = '') -> Refusal:
    """Return a refusal of a request that may have run.

    Parameters
    ----------
    reason : RefusalReason
        Reason for programs.
    detail : str
        Reason for people.
    """
    return Refusal(Outcome.UNKNOWN, reason, 0, detail)


def refuse(refusal: Refusal) -> Refused:
    """Wrap a refusal as the result of a request."""
    return Failure(refusal)


def refusal_of(result: Result[_Value, Refusal]) -> Refusal | None:
    """Return the refusal of a result, or None for a success."""
    if isinstance(result, Failure):
        found: Refusal = result.failure()
        return found
    return None
