"""Errors of the client."""

import msgspec

from verbenadeck.model import Outcome, RefusalReason, RequestId


class CallError(msgspec.Struct, frozen=True):
    """Error of a call that ended without an answer.

    Parameters
    ----------
    request_id : RequestId
        Id of the request. A non-repeatable request never runs twice under
        the same id, so a later call may use it again.
    outcome : Outcome
        `NOT_RUN` only when no attempt can have run.
    reason : RefusalReason
        Cause of the last failure.
    attempts : int
        Number of attempts made.
    detail : str
        Short description of the last failure.
    """

    request_id: RequestId
    outcome: Outcome
    reason: RefusalReason
    attempts: int
    detail: str
