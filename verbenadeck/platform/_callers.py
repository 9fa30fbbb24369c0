"""Headers and statuses in the HTTP exchange with callers of the platform."""

import math
from collections.abc import Callable, Iterable
from types import MappingProxyType

from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    CALLER_FORMATS,
    STANDIN_FORMAT,
    CallerAnswer,
    CallerFormat,
    CallerRequest,
    end_to_end_headers,
)
from verbenadeck.entry import AttemptAgeEstimator
from verbenadeck.model import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
)
from verbenadeck.routes import Route, RouteStore

REQUEST_ID_HEADER = 'Request-Id'
DEADLINE_HEADER = 'Deadline-Ms'
SHARD_KEY_HEADER = 'Shard-Key'
CALLER_SERVICE_HEADER = 'Caller-Service'
EXPECTED_INSTANCE_HEADER = 'Expected-Instance'

_HEADERS_SET_BY_NODE = frozenset(
    name.lower()
    for name in (
        REQUEST_ID_HEADER,
        DEADLINE_HEADER,
        SHARD_KEY_HEADER,
        CALLER_SERVICE_HEADER,
        EXPECTED_INSTANCE_HEADER,
    )
)
_MS_PER_S = 1000.0
_BAD_REQUEST = 400
_NOT_FOUND = 404
_TOO_LARGE = 413
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MIN_RETRY_AFTER_S = 0.05
_NOT_RUN_STATUSES = MappingProxyType(
    {
        RefusalReason.BAD_REQUEST: _BAD_REQUEST,
        RefusalReason.UNKNOWN_ROUTE: _NOT_FOUND,
        RefusalReason.TOO_LARGE: _TOO_LARGE,
    }
)

_HeaderPairs = Iterable[tuple[str, str]]


def make_caller_format(
    *,
    route_store: RouteStore,
    pick_service: Callable[[Route], ServiceName],
    own_service: Callable[[], ServiceName],
) -> CallerFormat:
    """Return the functions that read calls and write answers for callers.

    Parameters
    ----------
    route_store : RouteStore
        Published routes.
    pick_service : callable
        Chooses one of the services among which a route splits its traffic.
    own_service : callable
        Returns the service of the upstream beside this node; requests that
        callers on this VM send carry its name.
    """
    attempt_ages = AttemptAgeEstimator()

    def read_call(
        target: str, headers: _HeaderPairs
    ) -> Result[CallerRequest, Refusal]:
        pairs = tuple(headers)
        headers_by_name = {name.lower(): text for name, text in pairs}
        if route_store.state is None:
            return _make_refusal(
                RefusalReason.NO_CONFIG, 'no routes have been received'
            )
        host = headers_by_name.get('host', '')
        route = route_store.find(host.partition(':')[0].lower(), target)
        if route is None:
            return _make_refusal(
                RefusalReason.UNKNOWN_ROUTE, f'no route for {host}{target}'
            )
        request_id = headers_by_name.get(REQUEST_ID_HEADER.lower())
        remaining_s = _read_remaining_s(headers_by_name, route)
        attempt = attempt_ages.record_attempt(route.name, remaining_s)
        forwarded_headers = [
            ('Host', host),
            (CALLER_SERVICE_HEADER, own_service()),
        ]
        forwarded_headers.extend(
            pair
            for pair in end_to_end_headers(pairs)
            if pair[0].lower() not in _HEADERS_SET_BY_NODE
        )
        return Success(
            CallerRequest(
                service=pick_service(route),
                path=target,
                key=headers_by_name.get(SHARD_KEY_HEADER.lower()),
                request_id=RequestId(request_id) if request_id else None,
                is_repeatable=route.is_repeatable,
                timeout_s=min(route.timeout_s, remaining_s),
                headers=tuple(forwarded_headers),
                # Callers give each attempt an id of its own.
                is_new=True,
                max_sends=route.max_sends,
                priority=route.priority,
                objective_s=route.objective_s - attempt.age_s,
                on_refused=attempt.mark_refused,
                kind=route.name,
                is_returning=attempt.age_s > 0,
            )
        )

    return CALLER_FORMATS[STANDIN_FORMAT]._replace(
        read_call=read_call,
        write_answer=write_answer,
        write_refusal=write_refusal,
    )


def write_answer(answer: Answer, request_id: RequestId) -> CallerAnswer:
    """Return an upstream's answer to the caller unchanged.

    Parameters
    ----------
    answer : Answer
        Answer of the upstream.
    request_id : RequestId
        Unused: the upstream's headers contain it already.
    """
    return CallerAnswer(answer.status, answer.headers, answer.body)


def write_refusal(
    refusal: Refusal, request_id: RequestId | None
) -> CallerAnswer:
    """Return a refusal as the caller receives it.

    Status 503 guarantees that the request never runs.

    Parameters
    ----------
    refusal : Refusal
        Outcome and reason.
    request_id : RequestId or None
        Id of the request, None when it could not be read.

    Examples
    --------
    >>> write_refusal(Refusal(Outcome.NOT_RUN, RefusalReason.SHED), None).status
    503
    >>> broken = Refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
    >>> write_refusal(broken, None).status
    502
    """
    headers = [('Content-Type', 'text/plain; charset=utf-8')]
    if request_id is not None:
        headers.append((REQUEST_ID_HEADER, request_id))
    status = _choose_status(refusal)
    if status == _UNAVAILABLE:
        retry_s = max(_MIN_RETRY_AFTER_S, refusal.retry_after_s)
        headers.append(('Retry-After', f'{retry_s:.3f}'))
    text = f'{refusal.outcome.value}: {refusal.reason.value}\n'
    return CallerAnswer(status, tuple(headers), text.encode())


def _choose_status(refusal: Refusal) -> int:
    if refusal.outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(refusal.reason, _UNAVAILABLE)
    if refusal.reason is RefusalReason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def _read_remaining_s(headers_by_name: dict[str, str], route: Route) -> float:
    text = headers_by_name.get(DEADLINE_HEADER.lower(), '')
    try:
        remaining_s = float(text) / _MS_PER_S
    except ValueError:
        return route.timeout_s
    return (
        max(0.0, remaining_s) if math.isfinite(remaining_s) else route.timeout_s
    )


def _make_refusal(reason: RefusalReason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason, detail=detail))
