"""Fleet state after the log has come back without its newest records."""

import msgspec
import pytest

from verbenadeck.fleet import FleetState, compress_snapshot
from verbenadeck.fleet.tests.builders import (
    HOLDS,
    SHARD_COUNT,
    Recorder,
    make_fleet,
    make_join,
)
from verbenadeck.model import (
    NO_FENCE,
    Epoch,
    Era,
    Incarnation,
    Offset,
    Shard,
    WriterId,
    era_of,
)
from verbenadeck.records import (
    Assign,
    ClaimsClosed,
    Envelope,
    EraStart,
    HoldClaim,
    LeavePhase,
    NodeLeave,
    Record,
    ReleasedRange,
    ShardMove,
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

    def move(self, new_owner: Incarnation) -> Record:
        fence = self.state.shard(HOLDS, _FIRST).fence
        return Assign((ShardMove(HOLDS, 0, 1, fence, new_owner),))

    def claim_nothing(self, *members: Incarnation) -> None:
        for member in members:
            assert self.add(HoldClaim(member, ())) is Verdict.ACCEPTED

    def close(self) -> Verdict:
        return self.add(ClaimsClosed(self.state.claims.start_offset))


def test_start_of_an_era_raises_every_fence_and_contests_every_shard() -> None:
    recorder = _EraRecorder()
    view = recorder.state.shard(HOLDS, _FIRST)
    assert Offset(view.fence) == recorder.state.claims.start_offset
    assert view.fence > recorder.inherited_fence
    assert era_of(Offset(view.fence)) == _ERA
    assert view.is_contested


def test_second_start_of_an_era_has_no_effect() -> None:
    recorder = _EraRecorder()
    start_offset = recorder.state.claims.start_offset
    assert recorder.add(EraStart(_ERA)) is Verdict.STALE
    assert recorder.state.claims.start_offset == start_offset


def test_contested_shard_is_not_assigned() -> None:
    recorder = _EraRecorder()
    assert recorder.add(recorder.move(recorder.members[1])) is Verdict.STALE


def test_shard_without_an_owner_in_the_copy_is_contested_too() -> None:
    recorder, members = make_fleet(2)
    state = recorder.state
    envelope = Envelope(
        1, WriterId('w'), 1, EraStart(_ERA), state.applied_offset, _ERA
    )
    state.follow(envelope)
    assert state.shard(HOLDS, _FIRST).fence != NO_FENCE
    assert state.shard(HOLDS, _FIRST).is_contested
    assert members[0] in state.claims.pending


def test_claim_gives_a_shard_with_a_higher_fence_at_once() -> None:
    recorder = _EraRecorder()
    claimant = recorder.members[1]
    assert recorder.add(HoldClaim(claimant, (_ALL,))) is Verdict.ACCEPTED
    view = recorder.state.shard(HOLDS, _FIRST)
    assert (view.owner, view.earlier_owners) == (claimant, ())
    assert view.fence > recorder.state.claims.start_offset
    assert not view.is_contested


def test_second_claim_of_a_shard_does_not_take_it() -> None:
    recorder = _EraRecorder()
    first, second, _ = recorder.members
    for member in (first, second):
        recorder.add(HoldClaim(member, (_ALL,)))
    assert recorder.state.shard(HOLDS, _FIRST).owner == first


@pytest.mark.parametrize(
    'claimed',
    [
        ReleasedRange(HOLDS, 0, SHARD_COUNT + 1),
        ReleasedRange(HOLDS, 3, 3),
        ReleasedRange(HOLDS, -1, 2),
        msgspec.structs.replace(_ALL, service='other'),
    ],
)
def test_claim_of_shards_that_do_not_exist_has_no_effect(
    claimed: ReleasedRange,
) -> None:
    recorder = _EraRecorder()
    claim = HoldClaim(recorder.members[1], (_ALL, claimed))
    assert recorder.add(claim) is Verdict.INVALID
    assert recorder.state.shard(HOLDS, _FIRST).is_contested
    assert recorder.members[1] in recorder.state.claims.pending


def test_claims_close_only_after_every_member_has_claimed_or_ended() -> None:
    recorder = _EraRecorder()
    first, second, third = recorder.members
    recorder.claim_nothing(first, second)
    assert recorder.close() is Verdict.STALE
    assert recorder.add(NodeLeave(third, LeavePhase.GONE)) is Verdict.ACCEPTED
    assert recorder.close() is Verdict.ACCEPTED
    assert not recorder.state.shard(HOLDS, _FIRST).is_contested
    assert recorder.add(recorder.move(second)) is Verdict.ACCEPTED


def test_claim_after_the_claims_are_closed_has_no_effect() -> None:
    recorder = _EraRecorder()
    recorder.claim_nothing(*recorder.members)
    recorder.close()
    late = HoldClaim(recorder.members[1], (_ALL,))
    assert recorder.add(late) is Verdict.STALE
    assert recorder.state.shard(HOLDS, _FIRST).owner == recorder.members[0]


# Guards against calls that the store carries out after it has come back.
@pytest.mark.parametrize(
    'record',
    [
        HoldClaim(Incarnation(1), (_ALL,)),
        NodeLeave(Incarnation(1), LeavePhase.GONE),
        Suspect((Vote(Incarnation(1), Epoch(1), Incarnation(2)),)),
        make_join('late'),
        EraStart(Era(1)),
    ],
)
def test_record_of_an_earlier_era_has_no_effect(record: Record) -> None:
    recorder = _EraRecorder()
    before = recorder.state.members, recorder.state.claims.encode()
    assert recorder.add(record, era=Era(1)) is Verdict.STALE
    assert (recorder.state.members, recorder.state.claims.encode()) == before


def test_fence_of_an_assignment_in_a_later_era_exceeds_all_lost_ones() -> None:
    recorder = _EraRecorder()
    for index in range(20):
        recorder.add(make_join(f'lost-{index}'))
    lost = recorder.state.applied_offset
    other = _EraRecorder()
    third_era = Era(3)
    assert other.add(EraStart(third_era), era=third_era) is Verdict.ACCEPTED
    assert other.state.shard(HOLDS, _FIRST).fence > lost


def test_snapshot_keeps_the_claims() -> None:
    recorder = _EraRecorder()
    recorder.claim_nothing(recorder.members[0])
    restored = FleetState()
    compressed = b''.join(compress_snapshot(recorder.state.snapshot()))
    restored.restore(compressed).unwrap()
    assert restored.claims.encode() == recorder.state.claims.encode()
    assert restored.snapshot() == recorder.state.snapshot()


def test_era_of_a_fleet_without_members_needs_no_claims() -> None:
    recorder = Recorder()
    envelope = Envelope(
        1, WriterId('w'), 1, make_join('node'), Offset(-1), _ERA
    )
    offset, verdict = recorder.state.follow(envelope)
    assert verdict is Verdict.ACCEPTED
    assert era_of(offset) == _ERA
    assert not recorder.state.claims.is_open
