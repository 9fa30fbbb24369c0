"""Refusals that the door and the router make."""

from typing import TypeVar

from returns.result import Failure, Result

from verbenadeck.model import Answer, Outcome, Refusal, RefusalReason

_Value = TypeVar('_Value')

Refused = Result[Answer, Refusal]


def not_run(
    reason: RefusalReason, detail: str = '', *, retry_after_s: float = 0
) -> Refusal:
    """Return a refusal of a request that certainly did not run."""
    return Refusal(Outcome.NOT_RUN, reason, retry_after_s, detail)


def unknown(reason: RefusalReason, detail: str = '') -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(Outcome.UNKNOWN, reason, 0, detail)


def refuse(refusal: Refusal) -> Refused:
    """Return a refusal as the result of a request."""
    return Failure(refusal)


def refusal_of(result: Result[_Value, Refusal]) -> Refusal | None:
    """Return the refusal of a result, None for a success."""
    if isinstance(result, Failure):
        found: Refusal = result.failure()
        return found
    return None
