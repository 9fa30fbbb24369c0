"""Conversion of a caller's HTTP request to a typed request."""

import math
import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from verbenadeck.adapters import CallerRequest
from verbenadeck.model import (
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
    ServiceName,
    ServicePolicy,
)
from verbenadeck.utils import Clock, generate_uuid7

SHORT_GRACE_RATIO = 3.0
"""Ratio of the time to the deadline to that of the latency objective up to
which a request counts as a step of another one. Its caller can't wait much
longer than the objective, whatever the scale of both."""

PolicyLookup = Callable[[ServiceName], ServicePolicy | None]


def _refused(reason: RefusalReason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason, detail=detail))


def _has_short_grace(timeout_s: float, objective_s: float | None) -> bool:
    if objective_s is None or objective_s <= 0:
        return False
    return timeout_s <= SHORT_GRACE_RATIO * objective_s


def _never() -> float:
    return math.inf


def make_request_reader(
    *,
    policy_of: PolicyLookup,
    clock: Clock,
    source: random.Random,
    latest_deadline_s: Callable[[], float] = _never,
) -> Callable[[CallerRequest, str, bytes], Result[Request, Refusal]]:
    """Return a function that makes a request from a caller's fields.

    The function fills in what the caller left out from the policy of the
    service, and refuses an unknown service or a missing key.

    Parameters
    ----------
    policy_of : callable
        Returns the policy of a service, None for an unknown one.
    clock : Clock
        Clock of this VM, for deadlines and request ids.
    source : random.Random
        Generator of request ids for callers that sent none.
    latest_deadline_s : callable
        Returns the time by which all requests must have their answers, in
        seconds on the clock of this VM; infinite unless the process ends.

    Returns
    -------
    callable
        Takes the caller's fields, the HTTP method and the body, and returns
        the request or a refusal.
    """

    def generate_request_id() -> RequestId:
        return RequestId(generate_uuid7(wall_s=clock.wall_s(), source=source))

    def read_request(
        caller_request: CallerRequest, method: str, body: bytes
    ) -> Result[Request, Refusal]:
        policy = policy_of(caller_request.service)
        if policy is None:
            detail = f'unknown service {caller_request.service}'
            return _refused(RefusalReason.UNKNOWN_SERVICE, detail)
        if policy.is_keyed and not caller_request.key:
            return _refused(
                RefusalReason.BAD_REQUEST, 'the service requires a key'
            )
        is_repeatable = caller_request.is_repeatable
        if is_repeatable is None:
            is_repeatable = method in policy.repeatable_methods
        now_s = clock.now_s()
        timeout_s = caller_request.timeout_s
        if timeout_s is None:
            timeout_s = policy.request_timeout_s
        objective_s = caller_request.objective_s
        return Success(
            Request(
                request_id=caller_request.request_id or generate_request_id(),
                service=caller_request.service,
                key=caller_request.key if policy.is_keyed else None,
                method=method,
                path=caller_request.path,
                headers=caller_request.headers,
                body=body,
                is_repeatable=is_repeatable,
                deadline_s=min(now_s + timeout_s, latest_deadline_s()),
                max_sends=caller_request.max_sends,
                priority=caller_request.priority,
                objective_at_s=(
                    0 if objective_s is None else now_s + objective_s
                ),
                is_new=caller_request.is_new,
                kind=caller_request.kind,
                has_short_grace=_has_short_grace(timeout_s, objective_s),
                is_returning=caller_request.is_returning,
            )
        )

    return read_request
