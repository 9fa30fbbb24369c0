"""HTTP exchange of one request with the instance beside a node."""

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
    describe_broken_answer,
    end_to_end_headers,
)
from verbenadeck.model import Answer, Request
from verbenadeck.platform._callers import (
    DEADLINE_HEADER,
    EXPECTED_INSTANCE_HEADER,
    REQUEST_ID_HEADER,
    SHARD_KEY_HEADER,
)
from verbenadeck.utils import reply_margin_s

NOT_EXECUTED = 'Not-Executed'
"""Response header of an instance that did not run the request."""

CONNECT_TIMEOUT_S = 0.5
"""Time in seconds to open a connection on the same VM."""

_MISDIRECTED_REQUEST = 421
_FAILURES_BY_STATUS = MappingProxyType(
    {
        400: UpstreamFailure.REFUSED,
        _MISDIRECTED_REQUEST: UpstreamFailure.FENCED,
        429: UpstreamFailure.SHED,
        503: UpstreamFailure.SHED,
    }
)
_MS_PER_S = 1000

SendResult = Result[Answer, UpstreamError]
"""Answer of an instance, or how the exchange failed."""


def make_request_headers(
    request: Request, instance: str, remaining_s: float
) -> Headers:
    """Return the headers with which a request goes to the instance.

    Parameters
    ----------
    request : Request
        The request.
    instance : str
        Name of the instance that is to run it; another one refuses it.
    remaining_s : float
        Seconds until the deadline of the request.
    """
    # The instance stops at its deadline and says so. Without that answer the
    # slot of the request would be kept, since the instance might still run it.
    instance_s = remaining_s - reply_margin_s(remaining_s)
    node_headers = [
        (REQUEST_ID_HEADER, str(request.request_id)),
        (EXPECTED_INSTANCE_HEADER, instance),
        (DEADLINE_HEADER, str(int(instance_s * _MS_PER_S))),
    ]
    if request.key is not None:
        node_headers.append((SHARD_KEY_HEADER, request.key))
    if not request.is_repeatable:
        # The connection is new and not used again.
        node_headers.append(('Connection', 'close'))
    return (*request.headers, *node_headers)


async def exchange(
    session: UpstreamSession,
    request: Request,
    headers: Headers,
    timeout_s: float,
) -> SendResult:
    """Send a request once and return the answer if it is complete.

    Parameters
    ----------
    session : UpstreamSession
        Connections to the instance.
    request : Request
        The request.
    headers : tuple of (str, str)
        Headers as sent.
    timeout_s : float
        Seconds after which the exchange is abandoned.
    """
    announcement = session.announcement
    url = URL(
        f'http://{announcement.host}:{announcement.port}{request.path}',
        encoded=True,
    )
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
            is_pooled=request.is_repeatable,
        ) as response:
            return await _read_answer(request, response)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return make_failure(
            UpstreamFailure.NOT_SENT, 'no connection to the instance'
        )
    except aiohttp.InvalidURL:
        return make_failure(
            UpstreamFailure.NOT_SENT, 'the path is not a valid URL'
        )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return make_failure(
            UpstreamFailure.BROKEN, describe_broken_answer(error)
        )


async def _read_answer(
    request: Request, response: aiohttp.ClientResponse
) -> SendResult:
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        response.close()
        return make_failure(
            UpstreamFailure.BROKEN, 'the answer has another request id'
        )
    body = await response.read()
    if _may_be_truncated(response):
        detail = 'the connection failed before the end of the answer'
        return make_failure(UpstreamFailure.BROKEN, detail)
    is_refused = NOT_EXECUTED in response.headers
    if is_refused or response.status == _MISDIRECTED_REQUEST:
        failure = _FAILURES_BY_STATUS.get(
            response.status, UpstreamFailure.REFUSED
        )
        return make_failure(
            failure, f'the instance refused with status {response.status}'
        )
    return Success(
        Answer(
            response.status, end_to_end_headers(response.headers.items()), body
        )
    )


def make_failure(
    failure: UpstreamFailure, detail: str
) -> Failure[UpstreamError]:
    """Return the result of a failed exchange.

    Parameters
    ----------
    failure : UpstreamFailure
        What is known about the request.
    detail : str
        Cause, for logs.
    """
    return Failure(UpstreamError(failure, detail))


def _may_be_truncated(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer without a length may be truncated.

    aiohttp takes the end of the connection for the end of such an answer,
    also when the connection was reset.
    """
    headers = response.headers
    if 'Content-Length' in headers or 'Transfer-Encoding' in headers:
        return False
    if isinstance(response, WatchedResponse):
        return not response.is_closed_cleanly
    return True
