"""In-memory implementation of the log interface, with faults."""

import asyncio

from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure, LogPage, NewestRecords
from verbenadeck.model import Offset
from verbenadeck.utils import Clock

_POLL_S = 0.01
_APPEND_LATENCY_S = 0.01


class MemoryLog:
    """In-memory log that the `MemoryLogAdapter` objects of a test share.

    Attributes
    ----------
    records : list of bytes
        All records ever appended; the index is the offset.
    first_offset : int
        Oldest offset that can be read; older records have expired.
    is_up : bool
        Whether calls succeed; false simulates an outage.
    lost_answers : int
        Number of coming appends that take effect but get no answer.
    latency_s : float
        Duration of an append in seconds.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.is_up = True
        self.lost_answers = 0
        self.latency_s = _APPEND_LATENCY_S


class MemoryLogAdapter:
    """Connection of one node to a `MemoryLog`.

    Parameters
    ----------
    log : MemoryLog
        Log to append to and to read from.
    clock : Clock
        Clock of the node, for deadlines.

    Attributes
    ----------
    is_cut : bool
        Whether this connection is broken; other nodes' are not affected.
    """

    def __init__(self, log: MemoryLog, clock: Clock) -> None:
        self.is_cut = False
        self._log = log
        self._clock = clock

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
        generation: int = 0,
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset."""
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
        """Read records, polling until one exists or the deadline passes."""
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
            # The reader was paused past its deadline and its connection is cut,
            # which the loop above did not see.
            return Failure(LogError(LogFailure.UNAVAILABLE, 'log is down'))
        stop = start_offset + limit
        records = tuple(log.records[start_offset:stop])
        return Success(
            LogPage(
                Offset(log.first_offset),
                start_offset,
                records,
                reaches_end=stop >= len(log.records),
            )
        )

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return None, since this log retains no record indefinitely."""
        return Success(None)

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""
