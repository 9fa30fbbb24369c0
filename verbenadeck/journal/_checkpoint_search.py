"""Looks for the newest checkpoint in a log that may be long."""

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogAdapter, LogError, LogFailure, LogPage
from verbenadeck.journal._checkpoint_tracker import (
    Checkpoint,
    CheckpointTracker,
)
from verbenadeck.model import Offset
from verbenadeck.records import decode_envelope
from verbenadeck.utils import Clock

SCAN_RECORDS = 4_096
"""Records of the first look back from the end of the log."""

_WIDER = 4
_PROBE_S = 0.25
_READ_S = 2.0
_FirstOffset = Result[Offset, LogError]
_Found = Result[Checkpoint | None, LogError]


class CheckpointSearch:
    """Search of one log.

    The log tells neither its end nor where checkpoints are. So the end is
    found to within `SCAN_RECORDS` by doubling and halving, and the records
    before it are read in a window that widens until it holds a usable
    checkpoint or reaches the oldest record. Checkpoints are written every
    few thousand records, so one or two windows do; the worst case reads the
    kept log less than twice.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    clock : Clock
        Clock of this VM.
    page_limit : int
        Records asked for at once.
    """

    def __init__(
        self, *, adapter: LogAdapter, clock: Clock, page_limit: int
    ) -> None:
        self._adapter = adapter
        self._clock = clock
        self._page_limit = page_limit

    async def first_offset(self) -> _FirstOffset:
        """Return the oldest position that the log keeps."""
        answer = await self._read(Offset(0), limit=1, wait_s=_PROBE_S)
        if is_successful(answer):
            return Success(answer.unwrap().first_offset)
        error = answer.failure()
        if error.failure is LogFailure.EXPIRED:
            return Success(error.first_offset)
        return Failure(error)

    async def find(self, first_offset: Offset) -> _Found:
        """Return the newest usable checkpoint, None when there is none."""
        bounds = await self._find_end(first_offset)
        if not is_successful(bounds):
            return Failure(bounds.failure())
        low, high = bounds.unwrap()
        width = SCAN_RECORDS
        while True:
            start = Offset(max(first_offset, low - width))
            found = await self._scan(start, high, first_offset)
            if not is_successful(found) or found.unwrap() is not None:
                return found
            if start == first_offset:
                return Success(None)
            width *= _WIDER

    async def _find_end(
        self, first_offset: Offset
    ) -> Result[tuple[int, int], LogError]:
        """Return a position in the log and one not far behind its end."""
        low = int(first_offset)
        high = low + SCAN_RECORDS
        is_doubling = True
        while is_doubling or high - low > SCAN_RECORDS:
            middle = high if is_doubling else (low + high) // 2
            answer = await self._read(Offset(middle), limit=1, wait_s=_PROBE_S)
            if not is_successful(answer):
                return Failure(answer.failure())
            if not answer.unwrap().records:
                high, is_doubling = middle, False
                continue
            low = middle
            if is_doubling:
                high = first_offset + 2 * (middle - first_offset)
        return Success((low, high))

    async def _scan(
        self, start: Offset, stop: int, first_offset: Offset
    ) -> _Found:
        """Return the newest usable checkpoint in a part of the log."""
        tracker = CheckpointTracker(keeps_parts=True)
        position = start
        while position < stop:
            answer = await self._read(
                position, limit=self._page_limit, wait_s=_PROBE_S
            )
            if not is_successful(answer):
                return Failure(answer.failure())
            page = answer.unwrap()
            if not page.records:
                break
            _track(tracker, page)
            position = Offset(position + len(page.records))
            first_offset = page.first_offset
        newest = tracker.newest
        is_usable = newest is not None and newest.is_usable(first_offset)
        return Success(newest if is_usable else None)

    async def _read(
        self, offset: Offset, *, limit: int, wait_s: float
    ) -> Result[LogPage, LogError]:
        return await self._adapter.read(
            offset, limit=limit, deadline_s=self._clock.now_s() + wait_s
        )


def _track(tracker: CheckpointTracker, page: LogPage) -> None:
    for index, payload in enumerate(page.records):
        envelope = decode_envelope(payload).value_or(None)
        if envelope is not None:
            tracker.add(Offset(page.start_offset + index), envelope)
