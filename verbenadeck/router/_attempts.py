"""One attempt at one door."""

import asyncio
import itertools
import random
from collections.abc import Callable

from returns.result import Failure, Success

from verbenadeck.model import (
    Answer,
    AnswerResult,
    AttemptId,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
)
from verbenadeck.peers import PeerError, PeerFailure, PeerTransport
from verbenadeck.proxy import (
    CancelAttempt,
    ForwardAnswer,
    ForwardRequest,
    Proxy,
    not_run,
    refuse,
    unknown,
)
from verbenadeck.router._stats import ProxyStats
from verbenadeck.utils import Clock

_FIRST_PAUSE_S = 0.01
_MOST_PAUSE_S = 0.2
_PREFIX_BITS = 64
_REPLY_S = 0.05
_REPLY_SHARE = 0.1
_AVOIDED = frozenset(
    (
        RefusalReason.NO_UPSTREAM,
        RefusalReason.ZONE_OUT,
        RefusalReason.DRAINING,
        RefusalReason.QUEUE_FULL,
        RefusalReason.COLD,
        RefusalReason.SHED,
        RefusalReason.UPSTREAM_FAILED,
        RefusalReason.PEER_LOST,
    )
)


class Attempts:
    """Sends attempts to doors and measures them.

    Parameters
    ----------
    proxy : Proxy
        Door of this process.
    peers : PeerTransport
        Way to other doors.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Source of the prefix that makes attempt ids unique.
    is_member : callable
        Whether a door's node is still a member.
    """

    def __init__(
        self,
        *,
        proxy: Proxy,
        peers: PeerTransport,
        clock: Clock,
        random_source: random.Random,
        is_member: Callable[[ProxyStats], bool],
    ) -> None:
        self._proxy = proxy
        self._peers = peers
        self._clock = clock
        self._is_member = is_member
        self._prefix = f'{random_source.getrandbits(_PREFIX_BITS):x}'
        self._numbers = itertools.count(1)

    async def send(
        self, target: ProxyStats, request: Request, *, is_bound: bool
    ) -> AnswerResult:
        """Return what a door answers.

        Parameters
        ----------
        target : ProxyStats
            The door.
        request : Request
            The request.
        is_bound : bool
            Whether no other door may answer, so that a lost reply is asked
            for again.
        """
        attempt_id = AttemptId(f'{self._prefix}-{next(self._numbers)}')
        started_s = self._clock.now_s()
        ticket = target.begin(started_s)
        try:
            result = await self._send(target, attempt_id, request, is_bound)
        except asyncio.CancelledError:
            self._cancel(target, attempt_id)
            now_s = self._clock.now_s()
            target.overrun(now_s - started_s, now_s)
            raise
        finally:
            target.end(ticket)
        self._measure(target, started_s, result)
        return result

    async def _send(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        is_bound: bool,
    ) -> AnswerResult:
        if target.is_local:
            result = await self._proxy.admit(attempt_id, request)
            target.take_load(self._proxy.load, self._clock.now_s())
            return result
        return await self._ask(target, attempt_id, request, is_bound)

    async def _ask(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        is_bound: bool,
    ) -> AnswerResult:
        pause_s = _FIRST_PAUSE_S
        lost: Refusal | None = None
        while True:
            reply = await self._call(target, attempt_id, request)
            if isinstance(reply, ForwardAnswer):
                target.take_load(reply.load, self._clock.now_s())
                return reply.unpack()
            lost = _worse(lost, reply)
            is_over = self._clock.now_s() + pause_s >= request.deadline_s
            if is_over or not self._is_worth_asking(target, lost, is_bound):
                return refuse(lost)
            await asyncio.sleep(pause_s)
            pause_s = min(_MOST_PAUSE_S, pause_s * 2)

    def _is_worth_asking(
        self, target: ProxyStats, lost: Refusal, is_bound: bool
    ) -> bool:
        if lost.outcome is Outcome.NOT_RUN or not is_bound:
            return False
        return self._is_member(target)

    async def _call(
        self, target: ProxyStats, attempt_id: AttemptId, request: Request
    ) -> ForwardAnswer | Refusal:
        left_s = self._clock.remaining_s(request.deadline_s)
        # What the door refuses at the deadline, such as a wait in its queue,
        # still has to arrive here: without it the outcome would be unknown.
        reply_s = min(_REPLY_S, _REPLY_SHARE * left_s)
        message = ForwardRequest.pack(attempt_id, request, left_s - reply_s)
        reply = await self._peers.call(
            target.member.address,
            message,
            deadline_s=request.deadline_s,
        )
        match reply:
            case Success(ForwardAnswer() as answer):
                return answer
            case Failure(PeerError(failure=PeerFailure.NOT_SENT)):
                return not_run(RefusalReason.PEER_LOST, 'not reachable')
        return unknown(RefusalReason.PEER_LOST, 'no reply')

    def _cancel(self, target: ProxyStats, attempt_id: AttemptId) -> None:
        if not target.is_local:
            self._peers.send_datagram(
                target.member.address, CancelAttempt(attempt_id)
            )

    def _measure(
        self, target: ProxyStats, started_s: float, result: AnswerResult
    ) -> None:
        now_s = self._clock.now_s()
        match result:
            case Success(Answer()):
                target.measure(now_s - started_s, now_s)
            case Failure(Refusal(reason=reason)) if reason in _AVOIDED:
                target.avoid(now_s)


def _worse(earlier: Refusal | None, now: Refusal) -> Refusal:
    if earlier is not None and earlier.outcome is Outcome.UNKNOWN:
        return earlier
    return now
