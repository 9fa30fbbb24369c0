"""HTTP exchange of one request with an upstream, in the 'standin' format."""

from collections.abc import Mapping
from types import MappingProxyType

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

from verbenadeck.adapters import wire
from verbenadeck.adapters._answer_status import InvalidAnswerError
from verbenadeck.adapters._http_headers import end_to_end_headers
from verbenadeck.adapters._upstream import (
    Announcement,
    UpstreamError,
    UpstreamFailure,
)
from verbenadeck.adapters._upstream_session import UpstreamSession
from verbenadeck.model import Answer

_CONNECT_TIMEOUT_S = 1.0
_MAX_DETAIL_LENGTH = 300
_BODILESS_STATUSES = frozenset((204, 304))
_FAILURES_BY_REASON: Mapping[str, UpstreamFailure] = MappingProxyType(
    {
        'shed': UpstreamFailure.SHED,
        'cold': UpstreamFailure.COLD,
        'fenced': UpstreamFailure.FENCED,
        'draining': UpstreamFailure.REFUSED,
        'deadline': UpstreamFailure.REFUSED,
        'instance': UpstreamFailure.REFUSED,
    }
)


async def exchange(
    session: UpstreamSession,
    method: str,
    path: str,
    *,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    timeout_s: float,
    is_pooled: bool = True,
) -> Result[Answer, UpstreamError]:
    """Send a request once and return the answer if it is complete.

    Parameters
    ----------
    session : UpstreamSession
        Connections to the upstream.
    method : str
        HTTP method.
    path : str
        Absolute path and query.
    headers : tuple of (str, str)
        Headers as sent.
    body : bytes
        Body, may be empty.
    timeout_s : float
        Seconds after which the exchange is abandoned.
    is_pooled : bool
        Whether the connection may have carried other requests.
    """
    announcement = session.announcement
    url = URL(
        f'http://{_make_authority(announcement)}{path}',
        encoded=True,
    )
    connect_s = min(_CONNECT_TIMEOUT_S, timeout_s / 2)
    timeout = aiohttp.ClientTimeout(total=timeout_s, connect=connect_s)
    try:
        async with session.request(
            method,
            url,
            headers=headers,
            body=body,
            timeout=timeout,
            is_pooled=is_pooled,
        ) as response:
            if _belongs_to_another(response, headers):
                response.close()
                return make_failure(
                    UpstreamFailure.BROKEN, 'the answer has another request id'
                )
            return _read_answer(method, response, await response.read())
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return make_failure(
            UpstreamFailure.NOT_SENT, 'no connection to the upstream'
        )
    except aiohttp.InvalidURL:
        return make_failure(
            UpstreamFailure.NOT_SENT, 'the path is not a valid URL'
        )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return make_failure(
            UpstreamFailure.BROKEN, describe_broken_answer(error)
        )


def _belongs_to_another(
    response: aiohttp.ClientResponse, headers: tuple[tuple[str, str], ...]
) -> bool:
    """Return whether the upstream names another request in its answer."""
    named = response.headers.get(wire.REQUEST_ID_HEADER)
    return named is not None and named != dict(headers).get(
        wire.REQUEST_ID_HEADER
    )


def _make_authority(announcement: Announcement) -> str:
    host = announcement.host
    host_text = f'[{host}]' if ':' in host else host
    return f'{host_text}:{announcement.port}'


def _read_answer(
    method: str, response: aiohttp.ClientResponse, body: bytes
) -> Result[Answer, UpstreamError]:
    refusal_reason = response.headers.get(wire.REFUSED_HEADER)
    if refusal_reason is not None:
        failure = _FAILURES_BY_REASON.get(
            refusal_reason, UpstreamFailure.REFUSED
        )
        return make_failure(
            failure,
            f'the upstream refused the request: {refusal_reason}',
            retry_after_s=_read_number(response.headers.get('Retry-After'))
            or 0,
            bearable=_read_number(response.headers.get(wire.BEARABLE_HEADER)),
        )
    if not _has_detectable_end(method, response):
        detail = 'the answer has no length, so it may be truncated'
        return make_failure(UpstreamFailure.BROKEN, detail)
    headers = tuple(
        pair
        for pair in end_to_end_headers(response.headers.items())
        if not pair[0].lower().startswith(wire.RESERVED_PREFIX)
    )
    return Success(Answer(response.status, headers, body))


def _has_detectable_end(method: str, response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated body would have been detected."""
    if method == 'HEAD' or response.status in _BODILESS_STATUSES:
        return True
    headers = response.headers
    if 'Content-Length' in headers:
        return True
    return headers.get('Transfer-Encoding', '').lower().endswith('chunked')


def _read_number(text: str | None) -> int | None:
    is_number = text is not None and text.isascii() and text.isdigit()
    return int(text or 0) if is_number else None


def describe_broken_answer(error: Exception) -> str:
    """Return the cause of a broken answer, short enough for logs and peers.

    The text of an error may contain all bytes that could not be parsed.

    Parameters
    ----------
    error : Exception
        Error that ended the exchange.

    Examples
    --------
    >>> describe_broken_answer(OSError(5, 'I/O'))
    "incomplete answer: OSError(5, 'I/O')"
    """
    if isinstance(error, InvalidAnswerError):
        return f'invalid answer: {error}'[:_MAX_DETAIL_LENGTH]
    return f'incomplete answer: {error!r}'[:_MAX_DETAIL_LENGTH]


def make_failure(
    failure: UpstreamFailure,
    detail: str,
    *,
    retry_after_s: float = 0,
    bearable: int | None = None,
) -> Failure[UpstreamError]:
    """Return the result of a failed exchange.

    Parameters
    ----------
    failure : UpstreamFailure
        What is known about the request.
    detail : str
        Cause, for logs.
    retry_after_s : float
        Seconds after which the upstream asks to try again, 0 when it does not
        ask.
    bearable : int or None
        Requests that the upstream says it can run at the same time now, None
        when it does not say.
    """
    return Failure(UpstreamError(failure, detail, retry_after_s, bearable))
