"""Newest records as they came, for peers."""

from collections import deque
from itertools import islice

from verbenadeck.model import Offset

RECENT_BYTES = 1_048_576
"""Most bytes of records kept for peers, one record at least."""

PAGE_BYTES = 131_072
"""Most bytes of records in one answer, one record at least."""


class RecentRecords:
    """Bounded run of consecutive records up to the last applied one."""

    def __init__(self, *, limit_bytes: int = RECENT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._kept: deque[bytes] = deque()
        self._kept_bytes = 0
        self._stop_offset = Offset(0)

    def add(self, offset: Offset, payload: bytes) -> None:
        """Add the next record."""
        self._kept.append(payload)
        self._kept_bytes += len(payload)
        self._stop_offset = Offset(offset + 1)
        while self._kept_bytes > self._limit_bytes and len(self._kept) > 1:
            self._kept_bytes -= len(self._kept.popleft())

    def restart(self, offset: Offset) -> None:
        """Start the run anew after a position."""
        self._kept.clear()
        self._kept_bytes = 0
        self._stop_offset = Offset(offset + 1)

    def keeps(self, offset: Offset) -> bool:
        """Return whether records can be given from a position on."""
        start = self._stop_offset - len(self._kept)
        return start <= offset <= self._stop_offset

    def page(self, offset: Offset) -> tuple[bytes, ...]:
        """Return records from a kept position on, empty at the end."""
        start = self._stop_offset - len(self._kept)
        page: list[bytes] = []
        page_bytes = 0
        for payload in islice(self._kept, offset - start, None):
            page_bytes += len(payload)
            if page and page_bytes > PAGE_BYTES:
                break
            page.append(payload)
        return tuple(page)
