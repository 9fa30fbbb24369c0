"""Retry of appends until the record is read back from the log."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogAdapter, LogFailure
from verbenadeck.journal._interface import (
    AppliedRecord,
    JournalError,
    JournalFailure,
)
from verbenadeck.journal._messages import RelayAppend, RelayAppended
from verbenadeck.journal._proposals import Proposal
from verbenadeck.journal._waiters import wait_for_future
from verbenadeck.peers import PeerAddress, PeerError, PeerFailure, PeerTransport
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')
_AppendFailure = LogFailure | None


class AppendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and retry interval of appends.

    Parameters
    ----------
    answer_timeout_s : float
        Maximum wait in seconds for the answer to one append.
    readback_timeout_s : float
        Wait in seconds for the record to be read back after an append
        whose outcome is unknown.
    retry_s : float
        Mean wait in seconds after an append that certainly had no effect.
    """

    answer_timeout_s: float = 1
    readback_timeout_s: float = 0.5
    retry_s: float = 0.2


class Appender:
    """Appender that alternates between the log and a peer until it succeeds.

    Every attempt appends the same bytes, so that readers apply a record
    once even if it is in the log several times. Success is determined by
    reading the record back; the answers to appends only determine whether
    an append that was not read back is reported as `NOT_APPENDED` or as
    `UNKNOWN`.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    transport : PeerTransport or None
        Transport to other nodes; None disables appends through peers.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of the retry jitter and of the choice of peers.
    helpers : callable
        Returns the addresses of peers that may append for this node.
    options : AppendOptions
        Timeouts and retry interval.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        transport: PeerTransport | None,
        clock: Clock,
        random_source: random.Random,
        relay_peers: Callable[[], tuple[PeerAddress, ...]],
        options: AppendOptions,
    ) -> None:
        self._adapter = adapter
        self._transport = transport
        self._clock = clock
        self._random = random_source
        self._relay_peers = relay_peers
        self._options = options

    async def append(
        self, proposal: Proposal, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        """Append until the record is read back or the deadline passes."""
        failure = JournalFailure.NOT_APPENDED
        peer: PeerAddress | None = None
        while self._clock.now_s() < deadline_s:
            append_failure = await self._append_until_readback(
                proposal, peer, deadline_s
            )
            if append_failure is not LogFailure.NOT_APPENDED:
                failure = JournalFailure.UNKNOWN
            retry_at_s = min(
                deadline_s,
                self._readback_deadline_s(append_failure, deadline_s),
            )
            if await wait_for_future(proposal.applied, self._clock, retry_at_s):
                return Success(proposal.applied.result())
            peer = self._next_peer(peer)
        detail = f'record {proposal.sequence} was not read back in time'
        return Failure(JournalError(failure, detail))

    async def _append_until_readback(
        self, proposal: Proposal, peer: PeerAddress | None, deadline_s: float
    ) -> _AppendFailure:
        """Append once; return early if the record is read back meanwhile."""
        answer_at_s = self._clock.now_s() + self._options.answer_timeout_s
        attempt = asyncio.ensure_future(
            self._append_once(proposal, peer, min(deadline_s, answer_at_s))
        )
        try:
            await asyncio.wait(
                (attempt, proposal.applied),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            attempt.cancel()
        await asyncio.wait((attempt,))
        return LogFailure.UNKNOWN if attempt.cancelled() else attempt.result()

    async def _append_once(
        self, proposal: Proposal, peer: PeerAddress | None, deadline_s: float
    ) -> _AppendFailure:
        payload = proposal.payload
        if peer is not None and self._transport is not None:
            reply = await self._transport.call(
                peer,
                RelayAppend(payload, proposal.name, proposal.generation),
                deadline_s=deadline_s,
            )
            return _failure_by_peer(reply)
        answer = await self._adapter.append(
            payload,
            deadline_s=deadline_s,
            name=proposal.name,
            generation=proposal.generation,
        )
        return None if is_successful(answer) else answer.failure().failure

    def _readback_deadline_s(
        self, append_failure: _AppendFailure, deadline_s: float
    ) -> float:
        """Return until when to wait for the read-back before a retry."""
        now_s = self._clock.now_s()
        if append_failure is None:
            return deadline_s
        if append_failure is LogFailure.NOT_APPENDED:
            spread = self._random.uniform(0.5, 1.5)
            return now_s + self._options.retry_s * spread
        return now_s + self._options.readback_timeout_s

    def _next_peer(self, last: PeerAddress | None) -> PeerAddress | None:
        """Return None for the log or a random peer, in alternation."""
        relay_peers = self._relay_peers()
        if last is not None or not relay_peers:
            return None
        peer = self._random.choice(relay_peers)
        _log.info('append was not confirmed; retrying through peer {}', peer)
        return peer


def _failure_by_peer(reply: Result[object, PeerError]) -> _AppendFailure:
    """Return the failure of an append through a peer, None on success."""
    match reply:
        case Success(RelayAppended(failure)):
            return failure
        case Failure(PeerError(PeerFailure.NOT_SENT)):
            return LogFailure.NOT_APPENDED
    return LogFailure.UNKNOWN
