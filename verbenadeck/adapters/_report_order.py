"""Order of the numbered reports of an upstream, beside those of others."""

import enum
import math
from typing import NamedTuple

import msgspec

from verbenadeck.utils import Clock

_MAX_CLOCK_ERROR_S = 60.0
"""Largest difference in seconds between the time of day on this VM, which may
jump by seconds, and that of an upstream."""

_MAX_REPORTS_PER_S = 1000
_MAX_SKIPPED = 100
_MS_PER_S = 1000


class OrderFault(enum.Enum):
    """Reason for refusing a report that is well-formed.

    Attributes
    ----------
    FUTURE_START
        The upstream would have started later than now.
    OUTDATED
        A later report, or one of a later start, has been accepted.
    SKIPPED_AHEAD
        The upstream can't have sent so many reports since the last one.
    """

    FUTURE_START = 'future_start'
    OUTDATED = 'outdated'
    SKIPPED_AHEAD = 'skipped_ahead'


class ReportPosition(msgspec.Struct, frozen=True):
    """Position of a report among all reports of the upstreams at an address.

    Parameters
    ----------
    instance : str
        Identity of the upstream since its last start.
    started_at_ms : int
        Unix time of its start, in milliseconds.
    sequence : int
        Number of the report since the start; rises with each report.
    """

    instance: str
    started_at_ms: int
    sequence: int


class _RefusedRun(NamedTuple):
    last: ReportPosition
    began_at_s: float


class ReportOrder:
    """Accepts each report once, in order, and refuses what contradicts it.

    One report of another writer must not outdate those of the upstream for
    long. While reports keep coming in order from one upstream, none of them
    acceptable, and no other report does, they replace what was accepted.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    replace_after_s : float
        Seconds for which refused reports must have come alone and in order;
        longer than several intervals between reports.
    """

    def __init__(self, *, clock: Clock, replace_after_s: float) -> None:
        self._clock = clock
        self._replace_after_s = replace_after_s
        self._last: ReportPosition | None = None
        self._accepted_at_s = -math.inf
        self._refused: _RefusedRun | None = None

    def accept(self, position: ReportPosition) -> OrderFault | None:
        """Accept a report, or return why it is refused.

        Parameters
        ----------
        position : ReportPosition
            Position that the report states.
        """
        latest_ms = (self._clock.wall_s() + _MAX_CLOCK_ERROR_S) * _MS_PER_S
        if position.started_at_ms > latest_ms:
            return OrderFault.FUTURE_START
        fault = self._find_fault(position)
        if fault is not None and not self._is_replacing(position):
            return fault
        self._last = position
        self._accepted_at_s = self._clock.now_s()
        self._refused = None
        return None

    def _find_fault(self, position: ReportPosition) -> OrderFault | None:
        last = self._last
        if last is None or position.instance != last.instance:
            if last is not None and position.started_at_ms < last.started_at_ms:
                return OrderFault.OUTDATED
            started_at_s = position.started_at_ms / _MS_PER_S
            age_s = self._clock.wall_s() - started_at_s + _MAX_CLOCK_ERROR_S
            return _check_skipped(position.sequence, age_s)
        if position.sequence <= last.sequence:
            return OrderFault.OUTDATED
        return _check_skipped(
            position.sequence - last.sequence,
            self._clock.now_s() - self._accepted_at_s,
        )

    def _is_replacing(self, position: ReportPosition) -> bool:
        """Record a refused report; return whether it replaces the last one."""
        now_s = self._clock.now_s()
        run = self._refused
        if run is None or not _is_next(position, run.last):
            run = _RefusedRun(position, now_s)
        self._refused = run._replace(last=position)
        return now_s - run.began_at_s >= self._replace_after_s


def _is_next(position: ReportPosition, earlier: ReportPosition) -> bool:
    return (
        position.instance == earlier.instance
        and position.sequence > earlier.sequence
    )


def _check_skipped(count: int, time_s: float) -> OrderFault | None:
    if count > time_s * _MAX_REPORTS_PER_S + _MAX_SKIPPED:
        return OrderFault.SKIPPED_AHEAD
    return None
