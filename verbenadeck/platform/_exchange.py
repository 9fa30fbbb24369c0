"""One exchange with the instance beside a node."""

from types import MappingProxyType

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

from verbenadeck.adapters import (
    Headers,
    UpstreamError,
    UpstreamFailure,
    UpstreamSession,
    WatchedResponse,
    end_to_end_headers,
)
from verbenadeck.model import Answer, Request
from verbenadeck.platform._callers import (
    DEADLINE,
    EXPECTED_INSTANCE,
    KEY,
    REQUEST_ID,
)

NOT_EXECUTED = 'Not-Executed'
"""Header with which an instance says that it did not run a request."""

CONNECT_TIMEOUT_S = 0.5
"""Time for a connection on the same VM, in seconds."""

_MISDIRECTED = 421
_REFUSALS = MappingProxyType(
    {
        400: UpstreamFailure.REFUSED,
        _MISDIRECTED: UpstreamFailure.FENCED,
        429: UpstreamFailure.SHED,
        503: UpstreamFailure.SHED,
    }
)
_MS_PER_S = 1000

Sent = Result[Answer, UpstreamError]
"""Answer of an instance, or what is known without one."""


def order_headers(request: Request, instance: str, left_s: float) -> Headers:
    """Return the headers of a request as the instance gets it."""
    own = [
        (REQUEST_ID, str(request.request_id)),
        (EXPECTED_INSTANCE, instance),
        (DEADLINE, str(int(left_s * _MS_PER_S))),
    ]
    if request.key is not None:
        own.append((KEY, request.key))
    if not request.is_repeatable:
        # An extra answer that waits on a kept connection can't be taken for
        # the answer to this request, and no close can cross it.
        own.append(('Connection', 'close'))
    return (*request.headers, *own)


async def exchange(
    session: UpstreamSession,
    request: Request,
    headers: Headers,
    timeout_s: float,
) -> Sent:
    """Send once, and return the answer only when it is whole."""
    told = session.announcement
    url = URL(f'http://{told.host}:{told.port}{request.path}', encoded=True)
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)
    )
    try:
        async with session.request(
            request.method,
            url,
            headers=headers,
            body=request.body,
            timeout=timeout,
        ) as response:
            return await _judge(request, response)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return failed(UpstreamFailure.NOT_SENT, 'no connection')
    except aiohttp.InvalidURL:
        return failed(UpstreamFailure.NOT_SENT, 'path is not a valid URL')
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return failed(UpstreamFailure.BROKEN, f'no whole answer: {error!r}')


async def _judge(request: Request, response: aiohttp.ClientResponse) -> Sent:
    if response.headers.get(REQUEST_ID) != request.request_id:
        response.close()
        return failed(UpstreamFailure.BROKEN, 'answer to another request')
    body = await response.read()
    if _may_be_cut(response):
        detail = 'the connection broke before the end of the answer'
        return failed(UpstreamFailure.BROKEN, detail)
    is_refused = NOT_EXECUTED in response.headers
    if is_refused or response.status == _MISDIRECTED:
        failure = _REFUSALS.get(response.status, UpstreamFailure.REFUSED)
        return failed(failure, f'refused with {response.status}')
    return Success(
        Answer(
            response.status, end_to_end_headers(response.headers.items()), body
        )
    )


def failed(failure: UpstreamFailure, detail: str) -> Failure[UpstreamError]:
    """Return a failed exchange."""
    return Failure(UpstreamError(failure, detail))


def _may_be_cut(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer without a length may have been cut.

    aiohttp takes the end of a connection for the end of such an answer,
    however the connection ended.
    """
    headers = response.headers
    if 'Content-Length' in headers or 'Transfer-Encoding' in headers:
        return False
    if isinstance(response, WatchedResponse):
        return not response.is_closed_cleanly
    return True
