"""Outcome that holds for a request, not only for one send of it."""

import msgspec

from verbenadeck.adapters import CallerRequest
from verbenadeck.model import Outcome, Refusal, RefusalReason, Request

_JUDGED = frozenset(
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
"""Refusals of the owner's ledger, which knows of earlier sends, or of
requests that no entry accepts."""


def outcome_of_request(
    refusal: Refusal, fields: CallerRequest, request: Request
) -> Refusal:
    """Return a refusal whose outcome is true of the request as a whole.

    A resend of a non-repeatable request may be refused before it reaches
    the ledger that knows whether an earlier send ran. That send did not run,
    but nothing is known of the request.

    Parameters
    ----------
    refusal : Refusal
        Refusal of this send.
    fields : CallerRequest
        Tell whether an earlier send can have run.
    request : Request
        The request.
    """
    is_certain = (
        request.is_repeatable
        or fields.is_new
        or refusal.outcome is Outcome.UNKNOWN
        or refusal.reason in _JUDGED
    )
    if is_certain:
        return refusal
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
