"""What a router does after a refusal."""

import enum
import random
from types import MappingProxyType

import msgspec

from verbenadeck.model import Outcome, Refusal, RefusalReason


class Step(enum.Enum):
    """Next step after a refusal.

    `WAIT` asks the owner of the moment again and costs nothing, since the
    doors did no work. `ELSEWHERE` asks another door that was not asked yet,
    which costs nothing either. `RETRY` costs a token of the retry budget.
    `STOP` gives the refusal to the caller.
    """

    WAIT = 'wait'
    ELSEWHERE = 'elsewhere'
    RETRY = 'retry'
    STOP = 'stop'


MOVE_S = 0.4
"""Usual time in seconds in which a shard finds its next owner: half of an
upstream's interval between heartbeats."""

_LEAST_SPREAD = 0.75
_MOST_SPREAD = 1.25
_RETURN_SHARE = 1 / 3

_STEPS = MappingProxyType(
    {
        RefusalReason.NO_CONFIG: Step.WAIT,
        RefusalReason.UNKNOWN_ROUTE: Step.STOP,
        RefusalReason.UNKNOWN_SERVICE: Step.WAIT,
        RefusalReason.BAD_REQUEST: Step.STOP,
        RefusalReason.TOO_LARGE: Step.STOP,
        RefusalReason.NO_OWNER: Step.WAIT,
        RefusalReason.NOT_OWNER: Step.WAIT,
        RefusalReason.MOVING: Step.WAIT,
        RefusalReason.NO_LEASE: Step.WAIT,
        RefusalReason.NO_UPSTREAM: Step.WAIT,
        RefusalReason.ZONE_OUT: Step.WAIT,
        RefusalReason.DRAINING: Step.WAIT,
        RefusalReason.QUEUE_FULL: Step.ELSEWHERE,
        RefusalReason.COLD: Step.RETRY,
        RefusalReason.SHED: Step.RETRY,
        RefusalReason.DEADLINE: Step.ELSEWHERE,
        RefusalReason.POISON: Step.STOP,
        RefusalReason.CANCELLED: Step.RETRY,
        RefusalReason.UPSTREAM_FAILED: Step.RETRY,
        RefusalReason.PEER_LOST: Step.WAIT,
        RefusalReason.LEDGER_LOST: Step.RETRY,
    }
)


_AT_UPSTREAM = frozenset(
    (
        RefusalReason.SHED,
        RefusalReason.UPSTREAM_FAILED,
        RefusalReason.PEER_LOST,
    )
)


def has_reached_upstream(refusal: Refusal) -> bool:
    """Return whether an upstream may have seen the refused request."""
    is_unknown = refusal.outcome is Outcome.UNKNOWN
    return is_unknown or refusal.reason in _AT_UPSTREAM


def next_step(
    refusal: Refusal, *, is_repeatable: bool, is_owned: bool = True
) -> Step:
    """Return what to do after a refusal.

    A request that may have run goes on only when it may run again, and
    always at the cost of a token. The one exception is a request that must
    not run twice whose door was lost: its id is safe with the next owner,
    which knows or asks whether it ran.

    Parameters
    ----------
    refusal : Refusal
        Refusal of the last attempt.
    is_repeatable : bool
        Whether the request may run more than once.
    is_owned : bool
        Whether one owner's ledger answers for the request's id. Without,
        another door would run it again.

    Examples
    --------
    >>> broken = Refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
    >>> next_step(broken, is_repeatable=False)
    <Step.STOP: 'stop'>
    >>> next_step(broken, is_repeatable=True)
    <Step.RETRY: 'retry'>
    """
    if refusal.outcome is Outcome.NOT_RUN:
        return _STEPS[refusal.reason]
    if is_repeatable:
        return Step.RETRY
    if is_owned and refusal.reason is RefusalReason.PEER_LOST:
        return Step.WAIT
    return Step.STOP


def merge(last: Refusal, *, is_uncertain: bool) -> Refusal:
    """Return the refusal for the caller after all attempts.

    "Not run" of the last attempt doesn't hold for the request when an
    earlier attempt may have run.
    """
    if not is_uncertain or last.outcome is Outcome.UNKNOWN:
        return last
    return Refusal(
        Outcome.UNKNOWN, last.reason, last.retry_after_s, last.detail
    )


def with_return_time(
    refusal: Refusal, left_s: float, source: random.Random
) -> Refusal:
    """Return a refusal that says when to come back.

    Those who are refused together are spread, so that they don't come back
    together. Callers heed up to a third of the time they have left.

    Parameters
    ----------
    refusal : Refusal
        Refusal of a request that has not run.
    left_s : float
        Time until the caller's deadline, in seconds.
    source : random.Random
        Spreads the hints.
    """
    usual_s = refusal.retry_after_s
    if _STEPS[refusal.reason] is Step.WAIT:
        usual_s = max(usual_s, MOVE_S)
    spread = source.uniform(_LEAST_SPREAD, _MOST_SPREAD)
    return_s = min(usual_s * spread, left_s * _RETURN_SHARE)
    return msgspec.structs.replace(refusal, retry_after_s=return_s)
