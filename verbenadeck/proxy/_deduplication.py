"""Checks before sending that a non-repeatable request can't run twice."""

from collections.abc import Callable

from loguru import logger

from verbenadeck.fleet import FleetView
from verbenadeck.model import (
    AttemptId,
    Incarnation,
    Refusal,
    RefusalReason,
    RequestId,
    Shard,
)
from verbenadeck.proxy._copies import CopyClient
from verbenadeck.proxy._departed_owners import WitnessSet
from verbenadeck.proxy._ledger import ExportedEntry
from verbenadeck.proxy._messages import LedgerCopy
from verbenadeck.proxy._refusals import not_run, unknown
from verbenadeck.proxy._runs import NO_SHARD, Run
from verbenadeck.proxy._takeovers import Takeovers

_log = logger.bind(part='door')
_HANDOVER_TOKEN = AttemptId('handover')


class DuplicateRunGuard:
    """Guard that queries earlier owners' witnesses and stores own copies.

    Parameters
    ----------
    fleet : FleetView
        Source of the witness sets.
    incarnation : callable returning Incarnation
        Returns the incarnation of this node.
    copies : CopyClient
        Client for the witnesses' copies.
    takeovers : Takeovers
        Shards whose earlier owner's ledger is lost.
    keep_s : callable returning float
        Returns the retention of copies, in seconds.
    has_copies : callable returning bool
        Returns whether witnesses keep copies of ledger entries.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        incarnation: Callable[[], Incarnation],
        copies: CopyClient,
        takeovers: Takeovers,
        keep_s: Callable[[], float],
        has_copies: Callable[[], bool],
    ) -> None:
        self._fleet = fleet
        self._incarnation = incarnation
        self._copies = copies
        self._takeovers = takeovers
        self._keep_s = keep_s
        self._has_copies = has_copies

    async def check_and_store_copies(self, run: Run) -> Refusal | None:
        """Store copies of a run; return a refusal if it must not be sent.

        The outcome is `UNKNOWN` if an earlier owner may have run the request.
        """
        if run.shard == NO_SHARD:
            return None
        earlier = await self._earlier_owner_refusal(run)
        if earlier is not None:
            return earlier
        witnesses = self._witnesses_to_copy_to()
        if not witnesses:
            return None
        is_stored = await self._copies.store_copies(
            witnesses,
            self._make_copy((run.request.request_id,), run.attempt_id),
            deadline_s=run.request.deadline_s,
        )
        if is_stored:
            return None
        return not_run(
            RefusalReason.LEDGER_LOST,
            'too few witnesses confirmed a copy of the ledger entry',
        )

    def withdraw(self, run: Run) -> None:
        """Withdraw the copies of a request that did not run."""
        if run.shard == NO_SHARD:
            return
        witnesses = self._witnesses_to_copy_to()
        if witnesses:
            self._copies.withdraw(
                witnesses, run.request.request_id, run.attempt_id
            )

    async def copy_to_new_owners(
        self, entries: list[ExportedEntry], *, deadline_s: float
    ) -> None:
        """Store copies at the witnesses of the shards' new owners.

        Without them, the entries would be lost with a new owner that fails
        right after the move.

        Parameters
        ----------
        entries : list of ExportedEntry
            Entries that are handed over.
        deadline_s : float
            Time by which the replies must be there, in seconds.
        """
        if not self._has_copies():
            return
        request_ids_by_witnesses: dict[WitnessSet, list[RequestId]] = {}
        for entry in entries:
            witnesses = self._witnesses_of_owner(entry.shard)
            request_ids_by_witnesses.setdefault(witnesses, []).append(
                entry.request_id
            )
        for witnesses, request_ids in request_ids_by_witnesses.items():
            is_stored = await self._copies.store_copies(
                witnesses,
                self._make_copy(tuple(request_ids), _HANDOVER_TOKEN),
                deadline_s=deadline_s,
            )
            if not is_stored:
                _log.warning(
                    'too few witnesses of the new owner keep copies of {} '
                    'ledger entries; handing over without them',
                    len(request_ids),
                )

    async def _earlier_owner_refusal(self, run: Run) -> Refusal | None:
        if run.request.is_new:
            return None
        request_id = run.request.request_id
        sets = self._takeovers.witness_sets_to_query(request_id, run.shard)
        if sets is None:
            return None
        may_have_run = None
        if sets and self._has_copies():
            may_have_run = await self._copies.may_have_run(
                sets,
                request_id,
                requester=self._incarnation(),
                deadline_s=run.request.deadline_s,
            )
        if may_have_run is False:
            return None
        detail = (
            'an earlier owner was lost and may have run the request'
            if may_have_run
            else 'too few witnesses can tell whether an earlier owner ran it'
        )
        return unknown(RefusalReason.LEDGER_LOST, detail)

    def _witnesses_to_copy_to(self) -> WitnessSet:
        if not self._has_copies():
            return ()
        member = self._fleet.members.get(self._incarnation())
        return () if member is None else member.witnesses

    def _witnesses_of_owner(self, shard: int) -> WitnessSet:
        own_member = self._fleet.members.get(self._incarnation())
        if own_member is None:
            return ()
        owner = self._fleet.shard(own_member.service, Shard(shard)).owner
        member = self._fleet.members.get(owner)
        return () if member is None else member.witnesses

    def _make_copy(
        self, request_ids: tuple[RequestId, ...], token: AttemptId
    ) -> LedgerCopy:
        owner = self._incarnation()
        return LedgerCopy(owner, owner, request_ids, token, self._keep_s())
