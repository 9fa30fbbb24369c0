"""Takes records in: applies them and wakes who waits for them."""

from verbenadeck.adapters import LogPage
from verbenadeck.fleet import FleetState
from verbenadeck.journal._checkpoint_tracker import CheckpointTracker
from verbenadeck.journal._proposals import Proposals
from verbenadeck.journal._recent import RecentRecords
from verbenadeck.journal._waiters import OffsetWaiters
from verbenadeck.model import Incarnation, Offset
from verbenadeck.records import (
    Envelope,
    NodeJoin,
    Verdict,
    decode_envelope,
)


class Intake:
    """Everything that happens with a record once it is read.

    Parameters
    ----------
    fleet : FleetState
        State that the records change.
    proposals : Proposals
        Records of this process that wait for their verdict.
    waiters : OffsetWaiters
        Tasks that wait for a position.

    Attributes
    ----------
    recent : RecentRecords
        Newest records, for peers.
    checkpoints : CheckpointTracker
        Knows the newest complete checkpoint.
    incarnation : Incarnation or None
        This process as a member, once its join was accepted.
    first_offset : Offset
        Oldest position that the log is known to keep.
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
        """Apply consecutive records that follow the last one."""
        self.first_offset = max(self.first_offset, page.first_offset)
        for index, payload in enumerate(page.records):
            self._apply(Offset(page.start_offset + index), payload)
        if page.records:
            self._waiters.wake(self._fleet.applied_offset)

    def restart(self) -> None:
        """Go on after a state that was loaded from a checkpoint."""
        self.recent.restart(self._fleet.applied_offset)
        self._waiters.wake(self._fleet.applied_offset)

    def _apply(self, offset: Offset, payload: bytes) -> None:
        self.recent.add(offset, payload)
        envelope = decode_envelope(payload).value_or(None)
        if envelope is None:
            self._fleet.apply(offset, payload)
            return
        self.checkpoints.add(offset, envelope)
        verdict = self._fleet.apply(offset, envelope)
        self._note_own(offset, envelope, verdict)

    def _note_own(
        self, offset: Offset, envelope: Envelope, verdict: Verdict
    ) -> None:
        if envelope.writer != self._proposals.writer:
            return
        has_joined = isinstance(envelope.record, NodeJoin)
        if has_joined and verdict is Verdict.ACCEPTED:
            self.incarnation = Incarnation(offset)
        self._proposals.settle(offset, envelope.sequence, verdict)
