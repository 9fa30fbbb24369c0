"""Log in memory behind the log interface, with faults."""

import asyncio

from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure, LogPage, NewestRecords
from verbenadeck.model import Offset
from verbenadeck.utils import Clock

_POLL_S = 0.01
_LATENCY_S = 0.01


class MemoryLog:
    """Records shared by the `MemoryLogAdapter` objects of a test.

    Attributes
    ----------
    records : list of bytes
        All records ever appended; the index is the offset.
    first_offset : int
        Oldest offset that readers get.
    is_up : bool
        Whether calls succeed.
    lost_answers : int
        Appends to come that take effect without an answer.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.is_up = True
        self.lost_answers = 0
        self.latency_s = _LATENCY_S


class MemoryLogAdapter:
    """One node's way to a `MemoryLog`; `is_cut` breaks only this one."""

    def __init__(self, log: MemoryLog, clock: Clock) -> None:
        self.is_cut = False
        self._log = log
        self._clock = clock

    async def append(
        self, record: bytes, *, deadline_s: float, name: str = ''
    ) -> Result[Offset, LogError]:
        """Append a record."""
        await asyncio.sleep(self._log.latency_s)
        if self.is_cut or not self._log.is_up:
            return Failure(LogError(LogFailure.NOT_APPENDED, 'log is down'))
        self._log.records.append(record)
        if self._log.lost_answers:
            self._log.lost_answers -= 1
            await self._clock.sleep_until(deadline_s)
            return Failure(LogError(LogFailure.UNKNOWN, 'answer lost'))
        return Success(Offset(len(self._log.records) - 1))

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Read records, polling until one is there or the deadline ends."""
        log = self._log
        while self._clock.now_s() < deadline_s:
            if self.is_cut or not log.is_up:
                return Failure(LogError(LogFailure.UNAVAILABLE, 'log is down'))
            if start_offset < log.first_offset:
                first = Offset(log.first_offset)
                error = LogError(LogFailure.EXPIRED, 'offset expired', first)
                return Failure(error)
            if start_offset < len(log.records):
                break
            await asyncio.sleep(_POLL_S)
        if self.is_cut or not log.is_up:
            # The reader was paused past its deadline and the way is cut.
            return Failure(LogError(LogFailure.UNAVAILABLE, 'log is down'))
        stop = start_offset + limit
        found = tuple(log.records[start_offset:stop])
        return Success(LogPage(Offset(log.first_offset), start_offset, found))

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return None: this log keeps no record for good."""
        return Success(None)

    async def close(self) -> None:
        """Do nothing."""
