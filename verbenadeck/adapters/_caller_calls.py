"""Calls, answers and owner hints in the 'standin' format, caller's side."""

from collections.abc import Iterable
from urllib.parse import urlsplit

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters._caller_headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    KEY_HEADER,
    NEW_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_MS_HEADER,
)
from verbenadeck.adapters._http_headers import Headers, end_to_end_headers
from verbenadeck.model import (
    Answer,
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
)

OWNER_HEADER = 'Verbenadeck-Owner'
"""Response header with the address of the entry beside the key's owner."""

_MS_PER_S = 1000
_SHARDS_PREFIX = 'shards='


class OutgoingCall(msgspec.Struct, frozen=True):
    """Call that a client sends to the router.

    Parameters
    ----------
    service : ServiceName
        Service that is called.
    path : str
        Absolute path and query for the upstream.
    request_id : RequestId
        Idempotency key, the same in every resend.
    timeout_s : float
        Seconds for which the caller still waits.
    key : str or None
        Key of the request, None for services without keys.
    is_repeatable : bool or None
        Whether the request may run more than once; None when the method
        decides.
    headers : tuple of (str, str)
        End-to-end headers, which reach the upstream.
    is_new : bool
        Whether no earlier send of the request id can have run.
    """

    service: ServiceName
    path: str
    request_id: RequestId
    timeout_s: float
    key: str | None = None
    is_repeatable: bool | None = None
    headers: Headers = ()
    is_new: bool = False


class OwnerHint(msgspec.Struct, frozen=True):
    """Address of the entry beside the owner of a key.

    With the number of shards, a caller can use it for other keys of the same
    shard.

    Parameters
    ----------
    host : str
        IP address of the owning node.
    entry_port : int
        TCP port on which it accepts requests of callers.
    shard_count : int
        Number of shards of the service.
    """

    host: str
    entry_port: int
    shard_count: int


def write_call(call: OutgoingCall) -> Result[tuple[str, Headers], Refusal]:
    """Return the path and headers of a call, or a refusal of a malformed one.

    Parameters
    ----------
    call : OutgoingCall
        The call.

    Examples
    --------
    >>> call = OutgoingCall(ServiceName('holds'), '/7', RequestId('r1'), 0.25)
    >>> target, headers = write_call(call).unwrap()
    >>> target, dict(headers)['Verbenadeck-Deadline-Ms']
    ('/holds/7', '250')
    """
    if not call.path.startswith('/'):
        return _make_bad_request('the path does not begin with a slash')
    router_headers = {
        IDEMPOTENCY_HEADER: call.request_id,
        DEADLINE_HEADER: str(max(1, int(call.timeout_s * _MS_PER_S))),
    }
    if call.key is not None:
        router_headers[KEY_HEADER] = call.key
    if call.is_repeatable is not None:
        router_headers[REPEATABLE_HEADER] = str(call.is_repeatable).lower()
    if call.is_new:
        router_headers[NEW_HEADER] = 'true'
    if not all(
        _is_valid_header_value(text) for text in router_headers.values()
    ):
        return _make_bad_request(
            'the key or the request id is empty or contains characters that a '
            'header cannot carry'
        )
    headers = (*end_to_end_headers(call.headers), *router_headers.items())
    return Success((f'/{call.service}{call.path}', headers))


def read_answer(status: int, headers: Headers, body: bytes) -> AnswerResult:
    """Return the answer or the refusal in an HTTP response.

    A response without the router's headers comes from another server on the
    way, so nothing is known about the request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        All headers as received.
    body : bytes
        Body.
    """
    headers_by_name = {name.lower(): text for name, text in headers}
    if OUTCOME_HEADER.lower() in headers_by_name:
        return Failure(_read_refusal(headers_by_name, body))
    if REQUEST_ID_HEADER.lower() not in headers_by_name:
        detail = f'response with status {status} does not come from the router'
        return Failure(
            Refusal(Outcome.UNKNOWN, RefusalReason.PEER_LOST, detail=detail)
        )
    return Success(Answer(status, end_to_end_headers(headers), body))


def write_owner_hint(hint: OwnerHint) -> tuple[str, str]:
    """Return the name and text of the header that carries a hint.

    Parameters
    ----------
    hint : OwnerHint
        The hint.

    Examples
    --------
    >>> write_owner_hint(OwnerHint('10.0.0.4', 7480, 4096))
    ('Verbenadeck-Owner', '10.0.0.4:7480;shards=4096')
    """
    host = f'[{hint.host}]' if ':' in hint.host else hint.host
    shards = f'{_SHARDS_PREFIX}{hint.shard_count}'
    return OWNER_HEADER, f'{host}:{hint.entry_port};{shards}'


def read_owner_hint(headers: Iterable[tuple[str, str]]) -> OwnerHint | None:
    """Return the hint in the headers of an answer, None without a valid one.

    Parameters
    ----------
    headers : iterable of (str, str)
        All headers as received.

    Examples
    --------
    >>> read_owner_hint([('verbenadeck-owner', '[::1]:7480;shards=8')])
    OwnerHint(host='::1', entry_port=7480, shard_count=8)
    >>> read_owner_hint([('verbenadeck-owner', 'noise')]) is None
    True
    """
    headers_by_name = {name.lower(): text for name, text in headers}
    address, _, shards_field = headers_by_name.get(
        OWNER_HEADER.lower(), ''
    ).partition(';')
    shard_count = _read_shard_count(shards_field.removeprefix(_SHARDS_PREFIX))
    try:
        parts = urlsplit(f'//{address}')
        host, port = parts.hostname, parts.port
    except ValueError:
        return None
    if host is None or port is None or not shard_count:
        return None
    return OwnerHint(host, port, shard_count)


def _read_shard_count(text: str) -> int:
    """Return the number in a text if it is a power of two, else 0."""
    number = int(text) if text.isascii() and text.isdigit() else 0
    return 0 if number & (number - 1) else number


def _read_refusal(headers_by_name: dict[str, str], body: bytes) -> Refusal:
    retry_after_ms = headers_by_name.get(RETRY_AFTER_MS_HEADER.lower(), '')
    is_number = retry_after_ms.isascii() and retry_after_ms.isdigit()
    return Refusal(
        outcome=_read_outcome(headers_by_name[OUTCOME_HEADER.lower()]),
        reason=_read_reason(headers_by_name.get(REASON_HEADER.lower(), '')),
        retry_after_s=int(retry_after_ms) / _MS_PER_S if is_number else 0,
        detail=body.decode(errors='replace').strip(),
    )


def _read_outcome(text: str) -> Outcome:
    is_not_run = text == Outcome.NOT_RUN.value
    return Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN


def _read_reason(text: str) -> RefusalReason:
    try:
        return RefusalReason(text)
    except ValueError:
        return RefusalReason.UPSTREAM_FAILED


def _is_valid_header_value(text: str) -> bool:
    return text.isprintable() and text == text.strip() and bool(text)


def _make_bad_request(detail: str) -> Failure[Refusal]:
    return Failure(
        Refusal(Outcome.NOT_RUN, RefusalReason.BAD_REQUEST, detail=detail)
    )
