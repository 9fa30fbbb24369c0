"""Headers and statuses towards callers of the platform."""

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
from verbenadeck.model import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
)
from verbenadeck.routes import Route, RouteStore

REQUEST_ID = 'Request-Id'
DEADLINE = 'Deadline-Ms'
KEY = 'Shard-Key'
CALLER_SERVICE = 'Caller-Service'
EXPECTED_INSTANCE = 'Expected-Instance'

_SET_BY_NODE = frozenset(
    name.lower()
    for name in (REQUEST_ID, DEADLINE, KEY, CALLER_SERVICE, EXPECTED_INSTANCE)
)
_MS_PER_S = 1000.0
_BAD_REQUEST = 400
_NOT_FOUND = 404
_TOO_LARGE = 413
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_LEAST_RETRY_S = 0.05
_NOT_RUN_STATUSES = MappingProxyType(
    {
        RefusalReason.BAD_REQUEST: _BAD_REQUEST,
        RefusalReason.UNKNOWN_ROUTE: _NOT_FOUND,
        RefusalReason.TOO_LARGE: _TOO_LARGE,
    }
)

_Pairs = Iterable[tuple[str, str]]


def make_caller_format(
    *,
    route_store: RouteStore,
    pick_service: Callable[[Route], ServiceName],
    own_service: Callable[[], ServiceName],
) -> CallerFormat:
    """Return the vocabulary towards callers.

    Parameters
    ----------
    route_store : RouteStore
        Published routes.
    pick_service : callable
        Chooses a service of a route.
    own_service : callable
        Returns the service of the upstream beside this node; requests that
        begin on this VM carry its name.
    """
    usual_s: dict[str, float] = {}

    def elapsed_s(route: Route, deadline_s: float) -> float:
        """Return how much of its usual time a request has used already."""
        longest_s = max(usual_s.get(route.name, 0), deadline_s)
        usual_s[route.name] = longest_s
        return longest_s - deadline_s

    def read_call(
        target: str, headers: _Pairs
    ) -> Result[CallerRequest, Refusal]:
        pairs = tuple(headers)
        given = {name.lower(): text for name, text in pairs}
        if route_store.state is None:
            return _refused(RefusalReason.NO_CONFIG, 'no routes are known')
        host = given.get('host', '')
        route = route_store.find(host.partition(':')[0].lower(), target)
        if route is None:
            return _refused(
                RefusalReason.UNKNOWN_ROUTE, f'no route for {host}{target}'
            )
        request_id = given.get(REQUEST_ID.lower())
        deadline_s = _deadline_s(given, route)
        relayed = [('Host', host), (CALLER_SERVICE, own_service())]
        relayed.extend(
            pair
            for pair in end_to_end_headers(pairs)
            if pair[0].lower() not in _SET_BY_NODE
        )
        return Success(
            CallerRequest(
                service=pick_service(route),
                path=target,
                key=given.get(KEY.lower()),
                request_id=RequestId(request_id) if request_id else None,
                is_repeatable=route.is_repeatable,
                timeout_s=min(route.timeout_s, deadline_s),
                headers=tuple(relayed),
                # Each attempt of a caller has an id of its own.
                is_new=True,
                max_sends=route.max_sends,
                priority=route.priority,
                objective_s=(route.objective_s - elapsed_s(route, deadline_s)),
            )
        )

    return CALLER_FORMATS[STANDIN_FORMAT]._replace(
        read_call=read_call,
        write_answer=write_answer,
        write_refusal=write_refusal,
    )


def write_answer(answer: Answer, request_id: RequestId) -> CallerAnswer:
    """Return an upstream's answer unchanged."""
    return CallerAnswer(answer.status, answer.headers, answer.body)


def write_refusal(
    refusal: Refusal, request_id: RequestId | None
) -> CallerAnswer:
    """Return a refusal: 503 promises that the request never runs.

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
        headers.append((REQUEST_ID, request_id))
    status = _status_of(refusal)
    if status == _UNAVAILABLE:
        retry_s = max(_LEAST_RETRY_S, refusal.retry_after_s)
        headers.append(('Retry-After', f'{retry_s:.3f}'))
    text = f'{refusal.outcome.value}: {refusal.reason.value}\n'
    return CallerAnswer(status, tuple(headers), text.encode())


def _status_of(refusal: Refusal) -> int:
    if refusal.outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(refusal.reason, _UNAVAILABLE)
    if refusal.reason is RefusalReason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def _deadline_s(given: dict[str, str], route: Route) -> float:
    text = given.get(DEADLINE.lower(), '')
    try:
        return max(0.0, float(text) / _MS_PER_S)
    except ValueError:
        return route.timeout_s


def _refused(reason: RefusalReason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Outcome.NOT_RUN, reason, detail=detail))
