"""State of the fleet from the records that a log keeps for good."""

from itertools import takewhile

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    LogAdapter,
    LogError,
    LogPage,
    NewestRecords,
)
from verbenadeck.journal._checkpoint_tracker import (
    Checkpoint,
    CheckpointTracker,
)
from verbenadeck.model import Offset
from verbenadeck.records import decode_envelope


class Recovered(msgspec.Struct, frozen=True):
    """What a log that keeps the newest records can give back.

    Parameters
    ----------
    checkpoint : Checkpoint or None
        Newest complete checkpoint.
    tail : LogPage
        Consecutive records from the one after the checkpoint on.
    end_offset : Offset
        End of the log.
    """

    checkpoint: Checkpoint | None
    tail: LogPage
    end_offset: Offset

    @property
    def is_whole(self) -> bool:
        """Whether the tail reaches the end of the log."""
        return self._next_offset >= self.end_offset

    @property
    def _next_offset(self) -> int:
        return self.tail.start_offset + len(self.tail.records)

    def describe(self) -> str:
        """Return what there is and what is missing, for a log line."""
        return (
            f'known up to {self.tail.start_offset - 1} by a checkpoint, '
            f'{self._next_offset} is missing, the log ends at '
            f'{self.end_offset}'
        )


async def recover(
    adapter: LogAdapter, applied_offset: Offset
) -> Result[Recovered | None, LogError]:
    """Return a checkpoint and what follows it, without the expired part.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    applied_offset : Offset
        Last position that is known already.

    Returns
    -------
    Result
        None for a log that keeps nothing beyond its retention time.
    """
    answer = await adapter.newest()
    if not is_successful(answer):
        return Failure(answer.failure())
    newest = answer.unwrap()
    if newest is None:
        return Success(None)
    return Success(assemble(newest, applied_offset))


def assemble(newest: NewestRecords, applied_offset: Offset) -> Recovered:
    """Return the newest state that kept records lead to."""
    checkpoint = _newest_checkpoint(newest)
    base = int(applied_offset)
    if checkpoint is not None:
        base = max(base, checkpoint.as_of_offset)
    start = Offset(base + 1)
    tail = _consecutive(newest, start)
    return Recovered(
        checkpoint=checkpoint,
        tail=LogPage(start, start, tail),
        end_offset=newest.end_offset,
    )


def _newest_checkpoint(newest: NewestRecords) -> Checkpoint | None:
    tracker = CheckpointTracker(keeps_parts=True)
    for offset, payload in newest.records:
        envelope = decode_envelope(payload).value_or(None)
        if envelope is not None:
            tracker.add(offset, envelope)
    return tracker.newest


def _consecutive(newest: NewestRecords, start: Offset) -> tuple[bytes, ...]:
    """Return the records from a position up to the first gap."""
    follows = (each for each in newest.records if each[0] >= start)
    numbered = enumerate(follows, start=start)
    whole = takewhile(_is_next, numbered)
    return tuple(record[1] for _, record in whole)


def _is_next(numbered: tuple[int, tuple[Offset, bytes]]) -> bool:
    expected, record = numbered
    return record[0] == expected
