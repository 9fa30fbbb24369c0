"""Processing of an admitted request up to the upstream's answer."""

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import UpstreamRequest
from verbenadeck.lease import Permit
from verbenadeck.model import (
    NO_FENCE,
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    Shard,
)
from verbenadeck.proxy._components import ProxyComponents
from verbenadeck.proxy._refusals import not_run, refusal_of, refuse
from verbenadeck.proxy._runs import NO_SHARD, Run

_LEASE_MARGIN_S = 0.05


class Pipeline:
    """Steps of an admitted request: ownership, queue and sending.

    Parameters
    ----------
    components : ProxyComponents
        Components of the proxy.
    """

    def __init__(self, components: ProxyComponents) -> None:
        self._components = components
        self._clock = components.dependencies.clock
        self._ownership = components.dependencies.ownership
        self._gate = components.gate
        self._slots = components.slots

    async def run(self, run: Run) -> AnswerResult:
        """Send a request to the upstream and return its answer or a refusal."""
        if run.request.is_repeatable and self._slots.try_acquire(run.waiter):
            ready = self._upstream_request(run)
            if not _is_moving(ready):
                return await self._send_or_release(run, ready)
            self._slots.release(run.waiter)
        refusal = await self._prepare(run)
        if refusal is None:
            refusal = await self._slots.acquire(run.waiter)
        if refusal is not None:
            return self._finish_unsent(run, refusal)
        return await self._send_or_release(run, self._upstream_request(run))

    async def _send_or_release(
        self, run: Run, ready: Result[UpstreamRequest, Refusal]
    ) -> AnswerResult:
        refusal = refusal_of(ready)
        if refusal is None:
            return await self._send(run, ready.unwrap())
        self._slots.release(run.waiter)
        return self._finish_unsent(run, refusal)

    async def _send(
        self, run: Run, upstream_request: UpstreamRequest
    ) -> AnswerResult:
        result = await self._components.sender.send(run, upstream_request)
        match result:
            case Success(_):
                self._components.crash_tracker.on_answer(run)
            case Failure(Refusal(outcome=Outcome.NOT_RUN)):
                self._withdraw(run)
        return result

    def _finish_unsent(self, run: Run, refusal: Refusal) -> AnswerResult:
        if refusal.outcome is Outcome.NOT_RUN:
            self._withdraw(run)
        return refuse(refusal)

    def _withdraw(self, run: Run) -> None:
        if not run.request.is_repeatable:
            self._components.duplicate_guard.withdraw(run)

    async def _prepare(self, run: Run) -> Refusal | None:
        refusal = await self.wait_permit(run.request, run.shard)
        if refusal is not None:
            return refusal
        policy = self._gate.policy
        queue_limit = 0 if policy is None else policy.queue_limit
        refusal = self._slots.queue_refusal(run.waiter, queue_limit)
        if refusal is None and not run.request.is_repeatable:
            refusal = (
                await self._components.duplicate_guard.check_and_store_copies(
                    run
                )
            )
        return refusal

    async def wait_permit(self, request: Request, shard: int) -> Refusal | None:
        """Return why this node may not serve a shard, or None if it may.

        Waits while the shard is moving to this node.

        Parameters
        ----------
        request : Request
            Request for the shard; the wait ends at its deadline.
        shard : int
            Its shard, or `NO_SHARD`.
        """
        if shard == NO_SHARD:
            return None
        service = request.service
        refusal = refusal_of(self._ownership.permit(service, Shard(shard)))
        if refusal is None or refusal.reason is not RefusalReason.MOVING:
            return refusal
        waited = await self._ownership.wait_permit(
            service, Shard(shard), deadline_s=request.deadline_s
        )
        return refusal_of(waited)

    def _upstream_request(self, run: Run) -> Result[UpstreamRequest, Refusal]:
        """Repeat, right before sending, all checks whose result may have changed."""
        request = run.request
        if run.is_abandoned:
            return Failure(
                not_run(
                    RefusalReason.CANCELLED, 'no caller waits for the request'
                )
            )
        refusal = self._gate.send_refusal(request, run.shard)
        if refusal is not None:
            return Failure(refusal)
        if run.shard == NO_SHARD:
            return Success(UpstreamRequest(request, NO_FENCE, NO_SHARD))
        permit = self._ownership.permit(request.service, Shard(run.shard))
        return permit.map(lambda given: self._with_fence(run, given))

    def _with_fence(self, run: Run, permit: Permit) -> UpstreamRequest:
        policy = self._gate.policy
        request = run.request
        if policy is None or not policy.is_keyed:
            return UpstreamRequest(request, NO_FENCE, NO_SHARD)
        end_s = permit.deadline_s - _LEASE_MARGIN_S
        if not policy.checks_fences and end_s < request.deadline_s:
            request = msgspec.structs.replace(request, deadline_s=end_s)
        return UpstreamRequest(request, permit.fence, run.shard)

    def abandon(self, run: Run) -> None:
        """Cancel a run that no caller waits for, if that is still possible."""
        refusal = not_run(
            RefusalReason.CANCELLED, 'no caller waits for the request'
        )
        if not run.is_sent:
            run.is_abandoned = True
            run.waiter.resolve(refusal)
        else:
            self._components.sender.cancel(run)


def _is_moving(ready: Result[UpstreamRequest, Refusal]) -> bool:
    refusal = refusal_of(ready)
    return refusal is not None and refusal.reason is RefusalReason.MOVING
