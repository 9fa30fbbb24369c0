"""Reservations of transfers before large bodies are sent to other nodes."""

import math

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.model import (
    AttemptId,
    Incarnation,
    Refusal,
    RefusalReason,
    Request,
)
from verbenadeck.peers import PeerError, PeerFailure, PeerTransport
from verbenadeck.proxy import (
    CancelAttempt,
    ReserveTransfer,
    TransferReply,
    not_run,
)
from verbenadeck.router._stats import ProxyStats
from verbenadeck.utils import Clock, reply_margin_s

MIN_BODY_BYTES = 16_384
"""Size from which on a body needs a reservation. A smaller one occupies a link
of 5 Mbit/s for less than the round trips that a reservation costs between
zones and the wait behind other messages."""

RESERVE_TIMEOUT_S = 0.25
"""Time for the reply to a reservation, in seconds: as long as bodies may occupy
the link of a proxy."""

_MAX_SENDS = 2
_MAX_REFUSING_PROXIES = 4
_MIN_RETRY_AFTER_S = 0.01


class BodyTransfers:
    """Transfers of the body of one request and their refusals.

    A body is sent to other nodes at most twice, and at most four proxies are
    asked for a transfer that they refuse.
    """

    __slots__ = ('_refusing_proxies', '_retry_at_s', '_send_count')

    def __init__(self) -> None:
        self._send_count = 0
        self._refusing_proxies: set[Incarnation] = set()
        self._retry_at_s = math.inf

    @property
    def are_used_up(self) -> bool:
        """Whether the body must not be sent again."""
        is_refused = len(self._refusing_proxies) >= _MAX_REFUSING_PROXIES
        return is_refused or self._send_count >= _MAX_SENDS

    def add_send(self) -> None:
        """Count a transfer that is about to start."""
        self._send_count += 1

    def remove_send(self) -> None:
        """Uncount a transfer of which nothing was sent."""
        self._send_count -= 1

    def record_refusal(
        self, target: ProxyStats, refusal: Refusal, now_s: float
    ) -> Refusal:
        """Record a refusal; return it with the earliest retry time so far.

        Parameters
        ----------
        target : ProxyStats
            Proxy that refused.
        refusal : Refusal
            Refusal of the transfer.
        now_s : float
            Time now, in seconds.
        """
        self._refusing_proxies.add(target.member.incarnation)
        if refusal.retry_after_s > 0:
            self._retry_at_s = min(
                self._retry_at_s, now_s + refusal.retry_after_s
            )
        if math.isinf(self._retry_at_s):
            return refusal
        return msgspec.structs.replace(
            refusal,
            retry_after_s=max(_MIN_RETRY_AFTER_S, self._retry_at_s - now_s),
        )


class TransferClient:
    """Client that asks proxies on other nodes whether a body may be sent.

    Parameters
    ----------
    peers : PeerTransport
        Transport to the proxies.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, peers: PeerTransport, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock

    async def reserve(
        self,
        target: ProxyStats,
        attempt_id: AttemptId,
        request: Request,
        *,
        is_owner: bool,
        is_resend: bool,
    ) -> Result[float, Refusal]:
        """Return the time from which the body may be sent, in seconds.

        The result is a refusal if the body must not be sent. A proxy that rejects the message is of an earlier release or not
        connected. The body is then sent without a reservation, which fails
        at once without a connection.

        Parameters
        ----------
        target : ProxyStats
            Proxy to ask.
        attempt_id : AttemptId
            Attempt that the body belongs to.
        request : Request
            Request with the body.
        is_owner : bool
            Whether the target owns the request's shard.
        is_resend : bool
            Whether the attempt was sent before, so that it may be running.
        """
        now_s = self._clock.now_s()
        left_s = request.deadline_s - now_s
        reply = await self._peers.call(
            target.member.address,
            ReserveTransfer.pack(
                attempt_id, request, left_s - reply_margin_s(left_s)
            ),
            deadline_s=min(request.deadline_s, now_s + RESERVE_TIMEOUT_S),
        )
        match reply:
            case Success(TransferReply() as decided):
                replied_s = self._clock.now_s()
                target.record_load(decided.load, replied_s)
                if decided.refusal is not None:
                    return Failure(decided.refusal)
                return Success(replied_s + decided.start_after_s)
            case Failure(PeerError(failure=PeerFailure.NOT_SENT)):
                return Success(now_s)
        if not is_resend:
            # Ends a reservation whose reply was lost.
            self._peers.send_datagram(
                target.member.address, CancelAttempt(attempt_id)
            )
        return Failure(_no_reply_refusal(is_owner=is_owner))


def _no_reply_refusal(*, is_owner: bool) -> Refusal:
    """Return the refusal of a proxy that did not reply.

    The router waits for the successor of a lost owner, and sends other
    requests to another proxy.
    """
    reason = RefusalReason.PEER_LOST if is_owner else RefusalReason.QUEUE_FULL
    return not_run(
        reason,
        'no reply to the reservation of a transfer',
        retry_after_s=RESERVE_TIMEOUT_S,
    )
