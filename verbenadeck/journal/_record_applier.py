"""Application of records to the fleet state and to what depends on it."""

from verbenadeck.adapters import LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._checkpoint_tracker import CheckpointTracker
from verbenadeck.journal._proposals import Proposals
from verbenadeck.journal._recent import RecentRecords
from verbenadeck.journal._waiters import OffsetWaiters
from verbenadeck.model import Incarnation, Offset, index_of
from verbenadeck.records import (
    Envelope,
    NodeJoin,
    Verdict,
    decode_envelope,
)


class RecordApplier:
    """Applier of the records that were read from the log.

    Each record changes the fleet state, is buffered for peers and, if it is
    a record of this process, resolves its proposal.

    Parameters
    ----------
    fleet : FleetState
        Fleet state that the records are applied to.
    proposals : Proposals
        Records of this process that await their verdict.
    waiters : OffsetWaiters
        Tasks that wait for an offset to be applied.

    Attributes
    ----------
    recent : RecentRecords
        Buffer of the newest records, for peers.
    checkpoints : CheckpointTracker
        Tracks the newest complete checkpoint.
    incarnation : Incarnation or None
        Incarnation of this process, None before its join is accepted.
    first_offset : Offset
        Oldest offset that the log is known to retain.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        proposals: Proposals,
        waiters: OffsetWaiters,
    ) -> None:
        self._fleet = fleet
        self._proposals = proposals
        self._waiters = waiters
        self.recent = RecentRecords()
        self.checkpoints = CheckpointTracker(keeps_parts=False)
        self.incarnation: Incarnation | None = None
        self.first_offset = Offset(0)

    def apply_page(self, page: LogPage) -> None:
        """Apply consecutive records that follow the last applied one.

        Raises
        ------
        ValueError
            If the page starts at another index.
        """
        next_index = index_of(self._fleet.applied_offset) + 1
        if page.start_offset != next_index:
            raise ValueError(
                f'expected records from {next_index}, got {page.start_offset}'
            )
        self.first_offset = max(self.first_offset, page.first_offset)
        for payload in page.records:
            self._apply(payload)
        if page.records:
            self._waiters.wake(self._fleet.applied_offset)

    def restart(self) -> None:
        """Continue after the fleet state was loaded from a checkpoint."""
        self.recent.restart(self._fleet.applied_offset)
        self._waiters.wake(self._fleet.applied_offset)

    def forget_checkpoints(self) -> None:
        """Forget checkpoints that the log may have lost."""
        self.checkpoints = CheckpointTracker(keeps_parts=False)

    def _apply(self, payload: bytes) -> None:
        envelope = decode_envelope(payload).value_or(None)
        offset, verdict = self._fleet.follow(
            payload if envelope is None else envelope
        )
        self.recent.add(offset, payload)
        if envelope is None:
            return
        self.checkpoints.add(offset, envelope)
        self._settle_own_record(offset, envelope, verdict)

    def _settle_own_record(
        self, offset: Offset, envelope: Envelope, verdict: Verdict
    ) -> None:
        if envelope.writer != self._proposals.writer:
            return
        is_join = isinstance(envelope.record, NodeJoin)
        if is_join and verdict is Verdict.ACCEPTED:
            self.incarnation = Incarnation(offset)
        self._proposals.settle(offset, envelope.sequence, verdict)
