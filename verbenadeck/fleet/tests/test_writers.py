from verbenadeck.fleet._writers import (
    REPEAT_WINDOW,
    SEQUENCE_WINDOW,
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


def _judge(
    windows: WriterWindows, offset: int, sequence: int, seen: int = -1
) -> Verdict | None:
    return windows.judge(_envelope(sequence, seen), Offset(offset))


def test_a_repeat_is_a_duplicate() -> None:
    windows = WriterWindows()
    assert _judge(windows, 0, 1) is None
    assert _judge(windows, 1, 1) is Verdict.DUPLICATE


def test_a_late_number_that_was_never_judged_takes_effect_once() -> None:
    windows = WriterWindows()
    assert _judge(windows, 0, 5) is None
    assert _judge(windows, 1, 3) is None
    assert _judge(windows, 2, 3) is Verdict.DUPLICATE
    assert _judge(windows, 3, 4) is None
    assert _judge(windows, 4, 5) is Verdict.DUPLICATE


def test_a_number_far_below_the_newest_has_no_effect() -> None:
    windows = WriterWindows()
    assert _judge(windows, 0, 1 + SEQUENCE_WINDOW) is None
    assert _judge(windows, 1, 1) is Verdict.STALE
    assert _judge(windows, 2, 2) is None


def test_a_jump_beyond_the_window_forgets_all_lower_numbers() -> None:
    windows = WriterWindows()
    assert _judge(windows, 0, 1) is None
    assert _judge(windows, 1, 1_000_000) is None
    assert _judge(windows, 2, 1) is Verdict.STALE
    assert _judge(windows, 3, 999_999) is None


def test_a_record_has_no_effect_far_beyond_what_its_writer_saw() -> None:
    windows = WriterWindows()
    last = 10 + REPEAT_WINDOW
    assert _judge(windows, last, 1, 10) is None
    assert _judge(windows, last + 1, 2, 10) is Verdict.STALE


def test_positions_that_can_not_be_are_invalid() -> None:
    windows = WriterWindows()
    assert _judge(windows, 4, 1, 4) is Verdict.INVALID
    assert _judge(windows, 4, 1, -2) is Verdict.INVALID
    assert _judge(windows, 4, 0, 3) is Verdict.INVALID
    assert _judge(windows, 4, 1, 3) is None


def test_a_writer_is_forgotten_only_when_its_repeats_have_expired() -> None:
    windows = WriterWindows()
    assert _judge(windows, 100, 1, 99) is None
    last = 100 + REPEAT_WINDOW
    assert _judge(windows, last, 1, 99) is Verdict.STALE
    assert len(windows) == 1
    other = _envelope(1, last, writer='two')
    assert windows.judge(other, Offset(last + 1)) is None
    assert [writer for writer, _window in windows.items()] == ['two']
    assert _judge(windows, last + 2, 1, 99) is Verdict.STALE


def test_an_expired_repeat_does_not_keep_a_writer() -> None:
    windows = WriterWindows()
    assert _judge(windows, 0, 1) is None
    expired = REPEAT_WINDOW + 1
    assert _judge(windows, expired, 1) is Verdict.STALE
    assert len(windows) == 0
