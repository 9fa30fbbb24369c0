"""Paths and headers towards callers in the 'standin' format, router's side."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from urllib.parse import unquote

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters._http_headers import Headers, end_to_end_headers
from verbenadeck.model import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
)

IDEMPOTENCY_HEADER = 'Idempotency-Key'
REPEATABLE_HEADER = 'Verbenadeck-Repeatable'
NEW_HEADER = 'Verbenadeck-New'
KEY_HEADER = 'Verbenadeck-Key'
DEADLINE_HEADER = 'Verbenadeck-Deadline-Ms'
REQUEST_ID_HEADER = 'Verbenadeck-Request-Id'
OUTCOME_HEADER = 'Verbenadeck-Outcome'
REASON_HEADER = 'Verbenadeck-Reason'
RETRY_AFTER_MS_HEADER = 'Verbenadeck-Retry-After-Ms'
RETRY_AFTER_HEADER = 'Retry-After'

_ROUTER_PREFIX = 'verbenadeck-'
_MAX_ID_LENGTH = 200
_MAX_KEY_LENGTH = 1000
_MAX_TIMEOUT_MS = 3_600_000
_MS_PER_S = 1000
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_REPEATABLE_TEXTS = MappingProxyType({'true': True, 'false': False})
_NOT_RUN_STATUSES: Mapping[RefusalReason, int] = MappingProxyType(
    {
        RefusalReason.BAD_REQUEST: 400,
        RefusalReason.UNKNOWN_SERVICE: 404,
        RefusalReason.TOO_LARGE: 413,
        RefusalReason.POISON: 422,
        RefusalReason.DEADLINE: 504,
    }
)
_UNKNOWN_STATUSES: Mapping[RefusalReason, int] = MappingProxyType(
    {
        RefusalReason.DEADLINE: 504,
    }
)


class CallerRequest(msgspec.Struct, frozen=True):
    """Request of a caller, as read from its path and headers.

    Parameters
    ----------
    service : ServiceName
        Service, the first segment of the path.
    path : str
        Rest of the path, with the query, as sent to the upstream.
    key : str or None
        Key from its header, else the first segment of the rest of the path.
    request_id : RequestId or None
        Idempotency key, None when the caller sent none.
    is_repeatable : bool or None
        Whether the request may run more than once; None when the method
        decides.
    timeout_s : float or None
        Seconds for which the caller waits, None when it sent no deadline.
    headers : tuple of (str, str)
        Headers that are forwarded to the upstream.
    is_new : bool
        Whether no earlier send of the same request id can have run: the
        caller says so, or it sent no request id.
    max_sends : int
        Largest number of upstreams that the request may be sent to; 0 sets no
        limit.
    priority : int
        Priority; 0 is the most urgent.
    objective_s : float or None
        Seconds left of the latency objective, None when all the time until
        the deadline counts the same.
    on_refused : callable or None
        Called when the request ends without an answer of an upstream, so that
        its caller may try again.
    kind : str
        Kind of request whose service times are alike; empty when not known.
    is_returning : bool
        Whether the caller was probably refused before.
    """

    service: ServiceName
    path: str
    key: str | None
    request_id: RequestId | None
    is_repeatable: bool | None
    timeout_s: float | None
    headers: Headers
    is_new: bool = False
    max_sends: int = 0
    priority: int = 0
    objective_s: float | None = None
    on_refused: Callable[[], None] | None = None
    kind: str = ''
    is_returning: bool = False


class CallerAnswer(msgspec.Struct, frozen=True):
    """Status, headers and body of an HTTP response to a caller."""

    status: int
    headers: Headers
    body: bytes


def read_call(
    target: str, headers: Iterable[tuple[str, str]]
) -> Result[CallerRequest, Refusal]:
    """Return the request of a caller, or a refusal when it is malformed.

    Parameters
    ----------
    target : str
        Path and query as received, without percent-decoding.
    headers : iterable of (str, str)
        All headers as received.

    Examples
    --------
    >>> fields = read_call('/catalogue/oven%2017?full=1', ()).unwrap()
    >>> fields.service, fields.key, fields.path
    ('catalogue', 'oven 17', '/oven%2017?full=1')
    """
    pairs = tuple(headers)
    service, _, rest = target.removeprefix('/').partition('/')
    service, query_mark, query = service.partition('?')
    headers_by_name = {name.lower(): text for name, text in pairs}
    fault = _find_fault(service, pairs, headers_by_name)
    if fault is not None:
        return Failure(_bad_request(fault))
    path = f'/{rest}{query_mark}{query}'
    return Success(
        CallerRequest(
            service=ServiceName(service),
            path=path,
            key=headers_by_name.get(KEY_HEADER.lower()) or _read_key(path),
            request_id=_read_request_id(headers_by_name),
            is_repeatable=_REPEATABLE_TEXTS.get(
                headers_by_name.get(REPEATABLE_HEADER.lower(), '').lower()
            ),
            timeout_s=_read_timeout_s(headers_by_name),
            is_new=_is_new(headers_by_name),
            headers=tuple(
                pair
                for pair in end_to_end_headers(pairs)
                if not pair[0].lower().startswith(_ROUTER_PREFIX)
            ),
        )
    )


def write_answer(answer: Answer, request_id: RequestId) -> CallerAnswer:
    """Return an upstream's answer as the caller receives it.

    Parameters
    ----------
    answer : Answer
        Answer of the upstream.
    request_id : RequestId
        Id of the request, which is added as a header.
    """
    headers = (*answer.headers, (REQUEST_ID_HEADER, request_id))
    return CallerAnswer(answer.status, headers, answer.body)


def write_refusal(
    refusal: Refusal, request_id: RequestId | None
) -> CallerAnswer:
    """Return a refusal as the caller receives it.

    Parameters
    ----------
    refusal : Refusal
        Outcome, reason and hint when to try again.
    request_id : RequestId or None
        Id of the request, None when it could not be read.

    Examples
    --------
    >>> refusal = Refusal(Outcome.NOT_RUN, RefusalReason.SHED, 0.25)
    >>> answer = write_refusal(refusal, None)
    >>> answer.status, dict(answer.headers)['Verbenadeck-Outcome']
    (503, 'not-run')
    """
    retry_ms = round(refusal.retry_after_s * _MS_PER_S)
    headers = [
        ('Content-Type', 'text/plain; charset=utf-8'),
        (OUTCOME_HEADER, refusal.outcome.value),
        (REASON_HEADER, refusal.reason.value),
        (RETRY_AFTER_MS_HEADER, str(retry_ms)),
        (RETRY_AFTER_HEADER, str(-(-retry_ms // _MS_PER_S))),
    ]
    if request_id is not None:
        headers.append((REQUEST_ID_HEADER, request_id))
    text = f'{refusal.outcome.value}: {refusal.reason.value}\n'
    return CallerAnswer(_choose_status(refusal), tuple(headers), text.encode())


def _choose_status(refusal: Refusal) -> int:
    if refusal.outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(refusal.reason, _UNAVAILABLE)
    return _UNKNOWN_STATUSES.get(refusal.reason, _BAD_GATEWAY)


def _find_fault(
    service: str, pairs: Headers, headers_by_name: Mapping[str, str]
) -> str | None:
    """Return why the request is malformed, None when it is not.

    A header of the router that occurs twice is refused as ambiguous.
    """
    names = [name.lower() for name, _ in pairs]
    repeatable = headers_by_name.get(REPEATABLE_HEADER.lower(), 'true').lower()
    deadline = headers_by_name.get(DEADLINE_HEADER.lower(), '1')
    request_id = headers_by_name.get(IDEMPOTENCY_HEADER.lower(), 'any')
    checks = (
        (bool(service), 'the path does not begin with the name of a service'),
        (
            _has_no_duplicates(names),
            'a header of the router occurs more than once',
        ),
        (
            repeatable in _REPEATABLE_TEXTS,
            'Verbenadeck-Repeatable is neither true nor false',
        ),
        (
            _is_valid_deadline_ms(deadline),
            'Verbenadeck-Deadline-Ms is not a number of milliseconds in range',
        ),
        (
            0 < len(request_id) <= _MAX_ID_LENGTH,
            'Idempotency-Key is empty or too long',
        ),
        (
            len(headers_by_name.get(KEY_HEADER.lower(), '')) <= _MAX_KEY_LENGTH,
            'the key is too long',
        ),
    )
    for is_met, fault in checks:
        if not is_met:
            return fault
    return None


def _has_no_duplicates(names: list[str]) -> bool:
    router_names = [
        name
        for name in names
        if name.startswith(_ROUTER_PREFIX) or name == IDEMPOTENCY_HEADER.lower()
    ]
    return len(router_names) == len(set(router_names))


def _is_valid_deadline_ms(text: str) -> bool:
    is_digits = text.isascii() and text.isdigit()
    return is_digits and 0 < int(text) <= _MAX_TIMEOUT_MS


def _read_key(path: str) -> str | None:
    segment = path.removeprefix('/').partition('?')[0].partition('/')[0]
    return unquote(segment) or None


def _read_request_id(headers_by_name: Mapping[str, str]) -> RequestId | None:
    text = headers_by_name.get(IDEMPOTENCY_HEADER.lower())
    return None if text is None else RequestId(text)


def _is_new(headers_by_name: Mapping[str, str]) -> bool:
    is_declared_new = (
        headers_by_name.get(NEW_HEADER.lower(), '').lower() == 'true'
    )
    return is_declared_new or IDEMPOTENCY_HEADER.lower() not in headers_by_name


def _read_timeout_s(headers_by_name: Mapping[str, str]) -> float | None:
    text = headers_by_name.get(DEADLINE_HEADER.lower())
    return None if text is None else int(text) / _MS_PER_S


def _bad_request(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, RefusalReason.BAD_REQUEST, detail=detail)
