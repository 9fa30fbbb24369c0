"""Buffer of the newest encoded records, for peers to fetch."""

from collections import deque
from itertools import islice

from verbenadeck.model import Offset, index_of

RECENT_BYTES = 1_048_576
"""Maximum size in bytes of the buffer, which holds at least one record."""

PAGE_BYTES = 131_072
"""Maximum size in bytes of one answer, which holds at least one record."""


class RecentRecords:
    """Bounded buffer of consecutive records up to the last applied one.

    Parameters
    ----------
    limit_bytes : int
        Maximum size in bytes; older records are evicted beyond it.
    """

    def __init__(self, *, limit_bytes: int = RECENT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._records: deque[bytes] = deque()
        self._records_bytes = 0
        self._stop_index = 0

    def add(self, offset: Offset, payload: bytes) -> None:
        """Append the next record and evict old ones beyond the limit."""
        self._records.append(payload)
        self._records_bytes += len(payload)
        self._stop_index = index_of(offset) + 1
        while (
            self._records_bytes > self._limit_bytes and len(self._records) > 1
        ):
            self._records_bytes -= len(self._records.popleft())

    def restart(self, offset: Offset) -> None:
        """Clear the buffer; the next record follows the given offset."""
        self._records.clear()
        self._records_bytes = 0
        self._stop_index = index_of(offset) + 1

    def covers(self, index: int) -> bool:
        """Return whether the buffer can serve records from an index on."""
        start = self._stop_index - len(self._records)
        return start <= index <= self._stop_index

    def read_page(self, index: int) -> tuple[bytes, ...]:
        """Return records from a buffered index on, none at the end."""
        start = self._stop_index - len(self._records)
        page: list[bytes] = []
        page_bytes = 0
        for payload in islice(self._records, index - start, None):
            page_bytes += len(payload)
            if page and page_bytes > PAGE_BYTES:
                break
            page.append(payload)
        return tuple(page)
