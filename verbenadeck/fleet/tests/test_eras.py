"""Fleet state after the log has come back without its newest records."""

import pytest

from verbenadeck.fleet.tests.builders import (
    HOLDS,
    SHARD_COUNT,
    make_fleet,
    make_join,
)
from verbenadeck.model import (
    Epoch,
    Era,
    Incarnation,
    Offset,
    Shard,
    WriterId,
    era_of,
)
from verbenadeck.records import (
    Envelope,
    EraStart,
    LeavePhase,
    NodeLeave,
    Record,
    ReleasedRange,
    Suspect,
    Verdict,
    Vote,
)

_ERA = Era(2)
_FIRST = Shard(0)
_ALL = ReleasedRange(HOLDS, 0, SHARD_COUNT)


class _EraRecorder:
    """State of a fleet whose first member owns all shards, in a new era."""

    def __init__(self) -> None:
        recorder, members = make_fleet(3)
        self.members = members
        self.state = recorder.state
        assert recorder.assign(self.members[0]) is Verdict.ACCEPTED
        self._sequence = 0
        self.inherited_fence = self.state.shard(HOLDS, _FIRST).fence
        assert self.add(EraStart(_ERA)) is Verdict.ACCEPTED

    def add(self, record: Record, *, era: Era = _ERA) -> Verdict:
        self._sequence += 1
        seen = self.state.applied_offset
        writer = WriterId(f'later-{era}')
        envelope = Envelope(1, writer, self._sequence, record, seen, era)
        return self.state.follow(envelope)[1]


def test_start_of_an_era_raises_every_fence() -> None:
    recorder = _EraRecorder()
    view = recorder.state.shard(HOLDS, _FIRST)
    assert Offset(view.fence) == recorder.state.applied_offset
    assert view.fence > recorder.inherited_fence
    assert era_of(Offset(view.fence)) == _ERA


# Guards against calls that the store carries out after it has come back.
@pytest.mark.parametrize(
    'record',
    [
        NodeLeave(Incarnation(1), LeavePhase.GONE),
        Suspect((Vote(Incarnation(1), Epoch(1), Incarnation(2)),)),
        make_join('late'),
        EraStart(Era(1)),
    ],
)
def test_record_of_an_earlier_era_has_no_effect(record: Record) -> None:
    recorder = _EraRecorder()
    before = recorder.state.members
    assert recorder.add(record, era=Era(1)) is Verdict.STALE
    assert recorder.state.members == before


def test_fence_of_an_assignment_in_a_later_era_exceeds_all_lost_ones() -> None:
    recorder = _EraRecorder()
    for index in range(20):
        recorder.add(make_join(f'lost-{index}'))
    lost = recorder.state.applied_offset
    other = _EraRecorder()
    third_era = Era(3)
    assert other.add(EraStart(third_era), era=third_era) is Verdict.ACCEPTED
    assert other.state.shard(HOLDS, _FIRST).fence > lost
