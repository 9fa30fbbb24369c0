"""In-memory streams of the log stand-in with retention and faults."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the log stand-in simulates.

    Parameters
    ----------
    is_out : bool
        Whether every call is refused with HTTP status 503.
    added_latency_s : float
        Time in seconds added to every call.
    lost_answers : int
        Number of next appends that take effect without an answer.
    """

    is_out: bool = False
    added_latency_s: float = 0
    lost_answers: int = 0


class _RetainedRecord(NamedTuple):
    expires_at_s: float
    record: bytes


class Stream:
    """One append-only stream with limited retention.

    Parameters
    ----------
    now_s : callable returning float
        Clock in seconds.
    keep_s : float
        Age in seconds after which a record is dropped.
    keep_count : int
        Maximum number of records kept.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest record kept.
    """

    def __init__(
        self, *, now_s: Callable[[], float], keep_s: float, keep_count: int
    ) -> None:
        self.first_offset = 0
        self._now_s = now_s
        self._keep_s = keep_s
        self._keep_count = keep_count
        self._retained: deque[_RetainedRecord] = deque()
        self._appended = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset assigned to the next record."""
        return self.first_offset + len(self._retained)

    def append(self, record: bytes) -> int:
        """Append a record and return its offset.

        Parameters
        ----------
        record : bytes
            Record to append.
        """
        offset = self.next_offset
        self._retained.append(
            _RetainedRecord(self._now_s() + self._keep_s, record)
        )
        self.expire()
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def expire(self) -> None:
        """Drop records above the maximum age or count."""
        now_s = self._now_s()
        while self._retained and (
            len(self._retained) > self._keep_count
            or self._retained[0].expires_at_s <= now_s
        ):
            self._drop_first()

    def expire_before(self, offset: int) -> None:
        """Drop all records before an offset immediately.

        Parameters
        ----------
        offset : int
            First offset to keep.
        """
        while self._retained and self.first_offset < offset:
            self._drop_first()

    def read(self, start_offset: int, limit: int) -> tuple[bytes, ...]:
        """Return up to `limit` records from a retained offset on.

        Parameters
        ----------
        start_offset : int
            Offset of the first record to return.
        limit : int
            Maximum number of records to return.
        """
        start = start_offset - self.first_offset
        found = itertools.islice(self._retained, start, start + limit)
        return tuple(kept.record for kept in found)

    async def wait_for(self, offset: int, *, wait_s: float) -> None:
        """Wait until a record exists at an offset, at most `wait_s` seconds.

        Parameters
        ----------
        offset : int
            Offset to wait for.
        wait_s : float
            Maximum time to wait in seconds.
        """
        deadline_s = self._now_s() + wait_s
        while self.next_offset <= offset:
            remaining_s = deadline_s - self._now_s()
            if remaining_s <= 0:
                return
            try:
                await asyncio.wait_for(self._appended.wait(), remaining_s)
            except TimeoutError:
                return

    def _drop_first(self) -> None:
        self._retained.popleft()
        self.first_offset += 1


class LogStore:
    """All streams of the log stand-in and its faults.

    Parameters
    ----------
    now_s : callable returning float
        Clock in seconds.
    keep_s : float
        Age in seconds after which records are dropped.
    keep_count : int
        Maximum number of records kept per stream.

    Attributes
    ----------
    faults : LogFaults
        Faults that are simulated.
    """

    def __init__(
        self,
        *,
        now_s: Callable[[], float],
        keep_s: float = 3600,
        keep_count: int = 1_000_000,
    ) -> None:
        self.faults = LogFaults()
        self._streams: dict[str, Stream] = {}
        self._now_s = now_s
        self._keep_s = keep_s
        self._keep_count = keep_count

    def get_stream(self, name: str) -> Stream:
        """Return a stream by name, creating it at first use.

        Parameters
        ----------
        name : str
            Name of the stream.
        """
        if name not in self._streams:
            self._streams[name] = Stream(
                now_s=self._now_s,
                keep_s=self._keep_s,
                keep_count=self._keep_count,
            )
        stream = self._streams[name]
        stream.expire()
        return stream

    def use_lost_answer(self) -> bool:
        """Return whether to lose this answer; count down `lost_answers`."""
        if self.faults.lost_answers <= 0:
            return False
        self.faults.lost_answers -= 1
        return True
