"""Sending of one attempt to one proxy."""

import asyncio
import itertools
import random
from collections.abc import Callable

import msgspec
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
    refusal_of,
    refuse,
    unknown,
)
from verbenadeck.router._outcomes import merge_outcome
from verbenadeck.router._stats import ProxyStats
from verbenadeck.router._transfers import (
    MIN_BODY_BYTES,
    BodyTransfers,
    TransferClient,
)
from verbenadeck.utils import Clock, reply_margin_s

_MIN_RESEND_PAUSE_S = 0.01
_MAX_RESEND_PAUSE_S = 0.2
_ID_PREFIX_BITS = 64
_COOLDOWN_REASONS = frozenset(
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


class AttemptSender:
    """Sender of attempts to proxies that also records their statistics.

    Parameters
    ----------
    proxy : Proxy
        Proxy of this process, called directly.
    peers : PeerTransport
        Transport to the proxies of other nodes.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Generator of the prefix that makes attempt ids unique.
    is_member : callable
        Returns whether the node of a proxy is still a member.
    reserves_transfers : bool
        Whether transfers of large bodies to other nodes are reserved.
    """

    def __init__(
        self,
        *,
        proxy: Proxy,
        peers: PeerTransport,
        clock: Clock,
        random_source: random.Random,
        is_member: Callable[[ProxyStats], bool],
        reserves_transfers: bool = False,
    ) -> None:
        self._proxy = proxy
        self._peers = peers
        self._clock = clock
        self._is_member = is_member
        self._reserves_transfers = reserves_transfers
        self._transfer_client = TransferClient(peers=peers, clock=clock)
        self._id_prefix = f'{random_source.getrandbits(_ID_PREFIX_BITS):x}'
        self._attempt_numbers = itertools.count(1)

    async def send(
        self,
        target: ProxyStats,
        request: Request,
        *,
        transfers: BodyTransfers,
        is_owner: bool,
    ) -> AnswerResult:
        """Send a request to a proxy and return its answer or refusal.

        Parameters
        ----------
        target : ProxyStats
            Proxy to send to.
        request : Request
            Request to send.
        transfers : BodyTransfers
            Transfers of the request's body so far, updated by this call.
        is_owner : bool
            Whether the target owns the request's shard. No other proxy may
            answer then, so the attempt is sent again when its reply is lost.
        """
        attempt_id = AttemptId(
            f'{self._id_prefix}-{next(self._attempt_numbers)}'
        )
        started_s = self._clock.now_s()
        attempt_number = target.add_attempt(started_s)
        try:
            result = await self._send(
                target, attempt_id, request, transfers, is_owner
            )
        except asyncio.CancelledError:
            self._cancel(target, attempt_id)
            now_s = self._clock.now_s()
            target.record_abandoned(now_s - started_s, now_s)
            raise
        finally:
            target.remove_attempt(attempt_number)
        self._record_result(target, started_s, result)
        return result

    async def _send(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        transfers: BodyTransfers,
        is_owner: bool,
    ) -> AnswerResult:
        if target.is_local:
            result = await self._proxy.admit(attempt_id, request)
            target.record_load(self._proxy.load, self._clock.now_s())
            return result
        return await self._forward_until_answered(
            target, attempt_id, request, transfers, is_owner
        )

    async def _forward_until_answered(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        transfers: BodyTransfers,
        is_owner: bool,
    ) -> AnswerResult:
        pause_s = _MIN_RESEND_PAUSE_S
        lost: Refusal | None = None
        while True:
            refusal = await self._reserve(
                target,
                attempt_id,
                request,
                transfers,
                is_owner=is_owner,
                is_resend=lost is not None,
            )
            reply = refusal or await self._forward(
                target, attempt_id, request, transfers
            )
            if isinstance(reply, ForwardAnswer):
                target.record_load(reply.load, self._clock.now_s())
                is_same = reply.incarnation == target.member.incarnation
                return _merge_lost(reply.unpack(), None if is_same else lost)
            lost = _prefer_unknown(lost, reply)
            if lost.outcome is Outcome.UNKNOWN:
                request = as_resent(request)
            elif refusal is None and self._needs_reservation(request):
                # No send of the attempt can run, so its place is free.
                self._cancel(target, attempt_id)
            is_over = (
                transfers.are_used_up
                or self._clock.now_s() + pause_s >= request.deadline_s
            )
            if is_over or not self._may_resend(target, lost, is_owner):
                return refuse(lost)
            await asyncio.sleep(pause_s)
            pause_s = min(_MAX_RESEND_PAUSE_S, pause_s * 2)

    def _may_resend(
        self, target: ProxyStats, lost: Refusal, is_owner: bool
    ) -> bool:
        if lost.outcome is Outcome.NOT_RUN or not is_owner:
            return False
        return self._is_member(target)

    async def _reserve(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        transfers: BodyTransfers,
        *,
        is_owner: bool,
        is_resend: bool,
    ) -> Refusal | None:
        """Return why a request must not be sent to a proxy, or None.

        It waits until the body may be sent.
        """
        if not self._needs_reservation(request):
            return None
        reserved = await self._transfer_client.reserve(
            target,
            attempt_id,
            request,
            is_owner=is_owner,
            is_resend=is_resend,
        )
        refusal = refusal_of(reserved)
        if refusal is not None:
            return transfers.record_refusal(
                target, refusal, self._clock.now_s()
            )
        await self._clock.sleep_until(reserved.unwrap())
        if transfers.are_used_up:
            # Hedged attempts have sent the body as often as allowed.
            self._cancel(target, attempt_id)
            return _used_up_refusal()
        return None

    def _needs_reservation(self, request: Request) -> bool:
        return self._reserves_transfers and len(request.body) >= MIN_BODY_BYTES

    async def _forward(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        transfers: BodyTransfers,
    ) -> ForwardAnswer | Refusal:
        is_counted = self._needs_reservation(request)
        if is_counted:
            transfers.add_send()
        left_s = self._clock.remaining_s(request.deadline_s)
        message = ForwardRequest.pack(
            attempt_id, request, left_s - reply_margin_s(left_s)
        )
        reply = await self._peers.call(
            target.member.address,
            message,
            deadline_s=request.deadline_s,
        )
        match reply:
            case Success(ForwardAnswer() as answer):
                return answer
            case Failure(
                PeerError(failure=PeerFailure.NOT_SENT, has_used_link=used_link)
            ):
                if is_counted and not used_link:
                    transfers.remove_send()
                return not_run(
                    RefusalReason.PEER_LOST, 'the proxy did not get the request'
                )
        return unknown(RefusalReason.PEER_LOST, 'no reply from proxy')

    def _cancel(self, target: ProxyStats, attempt_id: AttemptId) -> None:
        if not target.is_local:
            self._peers.send_datagram(
                target.member.address, CancelAttempt(attempt_id)
            )

    def _record_result(
        self, target: ProxyStats, started_s: float, result: AnswerResult
    ) -> None:
        now_s = self._clock.now_s()
        match result:
            case Success(Answer()):
                target.record_latency(now_s - started_s, now_s)
            case Failure(Refusal(reason=reason)) if reason in _COOLDOWN_REASONS:
                target.start_cooldown(now_s)


def as_resent(request: Request) -> Request:
    """Return a request whose earlier send may have run.

    Parameters
    ----------
    request : Request
        Request that is sent again.
    """
    if not request.is_new:
        return request
    return msgspec.structs.replace(request, is_new=False)


def _merge_lost(result: AnswerResult, lost: Refusal | None) -> AnswerResult:
    """Return a result with the outcome of an earlier send that was lost.

    The process that got the earlier send has ended, so that a refusal by its
    successor says nothing about it.
    """
    is_uncertain = lost is not None and lost.outcome is Outcome.UNKNOWN
    return result.alt(
        lambda refusal: merge_outcome(refusal, is_uncertain=is_uncertain)
    )


def _used_up_refusal() -> Refusal:
    return not_run(
        RefusalReason.QUEUE_FULL, 'the body was sent as often as allowed'
    )


def _prefer_unknown(earlier: Refusal | None, now: Refusal) -> Refusal:
    if earlier is not None and earlier.outcome is Outcome.UNKNOWN:
        return earlier
    return now
