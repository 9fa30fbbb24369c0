"""Interface through which services append to the log."""

import enum
from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.fleet import FleetView
from verbenadeck.model import Offset
from verbenadeck.records import Record, Verdict


class AppliedRecord(msgspec.Struct, frozen=True):
    """A proposed record was read back from the log and judged."""

    offset: Offset
    verdict: Verdict


class JournalFailure(enum.Enum):
    """What is known about a proposal without a verdict."""

    NOT_APPENDED = 'not-appended'
    UNKNOWN = 'unknown'


class JournalError(msgspec.Struct, frozen=True):
    """A proposal got no verdict before its deadline.

    With `UNKNOWN` the record may be in the log now or appear there later.
    """

    failure: JournalFailure
    detail: str


class Journal(Protocol):
    """Log client of a node: tails the log and appends to it."""

    @property
    def fleet(self) -> FleetView:
        """State derived from the records read so far."""
        ...

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        """Append a record and wait until it is read back and judged."""
        ...

    async def wait_applied(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait until a record is applied; return False at the deadline."""
        ...
