"""Makes repeated appends idempotent with bounded memory."""

from collections.abc import Iterable

import msgspec

from verbenadeck.model import Offset, WriterId
from verbenadeck.records import Envelope, Verdict

REPEAT_WINDOW = 65_536
"""Positions after `seen_offset` in which a record may take effect."""

SEQUENCE_WINDOW = 64
"""Sequence numbers below a writer's newest that are told apart."""

_MASK = (1 << SEQUENCE_WINDOW) - 1


class WriterWindow(msgspec.Struct, array_like=True):
    """Sequence numbers of one writer that were judged.

    Parameters
    ----------
    newest : int
        Highest sequence number.
    seen_mask : int
        Bit n stands for number `newest` - n.
    last_offset : Offset
        Position of the writer's last judged record.
    """

    newest: int
    seen_mask: int
    last_offset: Offset

    def has(self, sequence: int) -> bool:
        """Return whether a number inside of the window was judged."""
        age = self.newest - sequence
        return age >= 0 and bool(self.seen_mask >> age & 1)

    def add(self, sequence: int, offset: Offset) -> None:
        """Note a number of which the window knows that it is new."""
        shift = max(0, sequence - self.newest)
        self.newest += shift
        age = self.newest - sequence
        self.seen_mask = (self.seen_mask << shift | 1 << age) & _MASK
        self.last_offset = offset


class WriterWindows:
    """Windows of all writers whose records could still be repeated.

    The rules, in this order, with positions of the log and no clock:

    1. A record has no effect at its position p unless its `seen_offset` s
       fulfils ``s < p <= s + REPEAT_WINDOW``.
    2. A writer is forgotten at the first position beyond ``q +
       REPEAT_WINDOW``, where q is its last judged record. All that it wrote
       up to q has ``s < q``, so by rule 1 no repeat of it can take effect
       any more: a writer is never forgotten too early.
    3. A number is judged once, whatever the judgement was. One that is
       `SEQUENCE_WINDOW` or more below the newest is stale: it has no effect,
       so it can't be applied twice. Numbers inside of the window may come in
       any order: a later one never makes an earlier one that was never
       appended look like a repeat.
    """

    def __init__(self) -> None:
        self._windows: dict[WriterId, WriterWindow] = {}

    def __len__(self) -> int:
        """Return the number of writers that are kept."""
        return len(self._windows)

    def judge(self, envelope: Envelope, offset: Offset) -> Verdict | None:
        """Return why a record has no effect, None when it is to be judged."""
        self._forget(offset)
        seen_offset = envelope.seen_offset
        if envelope.sequence < 1 or not -1 <= seen_offset < offset:
            return Verdict.INVALID
        if offset - seen_offset > REPEAT_WINDOW:
            return Verdict.STALE
        window = self._windows.pop(envelope.writer, None)
        if window is None:
            window = WriterWindow(envelope.sequence, 0, offset)
        self._windows[envelope.writer] = window
        return _judge_sequence(window, envelope.sequence, offset)

    def items(self) -> Iterable[tuple[WriterId, WriterWindow]]:
        """Return writers, the one that wrote longest ago first."""
        return self._windows.items()

    def load(self, items: Iterable[tuple[WriterId, WriterWindow]]) -> None:
        """Replace all windows."""
        self._windows = dict(items)

    def _forget(self, offset: Offset) -> None:
        while self._windows:
            writer = next(iter(self._windows))
            if self._windows[writer].last_offset + REPEAT_WINDOW >= offset:
                return
            self._windows.pop(writer)


def _judge_sequence(
    window: WriterWindow, sequence: int, offset: Offset
) -> Verdict | None:
    window.last_offset = offset
    if window.newest - sequence >= SEQUENCE_WINDOW:
        return Verdict.STALE
    if window.has(sequence):
        return Verdict.DUPLICATE
    window.add(sequence, offset)
    return None
