"""HTTP transport for the attempts of a call."""

from collections.abc import Mapping

import aiohttp
import msgspec
from returns.result import Failure

from verbenadeck.adapters import CallerFormat, CheckedConnector, OwnerHint
from verbenadeck.client._entries import EntryAddress
from verbenadeck.client._options import ClientOptions
from verbenadeck.model import AnswerResult, Outcome, Refusal, RefusalReason

_READ_CHUNK_BYTES = 65_536

Headers = tuple[tuple[str, str], ...]


class _AnswerLostError(Exception):
    """The connection failed after the request may have been sent."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request without aiohttp's automatic retry.

    aiohttp resends idempotent methods on connection errors. The client must
    see each failure, so that it stops sending to an owner that is lost;
    aiohttp does not retry after an error of a type that it does not know.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _AnswerLostError(str(error)) from error


class Attempt(msgspec.Struct, frozen=True):
    """HTTP request of one attempt.

    Parameters
    ----------
    entry : EntryAddress
        Entry to send to.
    method : str
        HTTP method.
    target : str
        Path and query at the entry.
    headers : tuple of (str, str)
        Request headers.
    body : bytes
        Request body.
    timeout_s : float
        Time for the attempt, in seconds.
    """

    entry: EntryAddress
    method: str
    target: str
    headers: Headers
    body: bytes
    timeout_s: float


class Reply(msgspec.Struct, frozen=True):
    """Result of one attempt.

    Parameters
    ----------
    result : AnswerResult
        Answer or refusal.
    hint : OwnerHint or None
        Owner of the key, when the answer names it.
    is_entry_bad : bool
        Whether the entry failed or is leaving, so that others should be
        preferred for a while.
    """

    result: AnswerResult
    hint: OwnerHint | None = None
    is_entry_bad: bool = False


_AMBIGUOUS_ERRORS = (
    _AnswerLostError,
    aiohttp.ClientError,
    OSError,
    ValueError,
)


class Transport:
    """Transport that sends attempts over a connection pool.

    Parameters
    ----------
    caller_format : CallerFormat
        Format of paths and headers.
    options : ClientOptions
        Time-outs and limits.
    """

    def __init__(
        self, *, caller_format: CallerFormat, options: ClientOptions
    ) -> None:
        self._caller_format = caller_format
        self._options = options
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=CheckedConnector(
                limit=0, limit_per_host=self._options.connections
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_send_once,),
        )

    async def stop(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def send(self, attempt: Attempt) -> Reply:
        """Send one attempt; a failure of the connection becomes a refusal."""
        try:
            return await self._exchange(attempt)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return _connection_failure(
                Outcome.NOT_RUN, f'connection failed: {error}'
            )
        except TimeoutError:
            return _connection_failure(
                Outcome.UNKNOWN, 'no answer before the time-out'
            )
        except _AMBIGUOUS_ERRORS as error:
            return _connection_failure(
                Outcome.UNKNOWN, f'answer lost: {error!r}'
            )

    async def _exchange(self, attempt: Attempt) -> Reply:
        if self._session is None:
            raise RuntimeError('the client is not started')
        host, port = attempt.entry
        url_host = f'[{host}]' if ':' in host else host
        async with self._session.request(
            attempt.method,
            f'http://{url_host}:{port}{attempt.target}',
            headers=attempt.headers,
            data=attempt.body or None,
            allow_redirects=False,
            timeout=self._timeout(attempt),
        ) as response:
            body = await self._read(response)
            return self._reply(response, body)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        body = bytearray()
        async for chunk in response.content.iter_chunked(_READ_CHUNK_BYTES):
            body += chunk
            if len(body) > self._options.answer_limit_bytes:
                raise ValueError('the answer is too large')
        return bytes(body)

    def _reply(self, response: aiohttp.ClientResponse, body: bytes) -> Reply:
        headers = tuple(response.headers.items())
        return Reply(
            result=self._caller_format.read_answer(
                response.status, headers, body
            ),
            hint=self._caller_format.read_owner_hint(headers),
            is_entry_bad=_is_leaving(response.headers),
        )

    def _timeout(self, attempt: Attempt) -> aiohttp.ClientTimeout:
        connect_s = min(self._options.connect_timeout_s, attempt.timeout_s)
        return aiohttp.ClientTimeout(
            total=attempt.timeout_s, sock_connect=connect_s
        )


def _is_leaving(headers: Mapping[str, str]) -> bool:
    return headers.get('Connection', '').lower() == 'close'


def _connection_failure(outcome: Outcome, detail: str) -> Reply:
    refusal = Refusal(outcome, RefusalReason.PEER_LOST, detail=detail)
    return Reply(Failure(refusal), is_entry_bad=True)
