"""Search for the newest checkpoint in a log of any length."""

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
"""Number of records in the first search window before the end of the log."""

_WINDOW_GROWTH_FACTOR = 4
_PROBE_TIMEOUT_S = 0.25
_READ_TIMEOUT_S = 2.0
_FirstOffsetResult = Result[Offset, LogError]
_SearchResult = Result[Checkpoint | None, LogError]


class CheckpointSearch:
    """Search of one log for its newest usable checkpoint.

    The log has no operation that returns its end or the offsets of
    checkpoints. The end is therefore located to within `SCAN_RECORDS` by
    exponential and binary search, and the records before it are read in a
    window that grows until it contains a usable checkpoint or starts at
    the oldest record. Checkpoints are written every few thousand records,
    so one or two windows suffice; in the worst case the retained log is
    read less than twice.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    clock : Clock
        Monotonic clock of this VM.
    page_limit : int
        Maximum number of records per read.
    """

    def __init__(
        self, *, adapter: LogAdapter, clock: Clock, page_limit: int
    ) -> None:
        self._adapter = adapter
        self._clock = clock
        self._page_limit = page_limit

    async def first_offset(self) -> _FirstOffsetResult:
        """Return the oldest offset that the log retains."""
        answer = await self._read(Offset(0), limit=1, wait_s=_PROBE_TIMEOUT_S)
        if is_successful(answer):
            return Success(answer.unwrap().first_offset)
        error = answer.failure()
        if error.failure is LogFailure.EXPIRED:
            return Success(error.first_offset)
        return Failure(error)

    async def find(self, first_offset: Offset) -> _SearchResult:
        """Return the newest usable checkpoint, None if there is none."""
        bounds = await self._find_end(first_offset)
        if not is_successful(bounds):
            return Failure(bounds.failure())
        low, high = bounds.unwrap()
        width = SCAN_RECORDS
        while True:
            start = Offset(max(first_offset, low - width))
            found = await self._scan_window(start, high, first_offset)
            if not is_successful(found) or found.unwrap() is not None:
                return found
            if start == first_offset:
                return Success(None)
            width *= _WINDOW_GROWTH_FACTOR

    async def _find_end(
        self, first_offset: Offset
    ) -> Result[tuple[int, int], LogError]:
        """Return an offset inside the log and one shortly after its end."""
        low = int(first_offset)
        high = low + SCAN_RECORDS
        is_doubling = True
        while is_doubling or high - low > SCAN_RECORDS:
            middle = high if is_doubling else (low + high) // 2
            answer = await self._read(
                Offset(middle), limit=1, wait_s=_PROBE_TIMEOUT_S
            )
            if not is_successful(answer):
                return Failure(answer.failure())
            if not answer.unwrap().records:
                high, is_doubling = middle, False
                continue
            low = middle
            if is_doubling:
                high = first_offset + 2 * (middle - first_offset)
        return Success((low, high))

    async def _scan_window(
        self, start: Offset, stop: int, first_offset: Offset
    ) -> _SearchResult:
        """Return the newest usable checkpoint in a range of offsets."""
        tracker = CheckpointTracker(keeps_parts=True)
        position = start
        while position < stop:
            answer = await self._read(
                position, limit=self._page_limit, wait_s=_PROBE_TIMEOUT_S
            )
            if not is_successful(answer):
                return Failure(answer.failure())
            page = answer.unwrap()
            if not page.records:
                break
            _track_page(tracker, page)
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


def _track_page(tracker: CheckpointTracker, page: LogPage) -> None:
    for index, payload in enumerate(page.records):
        envelope = decode_envelope(payload).value_or(None)
        if envelope is not None:
            tracker.add(Offset(page.start_offset + index), envelope)
