"""Random disorder of the store, and faults that it has to find."""

import itertools
import math
import os
from collections.abc import Callable, Iterable

import pytest

from verbenadeck.adapters import LogPage, NewestRecords
from verbenadeck.journal import LogClient
from verbenadeck.journal import _reader as reader_module
from verbenadeck.journal._log_backoff import LogBackoff
from verbenadeck.journal._reader import PageReader
from verbenadeck.journal._state_loader import StateLoader
from verbenadeck.journal._stream import StreamFollower
from verbenadeck.journal._stream_state import PositionedRecord, StreamState
from verbenadeck.model import Era, Offset
from verbenadeck.platform.tests.store_exploration import (
    BrokenPromiseError,
    explore_store,
)

_SEEDS = range(1, 1 + int(os.environ.get('VERBENADECK_FUZZ_EXAMPLES', '6')))
_SEARCHED_SEEDS = range(1, 41)
_KNOWN_RED_SEEDS = (18, 20)
_Plant = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize(
    'seed', [seed for seed in _SEEDS if seed not in _KNOWN_RED_SEEDS]
)
def test_random_disorder_of_the_store_breaks_no_promise(seed: int) -> None:
    explore_store(seed)


# Guards against a fleet that waits for a checkpoint for good, because one that
# was appended late, across a return, has replaced the last valid one.
@pytest.mark.xfail(strict=True, raises=BrokenPromiseError, reason='issue 37')
@pytest.mark.parametrize('seed', _KNOWN_RED_SEEDS)
def test_disorder_around_late_checkpoints_breaks_no_promise(seed: int) -> None:
    explore_store(seed)


def _plant_gap_as_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    """Load by the last offset of the lost history, and fail on the gap."""
    base_offset = StateLoader._base_offset
    starts_from = StateLoader._start_from

    def forget_era(loader: StateLoader, _era: Era) -> Offset:
        return loader._fleet.applied_offset

    def start_from(loader: StateLoader, *arguments: object) -> bool:
        monkeypatch.setattr(StateLoader, '_base_offset', base_offset)
        try:
            return starts_from(loader, *arguments)  # type: ignore[arg-type]
        finally:
            monkeypatch.setattr(StateLoader, '_base_offset', forget_era)

    def apply_any_page(client: LogClient, page: LogPage) -> bool:
        client.applier.apply_page(page)
        return True

    monkeypatch.setattr(StateLoader, '_base_offset', forget_era)
    monkeypatch.setattr(StateLoader, '_start_from', start_from)
    monkeypatch.setattr(LogClient, '_apply_page', apply_any_page)


def _plant_snapshot_that_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    load = StreamState.load

    def drop_older(
        state: StreamState, newest: NewestRecords, *_history: object
    ) -> None:
        if newest.era > state.era and state.records:
            state.era = newest.era
        else:
            load(state, newest)

    monkeypatch.setattr(StreamState, 'load', drop_older)
    monkeypatch.setattr(StreamFollower, '_make_state', lambda _self: None)


def _plant_snapshot_that_clears_all(monkeypatch: pytest.MonkeyPatch) -> None:
    merge = StreamState.merge

    def replace_all(
        state: StreamState,
        found: Iterable[PositionedRecord],
        era: Era,
        end_offset: Offset,
    ) -> None:
        if era > state.era:
            state._kept.clear()
            state._known.clear()
        merge(state, found, era, end_offset)

    monkeypatch.setattr(StreamState, 'merge', replace_all)


def _plant_records_at_the_log_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send no state to peers, and back off from a log that answers."""
    _plant_back_off_after_an_answer(monkeypatch)
    monkeypatch.setattr(StreamFollower, '_make_state', lambda _self: None)


def _plant_back_off_after_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    advance = PageReader._advance

    def advance_past_log(reader: PageReader) -> None:
        reader._log_due_at_s = math.inf
        advance(reader)

    def end_doubling(backoff: LogBackoff) -> None:
        backoff._mean_s = 0

    monkeypatch.setattr(reader_module, '_has_expired', lambda _answer: False)
    monkeypatch.setattr(PageReader, '_advance', advance_past_log)
    monkeypatch.setattr(LogBackoff, 'record_success', end_doubling)


@pytest.mark.parametrize(
    ('plant', 'broken_promise', 'first_seed'),
    [
        (_plant_gap_as_invariant, 'a process ended', 3),
        (_plant_snapshot_that_is_dropped, 'is not in force', 1),
        (_plant_snapshot_that_clears_all, 'is not in force', 3),
        (_plant_records_at_the_log_only, 'is not in force', 17),
    ],
)
def test_exploration_finds_a_planted_fault(
    plant: _Plant,
    broken_promise: str,
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plant(monkeypatch)
    seeds = itertools.chain((first_seed,), _SEARCHED_SEEDS)
    assert any(broken_promise in _find_broken_promise(seed) for seed in seeds)


def _find_broken_promise(seed: int) -> str:
    try:
        explore_store(seed)
    except BrokenPromiseError as error:
        return str(error)
    return ''
