"""Asynchronous client for callers of the fleet's services."""

import random

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    CALLER_FORMATS,
    STANDIN_FORMAT,
    CallerFormat,
    OutgoingCall,
)
from verbenadeck.client._entries import EntryAddress, EntryTable
from verbenadeck.client._errors import CallError
from verbenadeck.client._options import ClientOptions
from verbenadeck.client._transport import Attempt, Headers, Reply, Transport
from verbenadeck.model import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
    ServiceName,
)
from verbenadeck.utils import Clock, generate_uuid7

_DEFAULT_OPTIONS = ClientOptions()
_FINAL_REASONS = frozenset(
    (
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.BAD_REQUEST,
        RefusalReason.TOO_LARGE,
        RefusalReason.POISON,
        RefusalReason.LEDGER_LOST,
        RefusalReason.UPSTREAM_FAILED,
    )
)


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Call of a service.

    Parameters
    ----------
    service : ServiceName
        Service to call.
    method : str
        HTTP method.
    path : str
        Absolute path and query for the upstream.
    key : str or None
        Key of the request, for keyed services.
    body : bytes
        Request body.
    headers : tuple of (str, str)
        End-to-end headers.
    is_repeatable : bool or None
        Whether the request may run more than once; None derives it from the
        method.
    request_id : RequestId or None
        Idempotency key; generated when None. For a request that must not
        run twice, such as a deposit, a caller stores the id and uses it
        again after a restart.
    timeout_s : float or None
        Time for all attempts together, in seconds; None takes that of the
        client's options.
    """

    service: ServiceName
    path: str
    method: str = 'GET'
    key: str | None = None
    body: bytes = b''
    headers: Headers = ()
    is_repeatable: bool | None = None
    request_id: RequestId | None = None
    timeout_s: float | None = None


class _Progress(msgspec.Struct):
    """State of a call between its attempts."""

    request_id: RequestId
    deadline_s: float
    attempts: int = 0
    may_have_run: bool = False


class Client:
    """Client that calls services through the entries of the fleet.

    The client stores the owners that answers name and sends later calls for
    the same shard directly to the owning node. When an answer is lost it
    sends the request again under the same request id, and before a retry it
    waits as long as the refusal asks. All attempts share one deadline.

    Parameters
    ----------
    entries : tuple of EntryAddress
        Addresses of some entries of the fleet, at least one.
    clock : Clock
        Clock of the VM.
    source : random.Random or None
        Generator of request ids and jitter; by default that of the system.
    caller_format : CallerFormat
        Format of paths and headers.
    options : ClientOptions
        Time-outs and limits.
    """

    def __init__(
        self,
        *,
        entries: tuple[EntryAddress, ...],
        clock: Clock | None = None,
        source: random.Random | None = None,
        caller_format: CallerFormat = CALLER_FORMATS[STANDIN_FORMAT],
        options: ClientOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self._clock = clock or Clock()
        self._source = source or random.SystemRandom()
        self._caller_format = caller_format
        self._options = options
        self._transport = Transport(
            caller_format=caller_format, options=options
        )
        self._entries = EntryTable(
            entries,
            clock=self._clock,
            source=self._source,
            avoid_s=options.avoid_s,
            owners=options.owners,
        )

    async def start(self) -> None:
        """Open the connection pool."""
        await self._transport.start()

    async def stop(self) -> None:
        """Close all connections."""
        await self._transport.stop()

    async def route(self, call: Call) -> Result[Answer, CallError]:
        """Send a call, with retries, and return the complete answer.

        Parameters
        ----------
        call : Call
            Call to send.

        Returns
        -------
        Result
            The upstream's answer, whatever its status, or a `CallError`
            whose outcome says whether the request may have run.
        """
        timeout_s = call.timeout_s or self._options.timeout_s
        progress = _Progress(
            request_id=call.request_id or self._generate_request_id(),
            deadline_s=self._clock.now_s() + timeout_s,
        )
        while True:
            reply = await self._attempt(call, progress)
            if isinstance(reply.result, Success):
                return Success(reply.result.unwrap())
            refusal = reply.result.failure()
            if refusal.outcome is Outcome.UNKNOWN:
                progress.may_have_run = True
            wait_s = self._retry_wait_s(refusal, progress)
            if not self._may_retry(refusal, progress, wait_s):
                return Failure(_make_error(refusal, progress))
            await self._clock.sleep_until(self._clock.now_s() + wait_s)

    def _generate_request_id(self) -> RequestId:
        wall_s = self._clock.wall_s()
        return RequestId(generate_uuid7(wall_s=wall_s, source=self._source))

    async def _attempt(self, call: Call, progress: _Progress) -> Reply:
        remaining_s = self._clock.remaining_s(progress.deadline_s)
        call_target = self._caller_format.write_call(
            OutgoingCall(
                service=call.service,
                path=call.path,
                request_id=progress.request_id,
                timeout_s=remaining_s,
                key=call.key,
                is_repeatable=call.is_repeatable,
                headers=call.headers,
                is_new=call.request_id is None and not progress.may_have_run,
            )
        )
        if not isinstance(call_target, Success):
            return Reply(Failure(call_target.failure()))
        target, headers = call_target.unwrap()
        entry = self._entries.choose_entry(call.service, call.key)
        progress.attempts += 1
        reply = await self._transport.send(
            Attempt(
                entry=entry,
                method=call.method,
                target=target,
                headers=headers,
                body=call.body,
                timeout_s=min(remaining_s, self._options.attempt_timeout_s),
            )
        )
        self._update_entries(call, entry, reply)
        return reply

    def _update_entries(
        self, call: Call, entry: EntryAddress, reply: Reply
    ) -> None:
        if reply.is_entry_bad:
            self._entries.mark_avoided(entry)
        if call.key is None:
            return
        if reply.hint is not None:
            self._entries.set_owner(call.service, call.key, reply.hint)
        elif not isinstance(reply.result, Success):
            self._entries.remove_owner(call.service, call.key)

    def _retry_wait_s(self, refusal: Refusal, progress: _Progress) -> float:
        backoff_factor = 2.0 ** (progress.attempts - 1)
        backoff_s = self._options.backoff_s * backoff_factor
        jittered_s = backoff_s * self._source.uniform(0.5, 1.5)
        hinted_s = max(refusal.retry_after_s, jittered_s)
        return min(hinted_s, self._options.longest_wait_s)

    def _may_retry(
        self, refusal: Refusal, progress: _Progress, wait_s: float
    ) -> bool:
        if refusal.reason in _FINAL_REASONS:
            return False
        if progress.attempts >= self._options.attempts:
            return False
        return self._clock.now_s() + wait_s < progress.deadline_s


def _make_error(refusal: Refusal, progress: _Progress) -> CallError:
    # The outcome of a refusal holds for its own attempt only; an earlier
    # attempt whose answer was lost may have run.
    may_have_run = progress.may_have_run
    return CallError(
        request_id=progress.request_id,
        outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        reason=refusal.reason,
        attempts=progress.attempts,
        detail=refusal.detail,
    )
