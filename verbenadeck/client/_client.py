"""Asynchronous client of the fleet for callers."""

import random

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    CALLER_FORMATS,
    STANDIN_FORMAT,
    CallerFormat,
    OutgoingCall,
)
from verbenadeck.client._entries import Entries, EntryAddress
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

_DEFAULTS = ClientOptions()
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
    """Request of a caller.

    Parameters
    ----------
    service : ServiceName
        Service.
    method : str
        HTTP method.
    path : str
        Absolute path and query for the upstream.
    key : str or None
        Key, for services divided by key.
    body : bytes
        Body.
    headers : tuple of (str, str)
        End-to-end headers.
    is_repeatable : bool or None
        Override of what the method implies.
    request_id : RequestId or None
        Idempotency key; minted when None. A deposit that must not be taken
        twice keeps its id over restarts of the caller.
    timeout_s : float or None
        Time for all attempts together.
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
    """What is known about a call between its attempts."""

    request_id: RequestId
    deadline_s: float
    attempts: int = 0
    may_have_run: bool = False


class Client:
    """Calls services through the fleet.

    It learns owners from hints in answers and goes straight to the owning
    node, sends the same request id again when an answer is lost, and waits
    as refusals ask. All attempts share one deadline.

    Parameters
    ----------
    entries : tuple of EntryAddress
        Some entries of the fleet, at least one.
    clock : Clock
        Clock of the VM.
    source : random.Random or None
        Source of request ids and of jitter; by default the system's.
    caller_format : CallerFormat
        Header names.
    options : ClientOptions
        Bounds.
    """

    def __init__(
        self,
        *,
        entries: tuple[EntryAddress, ...],
        clock: Clock | None = None,
        source: random.Random | None = None,
        caller_format: CallerFormat = CALLER_FORMATS[STANDIN_FORMAT],
        options: ClientOptions = _DEFAULTS,
    ) -> None:
        self._clock = clock or Clock()
        self._source = source or random.SystemRandom()
        self._caller_format = caller_format
        self._options = options
        self._transport = Transport(
            caller_format=caller_format, options=options
        )
        self._entries = Entries(
            entries,
            clock=self._clock,
            source=self._source,
            avoid_s=options.avoid_s,
            owners=options.owners,
        )

    async def start(self) -> None:
        """Open the pool of connections."""
        await self._transport.start()

    async def stop(self) -> None:
        """Close all connections."""
        await self._transport.stop()

    async def route(self, call: Call) -> Result[Answer, CallError]:
        """Return the complete answer to a call.

        Parameters
        ----------
        call : Call
            Request.

        Returns
        -------
        Result
            The upstream's answer, whatever its status, or a `CallError`
            whose outcome says whether the request may have run.
        """
        timeout_s = call.timeout_s or self._options.timeout_s
        progress = _Progress(
            request_id=call.request_id or self._mint(),
            deadline_s=self._clock.now_s() + timeout_s,
        )
        while True:
            reply = await self._attempt(call, progress)
            if isinstance(reply.result, Success):
                return Success(reply.result.unwrap())
            refusal = reply.result.failure()
            if refusal.outcome is Outcome.UNKNOWN:
                progress.may_have_run = True
            wait_s = self._wait_s(refusal, progress)
            if not self._is_worth_retry(refusal, progress, wait_s):
                return Failure(_error_of(refusal, progress))
            await self._clock.sleep_until(self._clock.now_s() + wait_s)

    def _mint(self) -> RequestId:
        wall_s = self._clock.wall_s()
        return RequestId(generate_uuid7(wall_s=wall_s, source=self._source))

    async def _attempt(self, call: Call, progress: _Progress) -> Reply:
        remaining_s = self._clock.remaining_s(progress.deadline_s)
        written = self._caller_format.write_call(
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
        if not isinstance(written, Success):
            return Reply(Failure(written.failure()))
        target, headers = written.unwrap()
        entry = self._entries.choose(call.service, call.key)
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
        self._learn(call, entry, reply)
        return reply

    def _learn(self, call: Call, entry: EntryAddress, reply: Reply) -> None:
        if reply.is_entry_bad:
            self._entries.avoid(entry)
        if call.key is None:
            return
        if reply.hint is not None:
            self._entries.learn(call.service, call.key, reply.hint)
        elif not isinstance(reply.result, Success):
            self._entries.forget(call.service, call.key)

    def _wait_s(self, refusal: Refusal, progress: _Progress) -> float:
        doubled = 2.0 ** (progress.attempts - 1)
        backoff_s = self._options.backoff_s * doubled
        jittered_s = backoff_s * self._source.uniform(0.5, 1.5)
        hinted_s = max(refusal.retry_after_s, jittered_s)
        return min(hinted_s, self._options.longest_wait_s)

    def _is_worth_retry(
        self, refusal: Refusal, progress: _Progress, wait_s: float
    ) -> bool:
        if refusal.reason in _FINAL_REASONS:
            return False
        if progress.attempts >= self._options.attempts:
            return False
        return self._clock.now_s() + wait_s < progress.deadline_s


def _error_of(refusal: Refusal, progress: _Progress) -> CallError:
    # A refusal speaks of its own attempt only; an earlier one whose answer
    # was lost may still have run.
    may_have_run = progress.may_have_run
    return CallError(
        request_id=progress.request_id,
        outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        reason=refusal.reason,
        attempts=progress.attempts,
        detail=refusal.detail,
    )
