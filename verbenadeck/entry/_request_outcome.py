"""Outcome of a request over all its sends."""

import msgspec

from verbenadeck.adapters import CallerRequest
from verbenadeck.model import Outcome, Refusal, RefusalReason, Request

_CONCLUSIVE_REASONS = frozenset(
    (
        RefusalReason.BAD_REQUEST,
        RefusalReason.COLD,
        RefusalReason.POISON,
        RefusalReason.QUEUE_FULL,
        RefusalReason.SHED,
        RefusalReason.TOO_LARGE,
        RefusalReason.UNKNOWN_SERVICE,
    )
)
"""Reasons whose outcome holds for all sends: the refusal either came from the
owner, whose ledger has the earlier sends, or no entry accepts the request."""


def outcome_of_request(
    refusal: Refusal, caller_request: CallerRequest, request: Request
) -> Refusal:
    """Return the refusal with the outcome that holds for all sends.

    A resend of a non-repeatable request may be refused before it reaches the
    ledger that knows whether an earlier send ran. This send did not run then,
    but the outcome of the request is unknown.

    Parameters
    ----------
    refusal : Refusal
        Refusal of this send.
    caller_request : CallerRequest
        Header fields of this send, which say whether it is the first.
    request : Request
        Request that was refused.

    Returns
    -------
    Refusal
        The same refusal, with the outcome unknown if an earlier send may
        have run.
    """
    is_certain = (
        request.is_repeatable
        or caller_request.is_new
        or refusal.outcome is Outcome.UNKNOWN
        or refusal.reason in _CONCLUSIVE_REASONS
    )
    if is_certain:
        return refusal
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
