"""Recovery of the fleet state from records that the log retains for good."""

from collections.abc import Iterator
from itertools import takewhile

import msgspec

from verbenadeck.adapters import LogPage, NewestRecords
from verbenadeck.journal._checkpoint_tracker import (
    Checkpoint,
    CheckpointTracker,
)
from verbenadeck.model import Era, Offset, index_of, make_offset
from verbenadeck.records import Envelope, decode_envelope


class RecoveredState(msgspec.Struct, frozen=True):
    """State recovered from a log that retains the newest record of each name.

    Parameters
    ----------
    checkpoint : Checkpoint or None
        Newest complete checkpoint.
    tail : LogPage
        Consecutive records that follow the checkpoint or the known state.
    end_offset : Offset
        Offset after the last record of the log.
    """

    checkpoint: Checkpoint | None
    tail: LogPage
    end_offset: Offset

    @property
    def is_complete(self) -> bool:
        """Whether the tail reaches the end of the log."""
        return self._next_offset >= self.end_offset

    @property
    def _next_offset(self) -> int:
        return self.tail.start_offset + len(self.tail.records)

    def describe(self) -> str:
        """Describe the recovered range and the first missing offset."""
        return (
            f'the state is known up to {self.tail.start_offset - 1}, '
            f'record {self._next_offset} is missing, the log ends at '
            f'{self.end_offset}'
        )


def assemble_state(
    newest: NewestRecords, applied_offset: Offset
) -> RecoveredState:
    """Return the newest state that the retained records lead to.

    This uses retained records only, not the part of the log that expires.

    Parameters
    ----------
    newest : NewestRecords
        Records that the log retains.
    applied_offset : Offset
        Offset of the last record that is already applied and that the log
        still has in the era of `newest`; -1 if there is none.
    """
    checkpoint = _newest_checkpoint(newest)
    base = applied_offset
    if checkpoint is not None:
        base = max(base, checkpoint.as_of_offset)
    start = Offset(index_of(base) + 1)
    tail = _read_consecutive(newest, start)
    return RecoveredState(
        checkpoint=checkpoint,
        tail=LogPage(start, start, tail),
        end_offset=newest.end_offset,
    )


def _newest_checkpoint(newest: NewestRecords) -> Checkpoint | None:
    tracker = CheckpointTracker(keeps_parts=True)
    for offset, envelope in _iter_envelopes(newest):
        tracker.add(offset, envelope)
    return tracker.newest


def _iter_envelopes(
    newest: NewestRecords,
) -> Iterator[tuple[Offset, Envelope]]:
    """Yield the retained records that can be decoded, with their positions.

    The log retains the first record of each era for good, so that no position
    is counted in too early an era.
    """
    era = Era(0)
    for index, payload in newest.records:
        envelope = decode_envelope(payload).value_or(None)
        if envelope is not None:
            era = max(era, envelope.era)
            yield make_offset(era, index), envelope


def _read_consecutive(
    newest: NewestRecords, start: Offset
) -> tuple[bytes, ...]:
    """Return the records from an offset up to the first gap."""
    following = (record for record in newest.records if record[0] >= start)
    numbered = enumerate(following, start=start)
    consecutive = takewhile(_is_consecutive, numbered)
    return tuple(record[1] for _, record in consecutive)


def _is_consecutive(numbered: tuple[int, tuple[Offset, bytes]]) -> bool:
    expected, record = numbered
    return record[0] == expected
