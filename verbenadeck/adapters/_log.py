"""Interface of the adapters to an append-only log."""

import enum
from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.model import Era, Offset


class LogFailure(enum.Enum):
    """What is known about a failed call to the log."""

    NOT_APPENDED = 'not-appended'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'
    EXPIRED = 'expired'


class LogError(msgspec.Struct, frozen=True):
    """Failure of a call to the log.

    Parameters
    ----------
    failure : LogFailure
        `NOT_APPENDED` when an append had no effect, `UNKNOWN` when it may
        have taken effect; `EXPIRED` when the requested offset is older than
        what the log keeps, `UNAVAILABLE` for other failed reads.
    detail : str
        Cause, for logs.
    first_offset : Offset
        Offset of the oldest kept record; set with `EXPIRED` only.
    """

    failure: LogFailure
    detail: str
    first_offset: Offset = Offset(0)


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of the log.

    Parameters
    ----------
    first_offset : Offset
        Offset of the oldest record that the log keeps.
    start_offset : Offset
        Offset of the first record of `records`.
    records : tuple of bytes
        Records in order; empty when none was appended before the deadline.
    reaches_end : bool
        Whether the log certainly ended after these records when it answered.
    era : Era
        Era of the log in the answer with these records.
    """

    first_offset: Offset
    start_offset: Offset
    records: tuple[bytes, ...]
    reaches_end: bool = False
    era: Era = Era(0)


class NewestRecords(msgspec.Struct, frozen=True):
    """Records that a log keeps for longer than its retention time.

    Parameters
    ----------
    records : tuple of (Offset, bytes)
        Kept records by rising offset; offsets in between may be missing.
    end_offset : Offset
        Offset of the next record to be appended.
    era : Era
        Era of the log in the answer with these records.
    """

    records: tuple[tuple[Offset, bytes], ...]
    end_offset: Offset
    era: Era = Era(0)


class LogAdapter(Protocol):
    """Adapter that appends to and reads from one stream of a log.

    Its offsets are the indices of records in the log.
    """

    @property
    def era(self) -> Era:
        """Highest era of the log in any of its answers to this adapter.

        It rises when the log has come back from a backup without its newest
        records. No page or records are returned from an earlier era, also if
        a call began before the log came back. The answer to another call may
        raise it at any time, so what follows from an answer depends on the era
        in that answer.
        """
        ...

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
        generation: int = 0,
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset.

        Some logs keep the newest record of each name: they keep a named
        record until the same writer appends the next one of that name. An
        append that is carried out late replaces no record of a later
        generation. Other logs ignore both.

        Parameters
        ----------
        record : bytes
            The record.
        deadline_s : float
            Deadline of the call on the clock of the VM, in seconds.
        name : str
            Name of the record, empty for none.
        generation : int
            Generation of a named record; never falls for one name.
        """
        ...

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return the records kept for good, None if the log keeps none."""
        ...

    async def read(
        self,
        start_offset: Offset,
        *,
        limit: int,
        deadline_s: float,
    ) -> Result[LogPage, LogError]:
        """Return the next records; wait for the first one until the deadline.

        Parameters
        ----------
        start_offset : Offset
            Offset of the first record to return.
        limit : int
            Largest number of records to return.
        deadline_s : float
            Deadline of the call on the clock of the VM, in seconds.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
