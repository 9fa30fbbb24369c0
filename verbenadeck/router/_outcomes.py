"""Retry rules: what the router does after a refusal."""

import enum
import random
from types import MappingProxyType

import msgspec

from verbenadeck.model import Outcome, Refusal, RefusalReason


class NextStep(enum.Enum):
    """Next step of the router after a refusal.

    `WAIT` pauses and sends the request again to the current owner or to an
    available proxy. `ELSEWHERE` sends it to a proxy that was not tried yet.
    Neither takes a token of the retry budget, since the refusing proxy did
    no work. `RETRY` sends it again and takes a token. `STOP` returns the
    refusal to the caller.
    """

    WAIT = 'wait'
    ELSEWHERE = 'elsewhere'
    RETRY = 'retry'
    STOP = 'stop'


TYPICAL_MOVE_S = 0.4
"""Typical time in seconds until a moving shard is served by its new owner:
half of an upstream's heartbeat interval."""

_JITTER = 0.25
_SCHEDULED_JITTER = 0.05
_MAX_RETRY_AFTER_RATIO = 1 / 3

_NEXT_STEPS = MappingProxyType(
    {
        RefusalReason.NO_CONFIG: NextStep.WAIT,
        RefusalReason.UNKNOWN_ROUTE: NextStep.STOP,
        RefusalReason.UNKNOWN_SERVICE: NextStep.WAIT,
        RefusalReason.BAD_REQUEST: NextStep.STOP,
        RefusalReason.TOO_LARGE: NextStep.STOP,
        RefusalReason.NO_OWNER: NextStep.WAIT,
        RefusalReason.NOT_OWNER: NextStep.WAIT,
        RefusalReason.MOVING: NextStep.WAIT,
        RefusalReason.NO_LEASE: NextStep.WAIT,
        RefusalReason.NO_UPSTREAM: NextStep.WAIT,
        RefusalReason.ZONE_OUT: NextStep.WAIT,
        RefusalReason.DRAINING: NextStep.WAIT,
        RefusalReason.QUEUE_FULL: NextStep.ELSEWHERE,
        RefusalReason.COLD: NextStep.RETRY,
        RefusalReason.SHED: NextStep.RETRY,
        RefusalReason.DEADLINE: NextStep.ELSEWHERE,
        RefusalReason.POISON: NextStep.STOP,
        RefusalReason.CANCELLED: NextStep.RETRY,
        RefusalReason.UPSTREAM_FAILED: NextStep.RETRY,
        RefusalReason.PEER_LOST: NextStep.WAIT,
        RefusalReason.LEDGER_LOST: NextStep.RETRY,
    }
)


_SENT_UPSTREAM_REASONS = frozenset(
    (
        RefusalReason.SHED,
        RefusalReason.UPSTREAM_FAILED,
        RefusalReason.PEER_LOST,
    )
)


def has_reached_upstream(refusal: Refusal) -> bool:
    """Return whether an upstream may have received the refused request."""
    is_unknown = refusal.outcome is Outcome.UNKNOWN
    return is_unknown or refusal.reason in _SENT_UPSTREAM_REASONS


def choose_next_step(
    refusal: Refusal, *, is_repeatable: bool, is_owned: bool = True
) -> NextStep:
    """Choose what to do after a refusal.

    A request that may have run is sent again only when it is repeatable,
    and always takes a token of the retry budget. The one exception is a
    non-repeatable request whose proxy was lost: it can be sent again to the
    next owner of its shard, which knows from the ledger, or asks its
    witnesses, whether the request id has run.

    Parameters
    ----------
    refusal : Refusal
        Refusal of the last attempt.
    is_repeatable : bool
        Whether the request may run more than once.
    is_owned : bool
        Whether the request belongs to a shard, whose owner deduplicates by
        request id. Otherwise another proxy would run the request again.

    Examples
    --------
    >>> broken = Refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
    >>> choose_next_step(broken, is_repeatable=False)
    <NextStep.STOP: 'stop'>
    >>> choose_next_step(broken, is_repeatable=True)
    <NextStep.RETRY: 'retry'>
    """
    if refusal.outcome is Outcome.NOT_RUN:
        return _NEXT_STEPS[refusal.reason]
    if is_repeatable:
        return NextStep.RETRY
    if is_owned and refusal.reason is RefusalReason.PEER_LOST:
        return NextStep.WAIT
    return NextStep.STOP


def merge_outcome(last: Refusal, *, is_uncertain: bool) -> Refusal:
    """Return the refusal for the caller after all attempts.

    The outcome "not run" of the last attempt does not hold for the request
    when an earlier attempt may have run; it becomes "unknown" then.

    Parameters
    ----------
    last : Refusal
        Refusal of the last attempt.
    is_uncertain : bool
        Whether some attempt ended with the outcome unknown.
    """
    if not is_uncertain or last.outcome is Outcome.UNKNOWN:
        return last
    return Refusal(
        Outcome.UNKNOWN, last.reason, last.retry_after_s, last.detail
    )


def with_retry_hint(
    refusal: Refusal, left_s: float, source: random.Random
) -> Refusal:
    """Return the refusal with a jittered hint when to retry.

    The jitter keeps callers that were refused together from retrying
    together. Times that the proxy scheduled are spread already, so they get
    little of it. Callers follow hints of up to a third of the time that they
    have left, so the hint is no longer than that.

    Parameters
    ----------
    refusal : Refusal
        Refusal of a request that has not run.
    left_s : float
        Time until the caller's deadline, in seconds.
    source : random.Random
        Generator of the jitter.
    """
    base_s = refusal.retry_after_s
    if _NEXT_STEPS[refusal.reason] is NextStep.WAIT:
        base_s = max(base_s, TYPICAL_MOVE_S)
    spread = _SCHEDULED_JITTER if refusal.is_scheduled else _JITTER
    jitter = source.uniform(1 - spread, 1 + spread)
    hint_s = min(base_s * jitter, left_s * _MAX_RETRY_AFTER_RATIO)
    return msgspec.structs.replace(refusal, retry_after_s=hint_s)
