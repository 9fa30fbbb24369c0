"""Admission of requests and deduplication of attempts."""

import asyncio

from returns.result import Failure, Success

from verbenadeck.fleet import request_shard
from verbenadeck.logs import make_decision_logger
from verbenadeck.model import (
    AnswerResult,
    AttemptId,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
)
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy._components import ProxyComponents
from verbenadeck.proxy._ledger import Entry, EntryState
from verbenadeck.proxy._pipeline import Pipeline
from verbenadeck.proxy._poison import fingerprint_of
from verbenadeck.proxy._refusals import not_run, refusal_of, refuse, unknown
from verbenadeck.proxy._runs import NO_SHARD, Run

_log_decision = make_decision_logger('door')


class Admission:
    """Entry point for requests, which runs each attempt at most once.

    Parameters
    ----------
    components : ProxyComponents
        Components of the proxy.
    """

    def __init__(self, components: ProxyComponents) -> None:
        self._components = components
        self._clock = components.dependencies.clock
        self._pipeline = Pipeline(components)
        self._gate = components.gate
        self._runs = components.runs
        self._ledger = components.ledger

    async def admit(
        self,
        attempt_id: AttemptId,
        request: Request,
        *,
        origin: PeerAddress,
    ) -> AnswerResult:
        """Run a request, wait for its run, or return its recorded answer.

        Parameters
        ----------
        attempt_id : AttemptId
            Attempt of a router; a copy of it joins the same run.
        request : Request
            Request; its deadline is on the clock of this VM.
        origin : PeerAddress
            Address of the node at which the request entered.
        """
        self._components.transfers.record_arrival(attempt_id)
        if self._runs.has_tombstone(attempt_id):
            return refuse(_cancelled_refusal())
        result = await self._find_or_run(attempt_id, request, origin)
        refusal = refusal_of(result)
        if refusal is not None:
            self._record_refusal(attempt_id, request, refusal)
        return result

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt that no caller waits for.

        Parameters
        ----------
        attempt_id : AttemptId
            Attempt; if it has not arrived yet, a tombstone keeps a late copy
            from running.
        """
        self._components.transfers.remove(attempt_id)
        run = self._runs.find(attempt_id)
        if run is None:
            self._runs.add_tombstone(attempt_id)
        else:
            self._pipeline.abandon(run)

    async def _find_or_run(
        self, attempt_id: AttemptId, request: Request, origin: PeerAddress
    ) -> AnswerResult:
        run = self._runs.find(attempt_id)
        if run is not None:
            return await self._wait_for_run(run, request)
        policy = self._gate.policy
        if policy is None:
            return refuse(self._no_policy_refusal(request))
        owned = request_shard(request, policy)
        shard = NO_SHARD if owned is None else int(owned)
        if policy.is_keyed:
            self._components.rates.record_request(shard)
        run = Run(attempt_id, request, shard, origin=origin)
        if request.is_repeatable:
            return await self._run_repeatable(run)
        return await self._run_non_repeatable(run)

    async def _run_repeatable(self, run: Run) -> AnswerResult:
        refusal = self._gate.refusal(run.request, run.shard)
        if refusal is not None:
            return refuse(refusal)
        self._runs.add(run)
        result = refuse(
            unknown(RefusalReason.CANCELLED, 'the run was cancelled')
        )
        try:
            result = await self._pipeline.run(run)
        finally:
            self._runs.remove(run)
            run.complete(result)
        return result

    async def _run_non_repeatable(self, run: Run) -> AnswerResult:
        request, shard = run.request, run.shard
        fingerprint = fingerprint_of(request)
        entry = self._find_entry(request)
        if entry is not None:
            return await self._answer_from_entry(entry, fingerprint, request)
        refusal = self._gate.refusal(request, shard)
        if refusal is None:
            refusal = await self._pipeline.wait_permit(request, shard)
        # The ledger entries of an earlier owner may have arrived meanwhile.
        entry = self._find_entry(request)
        if entry is not None:
            return await self._answer_from_entry(entry, fingerprint, request)
        if refusal is not None or self._runs.has_tombstone(run.attempt_id):
            return refuse(refusal or _cancelled_refusal())
        entry = self._ledger.open(
            request.request_id,
            fingerprint,
            shard,
            now_s=self._clock.now_s(),
        )
        if entry is None:
            return refuse(_ledger_full_refusal())
        run.waiter_count = 0
        entry.run = run
        self._runs.add(run)
        run.task = asyncio.create_task(self._run_entry(run, entry))
        return await self._wait_for_run(run, request)

    def _find_entry(self, request: Request) -> Entry | None:
        return self._ledger.find(request.request_id, now_s=self._clock.now_s())

    async def _run_entry(self, run: Run, entry: Entry) -> None:
        result = refuse(unknown(RefusalReason.CANCELLED, 'the proxy stopped'))
        try:
            result = await self._pipeline.run(run)
        finally:
            self._close_entry(entry, result)
            self._runs.remove(run)
            run.complete(result)

    def _close_entry(self, entry: Entry, result: AnswerResult) -> None:
        entry.run = None
        expires_at_s = self._clock.now_s() + self._components.keep_s()
        match result:
            case Success(answer):
                self._ledger.keep(entry, answer, expires_at_s=expires_at_s)
            case Failure(Refusal(outcome=Outcome.NOT_RUN)):
                self._ledger.drop(entry)
            case Failure(Refusal(reason=RefusalReason.LEDGER_LOST)):
                self._ledger.drop(entry)
            case _:
                self._ledger.keep(entry, None, expires_at_s=expires_at_s)

    async def _answer_from_entry(
        self, entry: Entry, fingerprint: int, request: Request
    ) -> AnswerResult:
        if entry.fingerprint != fingerprint:
            return refuse(
                not_run(
                    RefusalReason.BAD_REQUEST,
                    'the idempotency key belongs to another request',
                )
            )
        if entry.state is EntryState.RUNNING and entry.run is not None:
            return await self._wait_for_run(entry.run, request)
        return entry.result()

    async def _wait_for_run(self, run: Run, request: Request) -> AnswerResult:
        run.waiter_count += 1
        left_s = self._clock.remaining_s(request.deadline_s)
        completion = run.completion()
        try:
            async with asyncio.timeout(left_s):
                return await asyncio.shield(completion)
        except TimeoutError:
            if not run.is_sent and run.waiter_count == 1:
                # The last waiter abandons the run below, so it is never sent.
                return refuse(
                    not_run(
                        RefusalReason.DEADLINE,
                        'the request was not sent before its deadline',
                    )
                )
            return refuse(
                unknown(
                    RefusalReason.DEADLINE,
                    'the request was still running at its deadline',
                )
            )
        finally:
            run.waiter_count -= 1
            if run.waiter_count == 0 and not completion.done():
                self._pipeline.abandon(run)

    def _no_policy_refusal(self, request: Request) -> Refusal:
        refusal = self._gate.refusal(request, NO_SHARD)
        return refusal or not_run(
            RefusalReason.NO_CONFIG, 'the service has no policy yet'
        )

    def _record_refusal(
        self, attempt_id: AttemptId, request: Request, refusal: Refusal
    ) -> None:
        if refusal.outcome is Outcome.NOT_RUN:
            self._runs.add_tombstone(attempt_id)
        _log_decision(
            'refused {} {}: {} {}, {}',
            request.service,
            request.request_id,
            refusal.outcome.value,
            refusal.reason.value,
            refusal.detail,
        )


def _cancelled_refusal() -> Refusal:
    return not_run(RefusalReason.CANCELLED, 'the attempt was cancelled')


def _ledger_full_refusal() -> Refusal:
    return not_run(
        RefusalReason.QUEUE_FULL,
        'the request ledger is full',
        retry_after_s=1,
    )
