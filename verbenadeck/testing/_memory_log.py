"""In-memory implementation of the log interface, with faults."""

import asyncio

from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure, LogPage, NewestRecords
from verbenadeck.model import Era, Offset
from verbenadeck.utils import Clock

_POLL_S = 0.01
_APPEND_LATENCY_S = 0.01
_READ_LATENCY_S = 0.002


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
    era : Era
        Number of times that the log has come back from a copy.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.is_up = True
        self.lost_answers = 0
        self.latency_s = _APPEND_LATENCY_S
        self.era = Era(0)

    def return_from_copy(self, record_count: int) -> list[bytes]:
        """Lose all records but the first ones; return those that are lost.

        Parameters
        ----------
        record_count : int
            Number of records in the copy.
        """
        lost = self.records[record_count:]
        self.records = self.records[:record_count]
        self.era = Era(self.era + 1)
        return lost


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
        self._era = Era(0)

    @property
    def era(self) -> Era:
        """Highest era of the log in any of its answers to this adapter."""
        return self._era

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
        self._era = self._log.era
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
        first_era = log.era
        while self._clock.now_s() < deadline_s:
            if self.is_cut or not log.is_up:
                return Failure(LogError(LogFailure.UNAVAILABLE, 'log is down'))
            self._era = log.era
            if log.era != first_era:
                return Failure(LogError(LogFailure.UNAVAILABLE, 'log was away'))
            if log.era and start_offset > len(log.records):
                return Failure(LogError(LogFailure.EXPIRED, 'no such offset'))
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
        """Return all records of a log that has come back, else None."""
        log = self._log
        if not log.era:
            return Success(None)
        await asyncio.sleep(_READ_LATENCY_S)
        if self.is_cut or not log.is_up:
            return Failure(LogError(LogFailure.UNAVAILABLE, 'log is down'))
        self._era = log.era
        retained = tuple(
            (Offset(index), record) for index, record in enumerate(log.records)
        )
        return Success(NewestRecords(retained, Offset(len(log.records))))

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""
