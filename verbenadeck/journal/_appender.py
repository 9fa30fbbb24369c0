"""Appends a record again and again until it is read back."""

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
from verbenadeck.journal._waiters import wait_until
from verbenadeck.peers import PeerAddress, PeerError, PeerFailure, PeerTransport
from verbenadeck.utils import Clock

_log = logger.bind(part='journal')
_Lost = LogFailure | None


class AppendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of appending.

    Parameters
    ----------
    answer_timeout_s : float
        Longest wait for the answer to one append.
    readback_timeout_s : float
        Wait for the read-back after a lost answer.
    retry_s : float
        Mean wait after an append that certainly failed.
    """

    answer_timeout_s: float = 1
    readback_timeout_s: float = 0.5
    retry_s: float = 0.2


class Appender:
    """Appends through the log's adapter and, when that fails, a peer.

    The same bytes are appended each time, so repeats take effect once. The
    answers matter only for what is known about a record that was never read
    back.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    transport : PeerTransport or None
        Way to peers.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Spreads retries and picks peers.
    helpers : callable
        Returns the addresses of peers that may append for this node.
    options : AppendOptions
        Options.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        transport: PeerTransport | None,
        clock: Clock,
        random_source: random.Random,
        helpers: Callable[[], tuple[PeerAddress, ...]],
        options: AppendOptions,
    ) -> None:
        self._adapter = adapter
        self._transport = transport
        self._clock = clock
        self._random = random_source
        self._helpers = helpers
        self._options = options

    async def append(
        self, proposal: Proposal, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        """Append until the record is read back or the deadline comes."""
        failure = JournalFailure.NOT_APPENDED
        peer: PeerAddress | None = None
        while self._clock.now_s() < deadline_s:
            lost = await self._attempt(proposal, peer, deadline_s)
            if lost is not LogFailure.NOT_APPENDED:
                failure = JournalFailure.UNKNOWN
            wait_s = min(deadline_s, self._repeat_at_s(lost, deadline_s))
            if await wait_until(proposal.applied, self._clock, wait_s):
                return Success(proposal.applied.result())
            peer = self._next_peer(peer)
        detail = f'record {proposal.sequence} was not read back in time'
        return Failure(JournalError(failure, detail))

    async def _attempt(
        self, proposal: Proposal, peer: PeerAddress | None, deadline_s: float
    ) -> _Lost:
        """Append once; return early when the record is read back."""
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
    ) -> _Lost:
        payload = proposal.payload
        if peer is not None and self._transport is not None:
            reply = await self._transport.call(
                peer, RelayAppend(payload), deadline_s=deadline_s
            )
            return _lost_by_peer(reply)
        answer = await self._adapter.append(
            payload, deadline_s=deadline_s, name=proposal.name
        )
        return None if is_successful(answer) else answer.failure().failure

    def _repeat_at_s(self, lost: _Lost, deadline_s: float) -> float:
        """Return when to append again unless the record is read back."""
        now_s = self._clock.now_s()
        if lost is None:
            return deadline_s
        if lost is LogFailure.NOT_APPENDED:
            spread = self._random.uniform(0.5, 1.5)
            return now_s + self._options.retry_s * spread
        return now_s + self._options.readback_timeout_s

    def _next_peer(self, last: PeerAddress | None) -> PeerAddress | None:
        """Alternate between the log and a peer chosen at random."""
        helpers = self._helpers()
        if last is not None or not helpers:
            return None
        peer = self._random.choice(helpers)
        _log.info('append through peer {}', peer)
        return peer


def _lost_by_peer(reply: Result[object, PeerError]) -> _Lost:
    """Return what is known about an append through a peer."""
    match reply:
        case Success(RelayAppended(failure)):
            return failure
        case Failure(PeerError(PeerFailure.NOT_SENT)):
            return LogFailure.NOT_APPENDED
    return LogFailure.UNKNOWN
