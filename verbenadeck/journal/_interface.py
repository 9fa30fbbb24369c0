"""Interface for reading the fleet state and appending to the log."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.fleet import FleetTables
from verbenadeck.model import Offset
from verbenadeck.records import Record, Verdict


class AppliedRecord(msgspec.Struct, frozen=True):
    """Offset and verdict of a proposed record that was read back.

    Attributes
    ----------
    offset : Offset
        Offset of the record in the log.
    verdict : Verdict
        Result of applying the record to the fleet state.
    """

    offset: Offset
    verdict: Verdict


class JournalFailure(enum.Enum):
    """Whether a proposal without a verdict can be in the log."""

    NOT_APPENDED = 'not-appended'
    UNKNOWN = 'unknown'


class JournalError(msgspec.Struct, frozen=True):
    """Failure of a proposal to get a verdict before its deadline.

    Attributes
    ----------
    failure : JournalFailure
        With `UNKNOWN` the record may be in the log or still be appended.
    detail : str
        Description of the cause.
    """

    failure: JournalFailure
    detail: str


class Journal(Protocol):
    """Log client of a node, which tails the log and appends to it.

    Attributes
    ----------
    new_history_listeners : list of callable
        Called before the state is replaced by an older one, because the log
        has come back from a backup without its newest records.
    """

    new_history_listeners: list[Callable[[], None]]

    @property
    def fleet(self) -> FleetTables:
        """Fleet state derived from the records applied so far."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether the state has caught up with the log."""
        ...

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        """Append a record and wait for its verdict."""
        ...

    async def wait_ready(self, *, deadline_s: float) -> bool:
        """Wait until the state has caught up; return False at the deadline."""
        ...

    async def wait_applied(self, offset: Offset, *, deadline_s: float) -> bool:
        """Wait until a record is applied; return False at the deadline."""
        ...

    async def catch_up(self, *, deadline_s: float) -> bool:
        """Apply the log up to the end that it has during this call.

        Reads the log itself, since what peers relay may be older. Returns
        False if the end is not known or not applied by the deadline.
        """
        ...
