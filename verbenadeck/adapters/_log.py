"""Interface of the platform's append-only log."""

import enum
from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.model import Offset


class LogFailure(enum.Enum):
    """What is known about a failed call to the log."""

    NOT_APPENDED = 'not-appended'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'
    EXPIRED = 'expired'


class LogError(msgspec.Struct, frozen=True):
    """A call to the log failed.

    Parameters
    ----------
    failure : LogFailure
        `UNKNOWN` when an append may have taken effect; `EXPIRED` when the
        wanted offset is older than what the log keeps.
    detail : str
        One short sentence.
    first_offset : Offset
        Oldest offset still kept, with `EXPIRED`.
    """

    failure: LogFailure
    detail: str
    first_offset: Offset = Offset(0)


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of the log.

    Parameters
    ----------
    first_offset : Offset
        Oldest offset the log still keeps.
    start_offset : Offset
        Offset of the first record of `records`.
    records : tuple of bytes
        Records in order; empty when nothing came before the deadline.
    """

    first_offset: Offset
    start_offset: Offset
    records: tuple[bytes, ...]


class NewestRecords(msgspec.Struct, frozen=True):
    """Records that a log keeps beyond its retention time.

    Parameters
    ----------
    records : tuple of (Offset, bytes)
        Kept records by rising offset; there may be gaps.
    end_offset : Offset
        Offset of the next record to be appended.
    """

    records: tuple[tuple[Offset, bytes], ...]
    end_offset: Offset


class LogAdapter(Protocol):
    """Appends to and reads from one stream of the log."""

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset.

        A log that keeps the newest record of each name keeps a named record
        until the same writer's next one of that name; other logs ignore the
        name.
        """
        ...

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return what is kept for good, None for a log that keeps nothing."""
        ...

    async def read(
        self,
        start_offset: Offset,
        *,
        limit: int,
        deadline_s: float,
    ) -> Result[LogPage, LogError]:
        """Return up to `limit` records, waiting for the first one."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...
