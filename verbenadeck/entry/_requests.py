"""From a caller's HTTP request to a typed request."""

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

PolicyLookup = Callable[[ServiceName], ServicePolicy | None]


def _refused(reason: RefusalReason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason, detail=detail))


def make_request_reader(
    *, policy_of: PolicyLookup, clock: Clock, source: random.Random
) -> Callable[[CallerRequest, str, bytes], Result[Request, Refusal]]:
    """Return a function that completes callers' fields to requests.

    Parameters
    ----------
    policy_of : callable
        Returns the policy of a service, None for an unknown one.
    clock : Clock
        Clock of this VM.
    source : random.Random
        Source of minted request ids.
    """

    def mint() -> RequestId:
        return RequestId(generate_uuid7(wall_s=clock.wall_s(), source=source))

    def read_request(
        fields: CallerRequest, method: str, body: bytes
    ) -> Result[Request, Refusal]:
        policy = policy_of(fields.service)
        if policy is None:
            detail = f'no service {fields.service}'
            return _refused(RefusalReason.UNKNOWN_SERVICE, detail)
        if policy.is_keyed and not fields.key:
            return _refused(RefusalReason.BAD_REQUEST, 'no key')
        is_repeatable = fields.is_repeatable
        if is_repeatable is None:
            is_repeatable = method in policy.repeatable_methods
        now_s = clock.now_s()
        timeout_s = fields.timeout_s
        if timeout_s is None:
            timeout_s = policy.request_timeout_s
        objective_s = fields.objective_s
        return Success(
            Request(
                request_id=fields.request_id or mint(),
                service=fields.service,
                key=fields.key if policy.is_keyed else None,
                method=method,
                path=fields.path,
                headers=fields.headers,
                body=body,
                is_repeatable=is_repeatable,
                deadline_s=now_s + timeout_s,
                max_sends=fields.max_sends,
                priority=fields.priority,
                objective_at_s=(
                    0 if objective_s is None else now_s + objective_s
                ),
            )
        )

    return read_request
