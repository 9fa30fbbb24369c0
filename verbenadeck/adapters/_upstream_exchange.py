"""One exchange with an upstream, and what is known when it fails."""

from collections.abc import Mapping
from types import MappingProxyType

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

from verbenadeck.adapters import wire
from verbenadeck.adapters._http_headers import end_to_end_headers
from verbenadeck.adapters._upstream import (
    Announcement,
    UpstreamError,
    UpstreamFailure,
)
from verbenadeck.adapters._upstream_session import UpstreamSession
from verbenadeck.model import Answer

_CONNECT_TIMEOUT_S = 1.0
_BODILESS_STATUSES = frozenset((204, 304))
_REFUSALS: Mapping[str, UpstreamFailure] = MappingProxyType(
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
) -> Result[Answer, UpstreamError]:
    """Send once, and return the answer only when it is whole."""
    announcement = session.announcement
    url = URL(
        f'http://{_authority(announcement)}{path}',
        encoded=True,
    )
    connect_s = min(_CONNECT_TIMEOUT_S, timeout_s / 2)
    timeout = aiohttp.ClientTimeout(total=timeout_s, connect=connect_s)
    try:
        async with session.request(
            method, url, headers=headers, body=body, timeout=timeout
        ) as response:
            return _judge(method, response, await response.read())
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return failed(UpstreamFailure.NOT_SENT, 'no connection to upstream')
    except aiohttp.InvalidURL:
        return failed(UpstreamFailure.NOT_SENT, 'path is not a valid URL')
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return failed(UpstreamFailure.BROKEN, f'no whole answer: {error!r}')


def _authority(announcement: Announcement) -> str:
    host = announcement.host
    host_text = f'[{host}]' if ':' in host else host
    return f'{host_text}:{announcement.port}'


def _judge(
    method: str, response: aiohttp.ClientResponse, body: bytes
) -> Result[Answer, UpstreamError]:
    refused = response.headers.get(wire.REFUSED_HEADER)
    if refused is not None:
        failure = _REFUSALS.get(refused, UpstreamFailure.REFUSED)
        return failed(
            failure,
            f'upstream refused: {refused}',
            retry_after_s=_number(response.headers.get('Retry-After')) or 0,
            bearable=_number(response.headers.get(wire.BEARABLE_HEADER)),
        )
    if not _is_framed(method, response):
        detail = 'answer has no length, so it may be cut'
        return failed(UpstreamFailure.BROKEN, detail)
    headers = tuple(
        pair
        for pair in end_to_end_headers(response.headers.items())
        if not pair[0].lower().startswith(wire.RESERVED_PREFIX)
    )
    return Success(Answer(response.status, headers, body))


def _is_framed(method: str, response: aiohttp.ClientResponse) -> bool:
    """Return whether a cut body would have been noticed."""
    if method == 'HEAD' or response.status in _BODILESS_STATUSES:
        return True
    headers = response.headers
    if 'Content-Length' in headers:
        return True
    return headers.get('Transfer-Encoding', '').lower().endswith('chunked')


def _number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def failed(
    failure: UpstreamFailure,
    detail: str,
    *,
    retry_after_s: float = 0,
    bearable: int | None = None,
) -> Failure[UpstreamError]:
    return Failure(UpstreamError(failure, detail, retry_after_s, bearable))
