"""Deduplication of repeated appends with bounded memory."""

from collections.abc import Iterable

import msgspec

from verbenadeck.model import Offset, WriterId, index_of
from verbenadeck.records import Envelope, Verdict

REPEAT_WINDOW_OFFSETS = 65_536
"""Number of offsets after `seen_offset` at which a record may take effect."""

SEQUENCE_WINDOW_BITS = 64
"""Number of a writer's newest sequence numbers that are tracked one by one."""

_WINDOW_MASK = (1 << SEQUENCE_WINDOW_BITS) - 1


class WriterWindow(msgspec.Struct, array_like=True):
    """Sequence numbers of one writer that are already used.

    Parameters
    ----------
    newest_sequence : int
        Highest sequence number so far.
    seen_mask : int
        Bit n is set if the number `newest_sequence` - n is already used.
    last_offset : Offset
        Offset of the writer's last record that passed rule 1 of
        `WriterWindows`.
    """

    newest_sequence: int
    seen_mask: int
    last_offset: Offset

    def contains(self, sequence: int) -> bool:
        """Return whether a sequence number within the window is used.

        Parameters
        ----------
        sequence : int
            Sequence number.

        Returns
        -------
        bool
        """
        age = self.newest_sequence - sequence
        return age >= 0 and bool(self.seen_mask >> age & 1)

    def add(self, sequence: int, offset: Offset) -> None:
        """Mark a sequence number as used.

        Parameters
        ----------
        sequence : int
            Sequence number that the window does not contain.
        offset : Offset
            Offset of its record.
        """
        shift = max(0, sequence - self.newest_sequence)
        self.newest_sequence += shift
        age = self.newest_sequence - sequence
        self.seen_mask = (self.seen_mask << shift | 1 << age) & _WINDOW_MASK
        self.last_offset = offset


class WriterWindows:
    """Windows of all writers whose records could still be repeated.

    Records are checked by these rules, in this order. They use offsets of the
    log and no clock, so every node reaches the same result:

    1. A record at offset p with a `seen_offset` of s has no effect unless
       ``s < p <= s + REPEAT_WINDOW_OFFSETS``, counted in indices.
    2. The window of a writer is dropped at the first offset beyond ``q +
       REPEAT_WINDOW_OFFSETS``, where q is the offset of its last record that
       passed rule 1. Every record that it wrote up to q has ``s < q``, so by
       rule 1 no repeat of it can take effect any more: a window is never
       dropped too early.
    3. A sequence number is used up by its first record, whatever the verdict
       on that record. A number that is `SEQUENCE_WINDOW_BITS` or more below
       the newest is stale: it has no effect, so it can't be applied twice.
       Numbers within the window may arrive in any order: a later number
       never makes an earlier one that was never appended look like a repeat.
    """

    def __init__(self) -> None:
        self._windows: dict[WriterId, WriterWindow] = {}

    def __len__(self) -> int:
        """Return the number of writers that have a window."""
        return len(self._windows)

    def check(self, envelope: Envelope, offset: Offset) -> Verdict | None:
        """Check whether a record is new and mark its number as used.

        Parameters
        ----------
        envelope : Envelope
            Record with its writer and sequence number.
        offset : Offset
            Offset of the record.

        Returns
        -------
        Verdict or None
            Reason why the record has no effect; None if it is to be applied.
        """
        self._drop_expired_writers(offset)
        seen_offset = envelope.seen_offset
        if envelope.sequence < 1 or not -1 <= seen_offset < offset:
            return Verdict.INVALID
        if index_of(offset) - index_of(seen_offset) > REPEAT_WINDOW_OFFSETS:
            return Verdict.STALE
        window = self._windows.pop(envelope.writer, None)
        if window is None:
            window = WriterWindow(envelope.sequence, 0, offset)
        self._windows[envelope.writer] = window
        return _check_sequence(window, envelope.sequence, offset)

    def items(self) -> Iterable[tuple[WriterId, WriterWindow]]:
        """Return the writers with their windows, least recent writer first.

        Returns
        -------
        iterable of (WriterId, WriterWindow)
        """
        return self._windows.items()

    def load(self, items: Iterable[tuple[WriterId, WriterWindow]]) -> None:
        """Replace all windows by those of a snapshot.

        Parameters
        ----------
        items : iterable of (WriterId, WriterWindow)
            Writers with their windows, least recent writer first.
        """
        self._windows = dict(items)

    def _drop_expired_writers(self, offset: Offset) -> None:
        while self._windows:
            writer = next(iter(self._windows))
            last_offset = self._windows[writer].last_offset
            if (
                index_of(offset) - index_of(last_offset)
                <= REPEAT_WINDOW_OFFSETS
            ):
                return
            self._windows.pop(writer)


def _check_sequence(
    window: WriterWindow, sequence: int, offset: Offset
) -> Verdict | None:
    window.last_offset = offset
    if window.newest_sequence - sequence >= SEQUENCE_WINDOW_BITS:
        return Verdict.STALE
    if window.contains(sequence):
        return Verdict.DUPLICATE
    window.add(sequence, offset)
    return None
