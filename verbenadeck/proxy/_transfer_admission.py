"""Decision whether a router may send the body of an attempt."""

from returns.result import Failure, Result, Success

from verbenadeck.fleet import request_shard
from verbenadeck.logs import make_decision_logger
from verbenadeck.model import Refusal, RefusalReason, Request, Shard
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy._components import ProxyComponents
from verbenadeck.proxy._refusals import not_run, refusal_of
from verbenadeck.proxy._runs import NO_SHARD, Run
from verbenadeck.proxy._transfer_messages import ReserveTransfer
from verbenadeck.proxy._transfers import TransferVerdict

_log_decision = make_decision_logger('door')


class TransferAdmission:
    """Admission of transfers, before any byte of their bodies is sent.

    Parameters
    ----------
    components : ProxyComponents
        Components of the proxy.
    """

    def __init__(self, components: ProxyComponents) -> None:
        self._components = components
        self._clock = components.dependencies.clock
        self._gate = components.gate

    def reserve(
        self, message: ReserveTransfer, *, origin: PeerAddress
    ) -> Result[float, Refusal]:
        """Reserve a transfer; return after how many seconds it may start.

        The result is a refusal if the body must not be sent.

        Parameters
        ----------
        message : ReserveTransfer
            Attempt and the size of its body.
        origin : PeerAddress
            Address of the node at which the request entered.
        """
        request = message.unpack(self._clock.now_s())
        if self._is_known(message, request):
            # It is answered from its run or the ledger and takes no slot.
            return Success(0.0)
        decided = self._decide(message, request, origin)
        refusal = refusal_of(decided)
        if refusal is not None:
            _log_decision(
                'refused transfer of {} bytes for {} {}: {}, {}',
                message.body_bytes,
                request.service,
                request.request_id,
                refusal.reason.value,
                refusal.detail,
            )
        return decided

    def _is_known(self, message: ReserveTransfer, request: Request) -> bool:
        if self._components.runs.find(message.attempt_id) is not None:
            return True
        if request.is_repeatable:
            return False
        entry = self._components.ledger.find(
            request.request_id, now_s=self._clock.now_s()
        )
        return entry is not None

    def _decide(
        self, message: ReserveTransfer, request: Request, origin: PeerAddress
    ) -> Result[float, Refusal]:
        policy = self._gate.policy
        owned = None if policy is None else request_shard(request, policy)
        shard = NO_SHARD if owned is None else int(owned)
        refusal = self._admission_refusal(message, request, shard)
        if refusal is not None:
            self._components.transfers.record(TransferVerdict.NOT_ADMITTED)
            return Failure(refusal)
        return self._components.transfers.reserve(
            message.attempt_id,
            Run(message.attempt_id, request, shard, origin=origin).waiter,
            message.body_bytes,
            queue_limit=0 if policy is None else policy.queue_limit,
        )

    def _admission_refusal(
        self, message: ReserveTransfer, request: Request, shard: int
    ) -> Refusal | None:
        if self._components.runs.has_tombstone(message.attempt_id):
            return not_run(RefusalReason.CANCELLED, 'the attempt was cancelled')
        return self._gate.refusal(request, shard) or self._owner_refusal(
            request, shard
        )

    def _owner_refusal(self, request: Request, shard: int) -> Refusal | None:
        """Return why this node may not serve a shard, or None.

        A request for a shard that is moving here waits for it with its body.
        """
        if shard == NO_SHARD:
            return None
        ownership = self._components.dependencies.ownership
        refusal = refusal_of(ownership.permit(request.service, Shard(shard)))
        is_moving = (
            refusal is not None and refusal.reason is RefusalReason.MOVING
        )
        return None if is_moving else refusal
