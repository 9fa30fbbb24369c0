"""Records of the log stand-in: offsets, retention and faults."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the log shows from now on.

    Parameters
    ----------
    is_out : bool
        Whether every call is refused.
    added_latency_s : float
        Time in seconds added to every call.
    lost_answers : int
        Appends to come that take effect without an answer.
    """

    is_out: bool = False
    added_latency_s: float = 0
    lost_answers: int = 0


class _Kept(NamedTuple):
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
        Records kept at most.
    """

    def __init__(
        self, *, now_s: Callable[[], float], keep_s: float, keep_count: int
    ) -> None:
        self.first_offset = 0
        self._now_s = now_s
        self._keep_s = keep_s
        self._keep_count = keep_count
        self._kept: deque[_Kept] = deque()
        self._grown = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self._kept)

    def append(self, record: bytes) -> int:
        """Keep a record and return its offset."""
        offset = self.next_offset
        self._kept.append(_Kept(self._now_s() + self._keep_s, record))
        self.expire()
        self._grown.set()
        self._grown = asyncio.Event()
        return offset

    def expire(self) -> None:
        """Drop records that are too old or too many."""
        now_s = self._now_s()
        while self._kept and (
            len(self._kept) > self._keep_count
            or self._kept[0].expires_at_s <= now_s
        ):
            self._drop_first()

    def expire_before(self, offset: int) -> None:
        """Drop all records before an offset at once."""
        while self._kept and self.first_offset < offset:
            self._drop_first()

    def read(self, start_offset: int, limit: int) -> tuple[bytes, ...]:
        """Return up to `limit` records from an offset that is kept."""
        start = start_offset - self.first_offset
        found = itertools.islice(self._kept, start, start + limit)
        return tuple(kept.record for kept in found)

    async def wait_for(self, offset: int, *, wait_s: float) -> None:
        """Wait until a record with an offset exists or the time is over."""
        deadline_s = self._now_s() + wait_s
        while self.next_offset <= offset:
            remaining_s = deadline_s - self._now_s()
            if remaining_s <= 0:
                return
            try:
                await asyncio.wait_for(self._grown.wait(), remaining_s)
            except TimeoutError:
                return

    def _drop_first(self) -> None:
        self._kept.popleft()
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
        Records kept at most per stream.
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

    def stream(self, name: str) -> Stream:
        """Return a stream, which exists from its first use."""
        if name not in self._streams:
            self._streams[name] = Stream(
                now_s=self._now_s,
                keep_s=self._keep_s,
                keep_count=self._keep_count,
            )
        stream = self._streams[name]
        stream.expire()
        return stream

    def is_answer_lost(self) -> bool:
        """Use up one of the answers to be lost, if any are left."""
        if self.faults.lost_answers <= 0:
            return False
        self.faults.lost_answers -= 1
        return True
