"""Choice among callers that do not read their answers."""

import pytest

from verbenadeck.entry._unread_answers import UnreadAnswers

_MAX_CONNECTION_BYTES = 80
_MAX_BYTES = 100
_PROGRESS_TIMEOUT_S = 10.0


class _Callers:
    """Callers with unread answers, whose sizes a test changes.

    Attributes
    ----------
    sizes_bytes : dict
        Unread bytes by name.
    unread : UnreadAnswers
        What the node knows of them.
    """

    def __init__(self) -> None:
        self.sizes_bytes: dict[str, int] = {}
        self.unread = UnreadAnswers[str](
            measure=self.sizes_bytes.__getitem__,
            max_connection_bytes=_MAX_CONNECTION_BYTES,
            max_bytes=_MAX_BYTES,
            progress_timeout_s=_PROGRESS_TIMEOUT_S,
        )

    def add(self, name: str, size_bytes: int, now_s: float) -> list[str]:
        """Add unread bytes of a caller and return those that must end."""
        self.sizes_bytes[name] = size_bytes
        return self.unread.add(name, now_s)


@pytest.fixture
def callers() -> _Callers:
    """Return callers without answers."""
    return _Callers()


# Guards against ending a caller that just got a long answer in place of one
# that holds a shorter one and reads nothing.
def test_caller_without_progress_ends_before_a_new_one(
    callers: _Callers,
) -> None:
    assert not callers.add('stalled', 40, 0)
    assert callers.add('new', 70, 5) == ['stalled']


def test_caller_that_reads_ends_after_one_that_does_not(
    callers: _Callers,
) -> None:
    callers.add('reads', 45, 0)
    callers.add('stalled', 40, 0)
    callers.sizes_bytes['reads'] = 44
    assert callers.add('new', 30, 5) == ['stalled']


# Guards against ending callers for bytes that were read in the meantime.
def test_bytes_that_were_read_since_do_not_count(callers: _Callers) -> None:
    callers.add('read', 70, 0)
    callers.sizes_bytes['read'] = 0
    assert not callers.add('new', 70, 1)


def test_one_caller_may_not_hold_more_than_its_limit(
    callers: _Callers,
) -> None:
    assert callers.add('large', _MAX_CONNECTION_BYTES + 1, 0) == ['large']
    assert not callers.add('other', _MAX_CONNECTION_BYTES, 0)


def test_as_many_callers_end_as_needed(callers: _Callers) -> None:
    for name in ('first', 'second', 'third'):
        assert not callers.add(name, 30, 0)
    assert sorted(callers.add('new', 70, 5)) == ['first', 'second']


# Guards against connections that are kept by answers nobody takes.
def test_caller_without_progress_ends_after_its_time(
    callers: _Callers,
) -> None:
    callers.add('stalled', 20, 0)
    callers.add('reads', 20, 0)
    callers.sizes_bytes['reads'] = 19
    assert not callers.unread.take_stalled(_PROGRESS_TIMEOUT_S - 1)
    assert callers.unread.take_stalled(_PROGRESS_TIMEOUT_S) == ['stalled']
    assert not callers.unread.take_stalled(_PROGRESS_TIMEOUT_S + 1)


# Guards against a caller that asks again and again without reading.
def test_more_answers_are_no_progress(callers: _Callers) -> None:
    callers.add('stalled', 20, 0)
    callers.add('stalled', 30, _PROGRESS_TIMEOUT_S - 1)
    assert callers.unread.take_stalled(_PROGRESS_TIMEOUT_S) == ['stalled']


def test_read_and_lost_answers_are_forgotten(callers: _Callers) -> None:
    callers.add('read', 60, 0)
    callers.add('lost', 40, 0)
    callers.sizes_bytes['read'] = 0
    callers.unread.remove('lost')
    assert not callers.unread.take_stalled(_PROGRESS_TIMEOUT_S)
    assert not callers.unread
