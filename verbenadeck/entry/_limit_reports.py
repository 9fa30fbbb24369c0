"""Counters and log lines of clients that exceed limits."""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from verbenadeck.utils import Clock

_log = logger.bind(part='entry')
_LINE_INTERVAL_S = 1.0
"""Interval between two lines of one kind. A crowd of clients exceeds a limit
thousands of times a second, and each line takes processor time."""

Count = Callable[[str], None]


class _NextLine(NamedTuple):
    """When a line may be written, and the number of those left out."""

    at_s: float
    left_out: int


class LimitReports:
    """Counts each event of a kind, and logs one of them a second.

    Parameters
    ----------
    count : callable
        Adds one to the counter with the given name.
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, count: Count, clock: Clock) -> None:
        self._count = count
        self._clock = clock
        self._next_lines: dict[str, _NextLine] = {}

    def report(self, kind: str, detail: str) -> None:
        """Count an event, and log it unless there are too many lines.

        Parameters
        ----------
        kind : str
            Kind of the event and name of the counter; a literal in the code.
        detail : str
            What happened, for the line.
        """
        self._count(kind)
        now_s = self._clock.now_s()
        next_line = self._next_lines.get(kind, _NextLine(now_s, 0))
        if now_s < next_line.at_s:
            self._next_lines[kind] = next_line._replace(
                left_out=next_line.left_out + 1
            )
            return
        _log.warning(
            '{}: {}; {} others left out', kind, detail, next_line.left_out
        )
        self._next_lines[kind] = _NextLine(now_s + _LINE_INTERVAL_S, 0)
