"""Caller-facing paths and headers, in the 'standin' vocabulary."""

from collections.abc import Iterable, Mapping
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

_OWN_PREFIX = 'verbenadeck-'
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
    """What a caller asks for, read from the path and headers.

    Parameters
    ----------
    service : ServiceName
        Service, the first segment of the path.
    path : str
        Rest of the path, with the query, as the upstream gets it.
    key : str or None
        Key from its header, else the first segment of the rest of the path.
    request_id : RequestId or None
        Idempotency key, when the caller sent one.
    is_repeatable : bool or None
        Override of what the method implies, when the caller sent one.
    timeout_s : float or None
        Time that the caller will wait, when it said so.
    headers : tuple of (str, str)
        Headers that go on to the upstream.
    is_new : bool
        Whether no earlier send of the same request id can have run: the
        caller says so, or it sent no request id.
    max_sends : int
        Most upstreams that the request may reach; 0 sets no bound.
    priority : int
        Urgency; 0 is the most urgent.
    objective_s : float or None
        Time left in which an answer is worth most, None for all of it.
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


class CallerAnswer(msgspec.Struct, frozen=True):
    """Status, headers and body for the caller."""

    status: int
    headers: Headers
    body: bytes


def read_call(
    target: str, headers: Iterable[tuple[str, str]]
) -> Result[CallerRequest, Refusal]:
    """Return the typed fields of a caller's request.

    Parameters
    ----------
    target : str
        Path and query as received, not decoded.
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
    own = {name.lower(): text for name, text in pairs}
    fault = _fault(service, pairs, own)
    if fault is not None:
        return Failure(_bad_request(fault))
    path = f'/{rest}{query_mark}{query}'
    return Success(
        CallerRequest(
            service=ServiceName(service),
            path=path,
            key=own.get(KEY_HEADER.lower()) or _key_of(path),
            request_id=_request_id(own),
            is_repeatable=_REPEATABLE_TEXTS.get(
                own.get(REPEATABLE_HEADER.lower(), '').lower()
            ),
            timeout_s=_timeout_s(own),
            is_new=_is_new(own),
            headers=tuple(
                pair
                for pair in end_to_end_headers(pairs)
                if not pair[0].lower().startswith(_OWN_PREFIX)
            ),
        )
    )


def write_answer(answer: Answer, request_id: RequestId) -> CallerAnswer:
    """Return an upstream's answer as the caller gets it."""
    headers = (*answer.headers, (REQUEST_ID_HEADER, request_id))
    return CallerAnswer(answer.status, headers, answer.body)


def write_refusal(
    refusal: Refusal, request_id: RequestId | None
) -> CallerAnswer:
    """Return a refusal as the caller gets it.

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
    return CallerAnswer(_status_of(refusal), tuple(headers), text.encode())


def _status_of(refusal: Refusal) -> int:
    if refusal.outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(refusal.reason, _UNAVAILABLE)
    return _UNKNOWN_STATUSES.get(refusal.reason, _BAD_GATEWAY)


def _fault(service: str, pairs: Headers, own: Mapping[str, str]) -> str | None:
    """Return why the request is malformed; doubled headers are ambiguous."""
    names = [name.lower() for name, _ in pairs]
    repeatable = own.get(REPEATABLE_HEADER.lower(), 'true').lower()
    deadline = own.get(DEADLINE_HEADER.lower(), '1')
    request_id = own.get(IDEMPOTENCY_HEADER.lower(), 'any')
    checks = (
        (bool(service), 'path names no service'),
        (_is_single(names), 'a header of the router is given twice'),
        (repeatable in _REPEATABLE_TEXTS, 'repeatable is true or false'),
        (_is_whole_number(deadline), 'deadline is not in milliseconds'),
        (0 < len(request_id) <= _MAX_ID_LENGTH, 'idempotency key length'),
        (
            len(own.get(KEY_HEADER.lower(), '')) <= _MAX_KEY_LENGTH,
            'key is too long',
        ),
    )
    for is_met, fault in checks:
        if not is_met:
            return fault
    return None


def _is_single(names: list[str]) -> bool:
    own = [
        name
        for name in names
        if name.startswith(_OWN_PREFIX) or name == IDEMPOTENCY_HEADER.lower()
    ]
    return len(own) == len(set(own))


def _is_whole_number(text: str) -> bool:
    is_digits = text.isascii() and text.isdigit()
    return is_digits and 0 < int(text) <= _MAX_TIMEOUT_MS


def _key_of(path: str) -> str | None:
    segment = path.removeprefix('/').partition('?')[0].partition('/')[0]
    return unquote(segment) or None


def _request_id(own: Mapping[str, str]) -> RequestId | None:
    text = own.get(IDEMPOTENCY_HEADER.lower())
    return None if text is None else RequestId(text)


def _is_new(own: Mapping[str, str]) -> bool:
    is_said = own.get(NEW_HEADER.lower(), '').lower() == 'true'
    return is_said or IDEMPOTENCY_HEADER.lower() not in own


def _timeout_s(own: Mapping[str, str]) -> float | None:
    text = own.get(DEADLINE_HEADER.lower())
    return None if text is None else int(text) / _MS_PER_S


def _bad_request(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, RefusalReason.BAD_REQUEST, detail=detail)
