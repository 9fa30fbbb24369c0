"""Failed calls of the client."""

import msgspec

from verbenadeck.model import Outcome, RefusalReason, RequestId


class CallError(msgspec.Struct, frozen=True):
    """A call ended without an answer.

    Parameters
    ----------
    request_id : RequestId
        Id of the request; a later call with it never runs it twice when
        it is not repeatable.
    outcome : Outcome
        `NOT_RUN` only when no attempt can have run.
    reason : RefusalReason
        Cause of the last failure.
    attempts : int
        Attempts that were made.
    detail : str
        One short sentence.
    """

    request_id: RequestId
    outcome: Outcome
    reason: RefusalReason
    attempts: int
    detail: str
