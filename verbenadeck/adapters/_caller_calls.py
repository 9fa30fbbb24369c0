"""Caller's side of the 'standin' vocabulary: calls, replies and hints."""

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
"""Header of an answer that names the entry of the key's owner."""

_MS_PER_S = 1000
_SHARDS_FIELD = 'shards='


class OutgoingCall(msgspec.Struct, frozen=True):
    """One call as a caller makes it.

    Parameters
    ----------
    service : ServiceName
        Service.
    path : str
        Absolute path and query for the upstream.
    request_id : RequestId
        Idempotency key, the same in every resend.
    timeout_s : float
        Time that the caller still waits.
    key : str or None
        Key, for services divided by key.
    is_repeatable : bool or None
        Override of what the method implies.
    headers : tuple of (str, str)
        End-to-end headers.
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
    """Entry beside the owner of a key, with what makes it reusable.

    Parameters
    ----------
    host : str
        IP address of the owning node.
    entry_port : int
        Its port for callers.
    shard_count : int
        Number of shards of the service.
    """

    host: str
    entry_port: int
    shard_count: int


def write_call(call: OutgoingCall) -> Result[tuple[str, Headers], Refusal]:
    """Return path and headers of a call.

    Examples
    --------
    >>> call = OutgoingCall(ServiceName('holds'), '/7', RequestId('r1'), 0.25)
    >>> target, headers = write_call(call).unwrap()
    >>> target, dict(headers)['Verbenadeck-Deadline-Ms']
    ('/holds/7', '250')
    """
    if not call.path.startswith('/'):
        return _bad_call('path is not absolute')
    own = {
        IDEMPOTENCY_HEADER: call.request_id,
        DEADLINE_HEADER: str(max(1, int(call.timeout_s * _MS_PER_S))),
    }
    if call.key is not None:
        own[KEY_HEADER] = call.key
    if call.is_repeatable is not None:
        own[REPEATABLE_HEADER] = str(call.is_repeatable).lower()
    if call.is_new:
        own[NEW_HEADER] = 'true'
    if not all(_is_header_text(text) for text in own.values()):
        return _bad_call('key or request id does not fit into a header')
    headers = (*end_to_end_headers(call.headers), *own.items())
    return Success((f'/{call.service}{call.path}', headers))


def read_answer(status: int, headers: Headers, body: bytes) -> AnswerResult:
    """Return the answer or the refusal in an HTTP response.

    A response without the router's own headers came from something else
    on the way, so nothing is known about the request.
    """
    own = {name.lower(): text for name, text in headers}
    if OUTCOME_HEADER.lower() in own:
        return Failure(_read_refusal(own, body))
    if REQUEST_ID_HEADER.lower() not in own:
        detail = f'status {status} did not come from the router'
        return Failure(
            Refusal(Outcome.UNKNOWN, RefusalReason.PEER_LOST, detail=detail)
        )
    return Success(Answer(status, end_to_end_headers(headers), body))


def write_owner_hint(hint: OwnerHint) -> tuple[str, str]:
    """Return the header that carries a hint.

    Examples
    --------
    >>> write_owner_hint(OwnerHint('10.0.0.4', 7480, 4096))
    ('Verbenadeck-Owner', '10.0.0.4:7480;shards=4096')
    """
    host = f'[{hint.host}]' if ':' in hint.host else hint.host
    shards = f'{_SHARDS_FIELD}{hint.shard_count}'
    return OWNER_HEADER, f'{host}:{hint.entry_port};{shards}'


def read_owner_hint(headers: Iterable[tuple[str, str]]) -> OwnerHint | None:
    """Return the hint in the headers of an answer, None without a good one.

    Examples
    --------
    >>> read_owner_hint([('verbenadeck-owner', '[::1]:7480;shards=8')])
    OwnerHint(host='::1', entry_port=7480, shard_count=8)
    >>> read_owner_hint([('verbenadeck-owner', 'noise')]) is None
    True
    """
    own = {name.lower(): text for name, text in headers}
    address, _, field = own.get(OWNER_HEADER.lower(), '').partition(';')
    shard_count = _read_count(field.removeprefix(_SHARDS_FIELD))
    try:
        parts = urlsplit(f'//{address}')
        host, port = parts.hostname, parts.port
    except ValueError:
        return None
    if host is None or port is None or not shard_count:
        return None
    return OwnerHint(host, port, shard_count)


def _read_count(text: str) -> int:
    """Return a power of two, 0 for anything else."""
    number = int(text) if text.isascii() and text.isdigit() else 0
    return 0 if number & (number - 1) else number


def _read_refusal(own: dict[str, str], body: bytes) -> Refusal:
    retry_ms = own.get(RETRY_AFTER_MS_HEADER.lower(), '')
    is_number = retry_ms.isascii() and retry_ms.isdigit()
    return Refusal(
        outcome=_read_outcome(own[OUTCOME_HEADER.lower()]),
        reason=_read_reason(own.get(REASON_HEADER.lower(), '')),
        retry_after_s=int(retry_ms) / _MS_PER_S if is_number else 0,
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


def _is_header_text(text: str) -> bool:
    return text.isprintable() and text == text.strip() and bool(text)


def _bad_call(detail: str) -> Failure[Refusal]:
    return Failure(
        Refusal(Outcome.NOT_RUN, RefusalReason.BAD_REQUEST, detail=detail)
    )
