"""Deduplication of appends by writer and sequence number."""

from verbenadeck.fleet._writers import (
    REPEAT_WINDOW_OFFSETS,
    SEQUENCE_WINDOW_BITS,
    WriterWindows,
)
from verbenadeck.model import Incarnation, Offset, WriterId
from verbenadeck.records import (
    Envelope,
    LeavePhase,
    NodeLeave,
    Verdict,
)


def _envelope(
    sequence: int, seen: int, *, writer: str = 'one', version: int = 1
) -> Envelope:
    record = NodeLeave(Incarnation(0), LeavePhase.GONE)
    return Envelope(version, WriterId(writer), sequence, record, Offset(seen))


def _check(
    windows: WriterWindows, offset: int, sequence: int, seen: int = -1
) -> Verdict | None:
    return windows.check(_envelope(sequence, seen), Offset(offset))


def test_repeated_sequence_is_duplicate() -> None:
    windows = WriterWindows()
    assert _check(windows, 0, 1) is None
    assert _check(windows, 1, 1) is Verdict.DUPLICATE


def test_out_of_order_sequence_takes_effect_once() -> None:
    windows = WriterWindows()
    assert _check(windows, 0, 5) is None
    assert _check(windows, 1, 3) is None
    assert _check(windows, 2, 3) is Verdict.DUPLICATE
    assert _check(windows, 3, 4) is None
    assert _check(windows, 4, 5) is Verdict.DUPLICATE


def test_sequence_below_window_is_stale() -> None:
    windows = WriterWindows()
    assert _check(windows, 0, 1 + SEQUENCE_WINDOW_BITS) is None
    assert _check(windows, 1, 1) is Verdict.STALE
    assert _check(windows, 2, 2) is None


def test_jump_beyond_window_makes_lower_sequences_stale() -> None:
    windows = WriterWindows()
    assert _check(windows, 0, 1) is None
    assert _check(windows, 1, 1_000_000) is None
    assert _check(windows, 2, 1) is Verdict.STALE
    assert _check(windows, 3, 999_999) is None


def test_record_beyond_repeat_window_is_stale() -> None:
    windows = WriterWindows()
    last = 10 + REPEAT_WINDOW_OFFSETS
    assert _check(windows, last, 1, 10) is None
    assert _check(windows, last + 1, 2, 10) is Verdict.STALE


def test_impossible_offsets_and_sequences_are_invalid() -> None:
    windows = WriterWindows()
    assert _check(windows, 4, 1, 4) is Verdict.INVALID
    assert _check(windows, 4, 1, -2) is Verdict.INVALID
    assert _check(windows, 4, 0, 3) is Verdict.INVALID
    assert _check(windows, 4, 1, 3) is None


def test_writer_is_dropped_only_after_its_repeats_expired() -> None:
    windows = WriterWindows()
    assert _check(windows, 100, 1, 99) is None
    last = 100 + REPEAT_WINDOW_OFFSETS
    assert _check(windows, last, 1, 99) is Verdict.STALE
    assert len(windows) == 1
    other = _envelope(1, last, writer='two')
    assert windows.check(other, Offset(last + 1)) is None
    assert [writer for writer, _window in windows.items()] == ['two']
    assert _check(windows, last + 2, 1, 99) is Verdict.STALE


def test_expired_repeat_does_not_retain_writer() -> None:
    windows = WriterWindows()
    assert _check(windows, 0, 1) is None
    expired = REPEAT_WINDOW_OFFSETS + 1
    assert _check(windows, expired, 1) is Verdict.STALE
    assert len(windows) == 0
